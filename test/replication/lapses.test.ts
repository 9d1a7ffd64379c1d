import { describe, it } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { playReplication } from './playReplication.ts';
import {
  calmSteps,
  lapseSteps,
  mergePlans,
  slowSteps,
  type ReplicationStep,
} from './ReplicationPlan.ts';

/** Random plans that a run of a test plays; `npm run replication -- --lapses` plays more. */
const RANDOM_PLANS = 300;

/** Plays random plans with one long outage of the store and further faults, and expects that no promise is broken. */
const playLapses = (
  furtherSteps: fc.Arbitrary<readonly ReplicationStep[]>,
  seed: number,
): Promise<void> =>
  fc.assert(
    fc.asyncProperty(fc.integer(), lapseSteps, furtherSteps, async (playSeed, plan, further) => {
      expect((await playReplication(playSeed, mergePlans(plan, further))).stale).toEqual([]);
    }),
    { numRuns: RANDOM_PLANS, seed },
  );

describe('Gateways that follow a store which was down for long', () => {
  // Refused requests: endpoints that lived were dropped as soon as the store was back, since their entries had expired.
  it('keep the endpoints whose entries expired, until these have had time to register again', async () => {
    await playLapses(calmSteps, 7);
  });

  // DRAIN, refused requests: what gateways told each other of the store's last answer looked later with each message, so
  // that an outage was noticed late, and views passed for younger than they were.
  it('know how long the store has been silent, though their messages are slow', async () => {
    await playLapses(slowSteps, 8);
  });
});
