import { describe, it } from 'node:test';
import { setTimeout } from 'node:timers/promises';
import { expect } from 'earl';
import type { ChangeSpan } from '../../../coordination/gateway/index.ts';
import {
  makePosition,
  type ListResult,
  type ObjectStore,
  type StoreObject,
  type WatchResult,
} from '../../../protocol/gateway/index.ts';
import { StoreWatch, type StoreWatchOptions } from './StoreWatch.ts';

const WAIT_MS = 900;

const object = (name: string, revision: number): StoreObject => ({
  name,
  revision,
  spec: null,
  status: null,
});

/** A watch on a store that lists nothing and whose watches never end, unless options say otherwise. */
const makeWatch = (options: Partial<StoreWatchOptions>): StoreWatch =>
  new StoreWatch({
    store: {
      list: () => Promise.resolve({ _tag: 'listed', objects: [], revision: 10 }),
      watch: () => new Promise(() => {}),
    },
    kind: 'endpoints',
    isReliedOn: () => true,
    now: () => 0,
    random: () => 0,
    sleep: (ms) => setTimeout(ms),
    onWatchResult: () => {},
    onConfirmed: () => {},
    listener: {
      onList: () => {},
      onChanges: () => {},
      onAvailable: () => {},
      onUnavailable: () => {},
    },
    ...options,
  });

const settle = (): Promise<void> => setTimeout(0);

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

const CHANGED: WatchResult = {
  _tag: 'changed',
  changes: [{ removed: false, object: object('a', 11) }],
  revision: 11,
};

/** Runs a watch on a store that lists at once and leaves watches without an answer, until these are overdue. */
const runOverdue = async (options: Partial<StoreWatchOptions>) => {
  const answers: ((result: WatchResult) => void)[] = [];
  const sleeps: (() => void)[] = [];
  let now = 0;
  const watch = makeWatch({
    store: {
      list: () => Promise.resolve({ _tag: 'listed', objects: [], revision: 10 }),
      watch: () =>
        new Promise((resolve) => {
          answers.push(resolve);
        }),
    },
    now: () => now,
    sleep: () =>
      new Promise((resolve) => {
        sleeps.push(resolve);
      }),
    ...options,
  });
  watch.run().catch(() => {});
  await settle();
  now = 5_000;
  // Each turn ends the sleeps, so that calls are overdue and pauses are over.
  for (let turn = 0; turn < 4; turn += 1) {
    sleeps.splice(0).forEach((resolve) => resolve());
    await settle();
  }
  return { watch, answers };
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
    expect(events).toEqual(['list', 'regained', 'failed, reached false']);
  });

  // DRAIN: a report that left before the list was applied vouched for views that lacked what the list had brought.
  it('announces an answer once its changes are applied', async () => {
    const events: string[] = [];
    const watch = makeWatch({
      store: {
        list: () => Promise.resolve({ _tag: 'listed', objects: [object('a', 9)], revision: 10 }),
        watch: () => new Promise(() => {}),
      },
      onConfirmed: () => events.push('confirmed'),
      onAnswered: () => events.push(`answered at ${watch.revision}`),
      listener: {
        onList: () => {},
        onChanges: () => events.push('changes'),
        onAvailable: () => events.push(`regained at ${watch.revision}`),
        onUnavailable: () => {},
      },
    });
    watch.run().catch(() => {});
    await settle();
    watch.stop();
    expect(events).toEqual(['confirmed', 'changes', 'answered at 10', 'regained at 10']);
  });

  // DRAIN: a store that answered no watches was taken for unavailable, though it answered lists.
  it('lists after a watch that timed out', async () => {
    let now = 0;
    const calls: string[] = [];
    const watch = makeWatch({
      store: {
        list: () => {
          calls.push('list');
          return Promise.resolve({ _tag: 'listed', objects: [], revision: 10 });
        },
        watch: () => {
          calls.push('watch');
          return new Promise(() => {});
        },
      },
      now: () => now,
      sleep: (ms) => {
        if (calls.length > 3) return new Promise(() => {});
        now += ms;
        return Promise.resolve();
      },
    });
    watch.run().catch(() => {});
    await settle();
    watch.stop();
    expect(calls).toEqual(['list', 'watch', 'list', 'watch']);
  });

  // DRAIN: a call that was sent while the store was slow held up the next one, so that its return was noticed late.
  it('calls again while an answer is overdue, and uses the answer when it arrives', async () => {
    const confirmations: number[] = [];
    const { watch, answers } = await runOverdue({ onConfirmed: (at) => confirmations.push(at) });
    expect(answers.length).toBeGreaterThan(1);
    answers[0]?.(CHANGED);
    await settle();
    watch.stop();
    expect(watch.present).toEqual(['a']);
    expect(confirmations).toEqual([0, 5_000, 0]);
  });

  it('reports an error that an overdue answer led to', async () => {
    const errors: unknown[] = [];
    const onChanges = (): never => {
      throw new Error('not applied');
    };
    const { watch, answers } = await runOverdue({
      onError: (error) => errors.push(error),
      listener: { onList: () => {}, onChanges, onAvailable: () => {}, onUnavailable: () => {} },
    });
    answers[0]?.(CHANGED);
    await settle();
    watch.stop();
    expect(errors.length).toEqual(1);
  });

  // DRAIN, CONFIG: a list that was long on the way made the view look as young as if the store had just read it.
  it('takes a list for a confirmation as of its sending', async () => {
    let now = 0;
    const confirmations: number[] = [];
    const watch = makeWatch({
      store: {
        list: () => {
          now = 700;
          return Promise.resolve({ _tag: 'listed', objects: [], revision: 10 });
        },
        watch: () => new Promise(() => {}),
      },
      now: () => now,
      onConfirmed: (at) => confirmations.push(at),
    });
    watch.run().catch(() => {});
    await settle();
    watch.stop();
    expect(confirmations).toEqual([0]);
  });

  // DRAIN: an endpoint that came and went in a gap of the history stayed in use at a gateway that had seen it come.
  it('learns from a relayed list what is gone, also what its sender never saw', async () => {
    const watch = makeWatch({});
    watch.run().catch(() => {});
    await settle();
    watch.applyRelayed({
      fromRevision: 10,
      toRevision: 15,
      changes: [
        { removed: false, object: object('stays', 14) },
        { removed: false, object: object('came and went', 15) },
      ],
    });
    watch.applyRelayed({
      fromRevision: 10,
      toRevision: 20,
      changes: [{ removed: false, object: object('stays', 14) }],
      present: ['stays'],
    });
    expect(watch.present).toEqual(['stays']);
    expect(watch.gap).toEqual({ after: 15, until: 20 });
    expect(watch.changesSince(12)).toEqual({
      fromRevision: 12,
      toRevision: 20,
      changes: [{ removed: false, object: object('stays', 14) }],
      present: ['stays'],
    });
    expect(watch.changesSince(16)).toEqual({
      fromRevision: 16,
      toRevision: 20,
      changes: [],
      present: ['stays'],
    });
    expect([watch.changesSince(0), watch.changesSince(20)]).toEqual([undefined, undefined]);
    watch.stop();
  });

  // CONFIG: a gateway that the store refused from its start had no configuration, beside peers that had it.
  it('takes the whole view of a peer where it has none', () => {
    const watch = makeWatch({});
    watch.applyView(30, [object('a', 12)]);
    expect([watch.revision, watch.present]).toEqual([30, ['a']]);
    watch.applyView(20, []);
    expect(watch.present).toEqual(['a']);
  });

  // Guards against a loop of watches and lists without a pause, where no history follows the position of the list.
  it('pauses longer and longer before lists that lead to the same position', async () => {
    const pauses: number[] = [];
    let lists = 0;
    const holder: { watch?: StoreWatch } = {};
    holder.watch = makeWatch({
      store: {
        list: () => {
          lists += 1;
          if (lists === 5) holder.watch?.stop();
          return Promise.resolve({ _tag: 'listed', objects: [], revision: 10 });
        },
        watch: () => Promise.resolve({ _tag: 'expired' }),
      },
      sleep: (ms) => {
        // The others bound the time for an answer.
        if (ms < WAIT_MS) pauses.push(ms);
        return ms < WAIT_MS ? Promise.resolve() : new Promise(() => {});
      },
    });
    await holder.watch.run();
    // Lists have their own bound; what grows are the pauses between them.
    const grown = pauses.filter((ms, index) => index === 0 || ms > (pauses[index - 1] ?? 0));
    expect(grown.length).toBeGreaterThan(2);
  });

  it('takes the list of a later era for newer, whatever its revision, and completes any view of a peer by it', async () => {
    const spans: ChangeSpan[] = [];
    const eras: number[][] = [];
    const results: ListResult[] = [
      { _tag: 'listed', objects: [object('a', 900), object('gone', 890)], revision: 900 },
      {
        _tag: 'listed',
        objects: [object('a', makePosition(1, 850))],
        revision: makePosition(1, 870),
      },
    ];
    const holder: { watch?: StoreWatch } = {};
    const listener = {
      onList: () => {},
      onChanges: () => {},
      onAvailable: () => {},
      onUnavailable: () => {},
      onNewEra: (before: number, after: number) => eras.push([before, after]),
    };
    holder.watch = makeWatch({
      store: {
        list: () => Promise.resolve(results.shift() as ListResult),
        watch: () => {
          if (results.length === 0) holder.watch?.stop();
          return Promise.resolve({ _tag: 'expired' });
        },
      },
      listener,
      onWatchResult: (span) => spans.push(span),
    });
    await holder.watch.run();
    expect(eras).toEqual([[900, makePosition(1, 870)]]);
    expect(holder.watch.present).toEqual(['a']);
    expect(spans.map(({ fromRevision, present }) => [fromRevision, present])).toEqual([[0, ['a']]]);

    const follower = makeWatch({});
    follower.applyView(910, [object('a', 905), object('gone', 890)]);
    expect(follower.applyRelayed(spans[0] as ChangeSpan)).toEqual(true);
    expect([follower.revision, follower.present]).toEqual([makePosition(1, 870), ['a']]);
  });

  it('joins no changes of a later era to a view of an earlier one', () => {
    const watch = makeWatch({});
    watch.applyView(900, [object('a', 900)]);
    const changes = [{ removed: false, object: object('b', makePosition(1, 860)) }];
    const span = { fromRevision: 850, toRevision: makePosition(1, 860), changes };
    expect(watch.applyRelayed(span)).toEqual(false);
    expect([watch.revision, [...watch.present].sort()]).toEqual([900, ['a', 'b']]);
  });
});
