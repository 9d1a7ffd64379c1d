import { setTimeout as wait } from 'node:timers/promises';
import type { GatewayFleet } from './GatewayFleet.ts';

/** What else happens during a play; the scheduler is gateway 0. */
export type FleetDisturbance =
  | { readonly _tag: 'none' }
  | { readonly _tag: 'schedulerKilled' }
  | { readonly _tag: 'schedulerPaused'; readonly forMs: number }
  /** What the scheduler sends doesn't reach the others, whose messages still reach it. */
  | { readonly _tag: 'schedulerCutOneWay'; readonly forMs: number }
  | { readonly _tag: 'storeAway' }
  /** The other gateways are killed and start again, one every so often. */
  | { readonly _tag: 'othersKilled'; readonly everyMs: number }
  /** All gateways are stopped and started again, one after the other. */
  | { readonly _tag: 'release' };

/** Disturbs a fleet of gateways; resolves at the end of the disturbance. */
export const disturbFleet = async (
  fleet: GatewayFleet,
  disturbance: FleetDisturbance,
): Promise<void> => {
  switch (disturbance._tag) {
    case 'none':
      return;
    case 'schedulerKilled':
      await fleet.restart(0);
      return;
    case 'schedulerPaused':
      await fleet.pause(0, disturbance.forMs);
      return;
    case 'schedulerCutOneWay':
      await fleet.harmPeerLink(0, { _tag: 'silent', direction: 'toCaller' }, disturbance.forMs);
      return;
    case 'storeAway':
      fleet.store.setAway(true);
      return;
    case 'othersKilled':
      for (let index = 1; index < fleet.size; index += 1) {
        await fleet.restart(index);
        await wait(disturbance.everyMs);
      }
      return;
    case 'release':
      for (let index = 0; index < fleet.size; index += 1) await fleet.release(index);
      return;
    default:
      disturbance satisfies never;
  }
};
