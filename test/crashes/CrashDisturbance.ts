import type { GatewayFleet } from '../support/GatewayFleet.ts';
import type { Owner } from '../support/Owner.ts';

/** What else happens while endpoints crash; the scheduler is gateway 0. */
export type CrashDisturbance =
  | { readonly _tag: 'none' }
  /** The scheduler is killed after so many crashes, and starts again. */
  | { readonly _tag: 'schedulerKilled'; readonly afterCrashes: number }
  /** The scheduler stands still after so many crashes, for so long. */
  | { readonly _tag: 'schedulerPaused'; readonly afterCrashes: number; readonly forMs: number }
  /** What the scheduler sends doesn't reach the others for a while, after so many crashes. */
  | { readonly _tag: 'schedulerCutOneWay'; readonly afterCrashes: number; readonly forMs: number }
  /** The store answers 503 from the third crash on. */
  | { readonly _tag: 'storeAway' }
  /** Another gateway than the scheduler is killed, and starts again, every so often. */
  | { readonly _tag: 'othersKilled'; readonly everyMs: number };

/**
 * Makes a function that disturbs a fleet of gateways as its endpoints crash.
 *
 * @param owner - ends what goes on periodically
 * @param fleet - the gateways
 * @param disturbance - what else happens
 * @returns a function to call with the number of crashes after each of them
 */
export const makeCrashDisturbance = (
  owner: Owner,
  fleet: GatewayFleet,
  disturbance: CrashDisturbance,
): ((count: number) => void) => {
  if (disturbance._tag === 'othersKilled' && fleet.size > 1) {
    let next = 1;
    const timer = setInterval(() => {
      fleet.restart(next);
      next = (next % (fleet.size - 1)) + 1;
    }, disturbance.everyMs);
    owner.after(() => clearInterval(timer));
  }
  return (count) => {
    switch (disturbance._tag) {
      case 'none':
      case 'othersKilled':
        return;
      case 'schedulerKilled':
        if (count === disturbance.afterCrashes) fleet.restart(0);
        return;
      case 'schedulerPaused':
        if (count === disturbance.afterCrashes) fleet.pause(0, disturbance.forMs);
        return;
      case 'schedulerCutOneWay':
        if (count === disturbance.afterCrashes)
          fleet.harmPeerLink(0, { _tag: 'silent', direction: 'toCaller' }, disturbance.forMs);
        return;
      case 'storeAway':
        if (count === 3) fleet.store.setAway(true);
        return;
      default:
        disturbance satisfies never;
    }
  };
};
