import type { DecodedRequestHeaders, ForwardEnvelope } from '../../../protocol/gateway/index.ts';
import type { Account, Route, Service } from '../../../state/gateway/index.ts';
import type { InboundRequest } from '../../../transport/gateway/index.ts';

/** A request with the route, client account and service that the configuration gives it. */
export interface RoutedRequest {
  readonly id: string;
  readonly inbound: InboundRequest;
  /** Values of the request headers that the gateway understands. */
  readonly fields: DecodedRequestHeaders;
  readonly route: Route;
  /** Undefined for anonymous callers. */
  readonly account: Account | undefined;
  readonly service: Service;
  /** Estimated time in ms that the caller has waited in earlier requests for the same answer. */
  readonly waitedBeforeMs: number;
  /** Identifies the request, however often callers send it; computed when it is first needed. */
  readonly fingerprint: () => string;
  /** What the peer said that forwarded it; undefined if its caller sent it to this gateway. */
  readonly forwarded: ForwardEnvelope | undefined;
  /** Version of the configuration that routed it. */
  readonly configurationVersion: number;
}
