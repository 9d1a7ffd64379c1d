export { makeGatewayLog } from './GatewayLog.ts';
export type { GatewayLog } from './GatewayLog.ts';
export { runGateway } from './runGateway.ts';
export type { GatewayOptions, RunningGateway } from './GatewayOptions.ts';
