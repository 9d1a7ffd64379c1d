export type { IncarnationLeaseState } from './IncarnationLease.ts';
export { Membership, type MembershipOptions } from './Membership.ts';
export { rankMembers } from './rankMembers.ts';
export { LeaderSupport } from './LeaderSupport.ts';
export type { ViewSummary } from './ViewDigest.ts';
