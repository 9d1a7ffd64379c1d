import type { EndpointRecord } from '../../../state/gateway/index.ts';
import { EndConfirmation } from '../../../transport/http/index.ts';
import type { GatewayContext } from '../GatewayContext.ts';
import { isRepeatable } from './RequestRetries.ts';
import type { RoutedRequest } from './RoutedRequest.ts';

/** Makes what confirms the end of an endpoint's answer that has no end mark. */
export const makeEndConfirmation = (
  { endpointPool, wire }: Pick<GatewayContext, 'endpointPool' | 'wire'>,
  { service, route }: Pick<RoutedRequest, 'service' | 'route'>,
  { address }: EndpointRecord,
): EndConfirmation =>
  new EndConfirmation({
    pool: endpointPool,
    address: `http://${address}`,
    method: 'GET',
    path: wire.findCheckPath(service),
    isRepeatable: isRepeatable(route),
  });
