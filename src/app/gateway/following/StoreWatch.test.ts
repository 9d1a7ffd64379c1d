import { describe, it } from 'node:test';
import { setTimeout } from 'node:timers/promises';
import { expect } from 'earl';
import type { ObjectStore, WatchResult } from '../../../protocol/gateway/index.ts';
import { StoreWatch } from './StoreWatch.ts';

const WAIT_MS = 900;

/** Runs a watch on a store that returns these results in turn, and stops it after the last one. */
const runWatch = async (results: readonly WatchResult[]) => {
  const waits: number[] = [];
  const events: string[] = [];
  const holder: { watch?: StoreWatch } = {};
  const store: ObjectStore = {
    list: () => Promise.resolve({ _tag: 'listed', objects: [], revision: 10 }),
    watch: (_kind, _revision, { waitMs }) => {
      const result = results[waits.length] ?? { _tag: 'expired' };
      waits.push(waitMs);
      if (waits.length > results.length) holder.watch?.stop();
      return Promise.resolve(result);
    },
  };
  holder.watch = new StoreWatch({
    store,
    kind: 'configuration',
    isReliedOn: () => true,
    now: () => 0,
    random: () => 0,
    sleep: (ms) => setTimeout(ms),
    onWatchResult: () => {},
    onConfirmed: () => {},
    listener: {
      onList: () => events.push('list'),
      onChanges: () => events.push('changes'),
      onAvailable: () => events.push('regained'),
      onUnavailable: () => events.push(`failed, reached ${holder.watch?.reached}`),
    },
  });
  await holder.watch.run();
  return { waits, events };
};

describe('StoreWatch', () => {
  it('uses a short wait after a failure, so that the recovery of the store is detected soon', async () => {
    const { waits } = await runWatch([
      { _tag: 'unavailable', detail: 'no answer' },
      { _tag: 'changed', changes: [], revision: 11 },
    ]);
    expect(waits[0]).toEqual(WAIT_MS);
    expect(waits[1] ?? WAIT_MS).toBeLessThan(WAIT_MS / 2);
    expect(waits[2]).toEqual(WAIT_MS);
  });

  it('reports the store as not reached when it announces a failure', async () => {
    const { events } = await runWatch([{ _tag: 'unavailable', detail: 'no answer' }]);
    expect(events).toEqual(['regained', 'list', 'failed, reached false']);
  });
});
