import type { DecodedRequestHeaders } from '../../protocol/gateway/index.ts';
import type { Account, Route, Service } from '../../state/gateway/index.ts';
import type { InboundRequest } from '../../transport/gateway/index.ts';

/** A request whose route, account and service are settled. */
export interface RoutedRequest {
  readonly id: string;
  readonly inbound: InboundRequest;
  readonly fields: DecodedRequestHeaders;
  readonly route: Route;
  readonly account: Account | undefined;
  readonly service: Service;
  /** How long the caller has waited in tries before this one. */
  readonly waitedBeforeMs: number;
  readonly configurationVersion: number;
}
