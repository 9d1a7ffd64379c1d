import { describe, it } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { playReplication } from './playReplication.ts';
import {
  calmSteps,
  endpointSteps,
  mergePlans,
  replicationPlan,
  restoreSteps,
  type ReplicationStep,
} from './ReplicationPlan.ts';

const findStaleViews = async (plan: readonly ReplicationStep[], seed = 0) =>
  (await playReplication(seed, plan)).stale;

const cutStore = (gateways: readonly number[], forMs: number) =>
  ({ _tag: 'cutStore', gateways, how: 'refused', forMs }) as const;

const removeEndpoint = { _tag: 'leave', endpoint: 0, drains: false } as const;

/** Random plans that a run of the tests plays; `npm run replication` plays more. */
const RANDOM_PLANS = 300;

describe('Gateways that follow a store', () => {
  // DRAIN: requests reached an endpoint long after its entry was removed from the store.
  it('drop a removed endpoint after their own calls failed and a watcher took over', async () => {
    const plan: readonly ReplicationStep[] = [
      { at: 0, action: removeEndpoint },
      { at: 0, action: { _tag: 'storeDown', how: 'refused', forMs: 20 } },
      { at: 0, action: cutStore([5], 207) },
    ];
    expect(await findStaleViews(plan)).toEqual([]);
  });

  // CONFIG: gateways answered by an old configuration until the next change of the store.
  it('learn what their watcher read from a list after the store discarded its history', async () => {
    const plan: readonly ReplicationStep[] = [
      { at: 0, action: cutStore([1], 61) },
      { at: 0, action: { _tag: 'compact', mutedMs: 0, leaves: false } },
    ];
    expect(await findStaleViews(plan)).toEqual([]);
  });

  // DRAIN: followers kept an endpoint in use for longer than the watcher that had seen an outage.
  it('keep missing endpoints no longer than the watcher whose outage they did not see', async () => {
    const plan: readonly ReplicationStep[] = [
      { at: 0, action: cutStore([0], 20) },
      { at: 2_061, action: removeEndpoint },
    ];
    expect(await findStaleViews(plan)).toEqual([]);
  });

  // DRAIN: an endpoint that left in the grace time after an outage stayed in use to the end of it.
  it('drop an endpoint in time that leaves in the grace time after an outage', async () => {
    const plan: readonly ReplicationStep[] = [
      { at: 0, action: cutStore([0], 20) },
      { at: 0, action: removeEndpoint },
    ];
    expect(await findStaleViews(plan, -1_116_372)).toEqual([]);
  });

  // DRAIN: the end of an outage was noticed so late that the grace time after it ended too late.
  it('end the grace time before they count as undisturbed', async () => {
    const plan: readonly ReplicationStep[] = [
      { at: 3_544, action: { _tag: 'compact', mutedMs: 641, leaves: false } },
      { at: 3_755, action: removeEndpoint },
      { at: 4_260, action: cutStore([0], 3_110) },
      { at: 7_185, action: { ...removeEndpoint, endpoint: 5 } },
      { at: 7_686, action: { _tag: 'configure' } },
    ];
    expect(await findStaleViews(plan, 29)).toEqual([]);
  });

  // DRAIN: an endpoint that left while one watch was cut was kept as if it had expired in an outage of the store.
  it('drop an endpoint in time that is removed while the store cuts watches', async () => {
    const plan: readonly ReplicationStep[] = [
      { at: 0, action: { _tag: 'cutWatches' } },
      { at: 1, action: removeEndpoint },
    ];
    expect(await findStaleViews(plan)).toEqual([]);
  });

  // DRAIN: the same after a call that the store turned away because too many came at once.
  it('drop an endpoint in time that is removed after the store turned calls away', async () => {
    const plan: readonly ReplicationStep[] = [
      { at: 0, action: { _tag: 'turnAway', gateways: [0], calls: 2 } },
      { at: 600, action: removeEndpoint },
    ];
    expect(await findStaleViews(plan)).toEqual([]);
  });

  // DRAIN: followers that learned of a removal late kept the endpoint for the whole retention time from then.
  it('drop an endpoint in time whose removal they learn late', async () => {
    const plan: readonly ReplicationStep[] = [
      { at: 0, action: { _tag: 'pause', gateway: 0, forMs: 20 } },
      { at: 1_523, action: { _tag: 'cutStore', gateways: [0], how: 'silent', forMs: 1_279 } },
      { at: 1_524, action: removeEndpoint },
    ];
    expect(await findStaleViews(plan, 286_837_025)).toEqual([]);
  });

  // DRAIN: relayed changes that a follower knew already brought a removed endpoint back.
  it('keep a removed endpoint out when a watcher relays again what they know', async () => {
    const plan: readonly ReplicationStep[] = [
      { at: 0, action: removeEndpoint },
      { at: 0, action: cutStore([0], 2_817) },
      { at: 0, action: { _tag: 'loseMessages', from: 0, to: 0 } },
      { at: 501, action: { ...removeEndpoint, endpoint: 5 } },
      { at: 3_010, action: { _tag: 'configure' } },
    ];
    expect(await findStaleViews(plan)).toEqual([]);
  });

  // CONFIG: a watcher that held a change before its view was complete didn't pass it on, nor report it.
  it('learn from a list of their watcher what it held before', async () => {
    const plan: readonly ReplicationStep[] = [
      { at: 0, action: { _tag: 'leave', endpoint: 0, drains: true } },
      { at: 0, action: { _tag: 'suspect', by: 0, about: 0, forMs: 20 } },
      { at: 1_845, action: { _tag: 'cutPeers', gateway: 2, forMs: 695 } },
      { at: 3_461, action: { _tag: 'storeDown', how: 'silent', forMs: 2_045 } },
      { at: 5_953, action: { _tag: 'cutStore', gateways: [0], how: 'silent', forMs: 1_589 } },
      { at: 6_233, action: { _tag: 'leave', endpoint: 0, drains: true } },
      { at: 7_596, action: { _tag: 'kill', gateways: [9, 0], downMs: 1_167 } },
      { at: 8_893, action: { _tag: 'compact', mutedMs: 0, leaves: false } },
    ];
    expect(await findStaleViews(plan, 2_147_479_539)).toEqual([]);
  });

  // DRAIN: a watcher that the store refused took its own silence for an outage, and kept an endpoint that it saw leave.
  it('drop an endpoint in time that is removed while the store refuses their watcher', async () => {
    const plan: readonly ReplicationStep[] = [
      { at: 0, action: cutStore([0], 1_576) },
      { at: 1_631, action: removeEndpoint },
    ];
    expect(await findStaleViews(plan)).toEqual([]);
  });

  // DRAIN: a store that answered no watches after it had discarded its history counted as unavailable, and one list led
  // to a longer grace time at the gateway that read it than at those to which it was relayed.
  it('drop an endpoint in time that is removed while the store answers no watches', async () => {
    const plan: readonly ReplicationStep[] = [
      { at: 790, action: removeEndpoint },
      {
        at: 794,
        action: { _tag: 'cutStore', gateways: [5, 3, 0, 2], how: 'silent', forMs: 1_455 },
      },
      { at: 2_299, action: { _tag: 'compact', mutedMs: 888, leaves: false } },
    ];
    expect(await findStaleViews(plan)).toEqual([]);
  });

  // DRAIN: a slow store was only listed, which takes longer than a list may, though it would have answered a watch.
  it('drop an endpoint in time that leaves before a store turns slow', async () => {
    const plan: readonly ReplicationStep[] = [
      { at: 0, action: { _tag: 'loseMessages', from: 0, to: 0 } },
      { at: 1_453, action: { _tag: 'slowStore', byMs: 992, forMs: 2_346 } },
      { at: 9_115, action: { _tag: 'compact', mutedMs: 450, leaves: true } },
      { at: 9_606, action: { _tag: 'slowStore', byMs: 992, forMs: 1_698 } },
      { at: 9_839, action: cutStore([3, 6], 2_329) },
    ];
    expect(await findStaleViews(plan)).toEqual([]);
  });

  // DRAIN: a call without an answer held up the next one, so that a slow store was taken for an unavailable one, and its
  // return was noticed so late that an endpoint which had drained was kept for longer than 3 s after it.
  it('drop a drained endpoint in time after a store that was slow is well again', async () => {
    const plan: readonly ReplicationStep[] = [
      { at: 0, action: { _tag: 'compact', mutedMs: 655, leaves: false } },
      { at: 0, action: { _tag: 'cutStore', gateways: [0], how: 'silent', forMs: 20 } },
      { at: 1_762, action: { _tag: 'compact', mutedMs: 820, leaves: true } },
      { at: 2_434, action: { _tag: 'slowStore', byMs: 992, forMs: 3_024 } },
      { at: 5_167, action: { _tag: 'turnAway', gateways: [0], calls: 1 } },
    ];
    expect(await findStaleViews(plan)).toEqual([]);
  });

  // DRAIN: a request was written to an endpoint that had said to the gateway that it leaves while the connection opened.
  it('write nothing to an endpoint that has said that it leaves', async () => {
    const plan: readonly ReplicationStep[] = [
      { at: 0, action: { _tag: 'pause', gateway: 0, forMs: 20 } },
      { at: 3_051, action: { _tag: 'sayLeaving', endpoint: 0, to: 0, drains: false } },
    ];
    expect(await findStaleViews(plan)).toEqual([]);
  });

  it('act on no view that is older than promised, whatever happens', async () => {
    const property = fc.asyncProperty(fc.integer(), replicationPlan, async (seed, plan) => {
      expect(await findStaleViews(plan, seed)).toEqual([]);
    });
    await fc.assert(property, { numRuns: RANDOM_PLANS, seed: 1 });
  });

  // DRAIN: as above; single calls that fail and late messages are no disturbance that excuses an old view.
  it('act on no view that is older than promised, though single calls fail as well', async () => {
    const property = fc.asyncProperty(
      fc.integer(),
      replicationPlan,
      calmSteps,
      async (seed, plan, further) => {
        expect(await findStaleViews(mergePlans(plan, further), seed)).toEqual([]);
      },
    );
    await fc.assert(property, { numRuns: RANDOM_PLANS, seed: 35 });
  });

  it('send nothing late, though endpoints say that they leave and entries can not be read', async () => {
    const property = fc.asyncProperty(
      fc.integer(),
      replicationPlan,
      endpointSteps,
      async (seed, plan, further) => {
        expect(await findStaleViews(mergePlans(plan, further), seed)).toEqual([]);
      },
    );
    await fc.assert(property, { numRuns: RANDOM_PLANS, seed: 44 });
  });

  // CONFIG, DRAIN: gateways took in no change after the store had come back from an older copy.
  it('act on no view that is older than promised, though the store goes back to older copies', async () => {
    const property = fc.asyncProperty(
      fc.integer(),
      replicationPlan,
      restoreSteps,
      async (seed, plan, further) => {
        expect(await findStaleViews(mergePlans(plan, further), seed)).toEqual([]);
      },
    );
    await fc.assert(property, { numRuns: RANDOM_PLANS, seed: 25 });
  });
});
