export { compareRouteTables } from './compareRouteTables.ts';
export type { RouteTableDifference } from './compareRouteTables.ts';
export { reviewRouteTable } from './reviewRouteTable.ts';
export type { ReviewFinding } from './reviewRouteTable.ts';
export { reviewSuccessor } from './reviewSuccessor.ts';
