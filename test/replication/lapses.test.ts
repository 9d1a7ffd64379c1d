import { describe, it } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { playReplication } from './playReplication.ts';
import { calmSteps, lapseSteps, mergePlans, slowSteps } from './ReplicationPlan.ts';

/** Random plans that a run of the tests plays; `npm run replication -- --lapses` plays more. */
const RANDOM_PLANS = 300;

describe('Gateways that follow a store which was down for long', () => {
  // Refused requests: endpoints that lived were dropped as soon as the store was back, since their entries had expired.
  it('keep the endpoints whose entries expired, until these have had time to register again', async () => {
    const property = fc.asyncProperty(
      fc.integer(),
      lapseSteps,
      calmSteps,
      async (seed, plan, further) => {
        expect((await playReplication(seed, mergePlans(plan, further))).stale).toEqual([]);
      },
    );
    await fc.assert(property, { numRuns: RANDOM_PLANS, seed: 7 });
  });

  // DRAIN, refused requests: what gateways told each other of the store's last answer looked later with each message, so
  // that an outage was noticed late, and views passed for younger than they were.
  it('know how long the store has been silent, though their messages are slow', async () => {
    const property = fc.asyncProperty(
      fc.integer(),
      lapseSteps,
      slowSteps,
      async (seed, plan, further) => {
        expect((await playReplication(seed, mergePlans(plan, further))).stale).toEqual([]);
      },
    );
    await fc.assert(property, { numRuns: RANDOM_PLANS, seed: 8 });
  });
});
