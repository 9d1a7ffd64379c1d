export { InboundConnections } from './InboundConnections.ts';
export type { InboundAnswer, InboundRequest } from './InboundRequest.ts';
export { makeGatewayServer } from './makeGatewayServer.ts';
export type { GatewayServer, GatewayServerOptions } from './makeGatewayServer.ts';
export { makePlainServer } from './makePlainServer.ts';
export type { PlainAnswer, PlainHandler } from './makePlainServer.ts';
