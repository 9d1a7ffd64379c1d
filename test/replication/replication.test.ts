import { describe, it } from 'node:test';
import { expect } from 'earl';
import { playReplication } from './playReplication.ts';
import type { ReplicationStep } from './ReplicationPlan.ts';

const findStaleViews = async (plan: readonly ReplicationStep[], seed = 0) =>
  (await playReplication(seed, plan)).stale;

const cutStore = (gateways: readonly number[], forMs: number) =>
  ({ _tag: 'cutStore', gateways, how: 'refused', forMs }) as const;

const removeEndpoint = { _tag: 'leave', endpoint: 0, drains: false } as const;

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
});
