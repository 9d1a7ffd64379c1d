export { makeCallerServer, makeForwarder } from './caller/index.ts';
export type {
  CallerServerOptions,
  Forwarder,
  ForwarderOptions,
  Forwarding,
  ForwardOutcome,
} from './caller/index.ts';
export { makeEndpointClient } from './endpoint/index.ts';
export type { EndpointClientOptions } from './endpoint/index.ts';
export { makePeerNetwork } from './peer/index.ts';
export type { BoundPeerNetwork, PeerNetworkOptions } from './peer/index.ts';
export { makePlatformClient } from './platform/index.ts';
