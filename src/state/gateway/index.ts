export { EndpointRecord, endpointStartOf } from './EndpointRecord.ts';
export { GatewayBounds, GatewaySettings, ListenAddress } from './GatewaySettings.ts';
export { RolloutOrder, RolloutState } from './RolloutOrder.ts';
export {
  Account,
  AccountQuota,
  ClientLimits,
  EngineLimits,
  Route,
  RouteKind,
  RouteTable,
  Service,
  WeightedService,
} from './RouteTable.ts';
