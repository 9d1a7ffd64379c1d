export { EndpointRecord, endpointStartOf } from './EndpointRecord.ts';
export {
  GatewayBounds,
  GatewaySettings,
  ListenAddress,
  MAXIMUM_HEDGE_SHARE,
} from './GatewaySettings.ts';
export {
  Account,
  AccountQuota,
  ClientLimits,
  ColdStart,
  EngineLimits,
  Route,
  RouteKind,
  RouteTable,
  Service,
  WeightedService,
} from './RouteTable.ts';
