export { EndpointRecord, endpointStartOf } from './EndpointRecord.ts';
export {
  GatewayBounds,
  GatewaySettings,
  ListenAddress,
  MAXIMUM_HEDGE_SHARE,
  ProcessResources,
} from './GatewaySettings.ts';
export { RolloutOrder, RolloutState } from './RolloutOrder.ts';
export {
  Account,
  AccountQuota,
  ClientLimits,
  DEFAULT_CLIENT_LIMITS,
  ColdStart,
  EngineLimits,
  Route,
  RouteKind,
  RouteTable,
  Service,
  WeightedService,
} from './RouteTable.ts';
