import { describe, it } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import pino from 'pino';
import { DomainDrainSubscription } from '../../src/app/gateway/following/DomainDrainSubscription.ts';
import { DomainDrains } from '../../src/coordination/gateway/index.ts';
import type { PeerMessage } from '../../src/protocol/peer/PeerMessage.ts';
import type { Member } from '../../src/state/Member.ts';
import { SimulatedStore, type StorePath } from './SimulatedStore.ts';
import { VirtualClock } from './VirtualClock.ts';

const DEADLINE_MS = 5_000;
const TICK_MS = 50;
const PEER_LATENCY_MS = 5;
/** Time after which peers take a killed gateway for gone. */
const DETECTION_MS = 850;
const GATEWAYS = 8;
const DRAIN_AT = 20_000;

interface Gateway {
  readonly id: string;
  readonly drains: DomainDrains;
  readonly subscription: DomainDrainSubscription;
  path: StorePath;
  paused: boolean;
  killed: boolean;
  /** Whether its messages to others are lost. */
  muted: boolean;
}

/** Gateways in two failure domains, in virtual time; the store's revision grows also without drains. */
const startGroup = (
  { deadlineMs }: { readonly deadlineMs?: number } = { deadlineMs: DEADLINE_MS },
) => {
  const clock = new VirtualClock();
  const store = new SimulatedStore(clock);
  const gateways: Gateway[] = [];
  const known = new Set<string>();
  const log: string[] = [];
  const domainOf = (id: string): number => Number(id.slice(1)) % 2;
  const send = (from: Gateway, to: string, message: PeerMessage): boolean => {
    const peer = gateways.find(({ id }) => id === to);
    if (from.muted || peer === undefined) return false;
    const deliver = (): void => {
      if (peer.paused) clock.after(TICK_MS, deliver);
      else if (!peer.killed) peer.subscription.handle(message);
    };
    clock.after(PEER_LATENCY_MS, deliver);
    return true;
  };
  const add = (index: number): Gateway => {
    const id = `g${index}`;
    const members = (): string[] =>
      [...known, id].filter((other) => domainOf(other) === domainOf(id)).sort();
    const drains = new DomainDrains(deadlineMs, clock.now);
    const holder: { gateway?: Gateway } = {};
    const self = (): Gateway => holder.gateway as Gateway;
    const asMembers = (ids: Iterable<string>): Member[] =>
      [...ids].filter((other) => other !== id).map((incarnation) => ({ incarnation }) as Member);
    const reached = store.reachedBy(
      () => holder.gateway?.path ?? 'open',
      () => false,
    );
    /** Hands a result over once the process isn't paused. */
    const whenRunning = <T>(result: T): T | Promise<T> =>
      holder.gateway?.paused ? clock.sleep(TICK_MS).then(() => whenRunning(result)) : result;
    const subscription = new DomainDrainSubscription({
      store: {
        list: (kind, call) => reached.list(kind, call).then(whenRunning),
        watch: (kind, revision, call) => reached.watch(kind, revision, call).then(whenRunning),
      },
      drains,
      group: {
        incarnation: id,
        storeWatcher: () => members()[0] as string,
        storeCallRank: () => members().indexOf(id),
        sameDomainPeers: () => asMembers(members()),
        send: (to, message) => send(self(), to, message),
        broadcast: (message) =>
          asMembers(known).forEach(({ incarnation }) => send(self(), incarnation, message)),
      },
      logger: pino({ level: 'silent' }),
      now: () => clock.now,
      random: () => 0.5,
      sleep: (ms) => clock.sleep(ms).then(() => whenRunning(undefined)),
      onChanged: (changes) => changes.forEach(({ _tag }) => log.push(`${id} ${_tag}`)),
    });
    const gateway = { id, drains, subscription, path: 'open' as const };
    holder.gateway = { ...gateway, paused: false, killed: false, muted: false };
    gateways.push(holder.gateway);
    known.add(id);
    subscription.start();
    const tick = (): void => {
      if (self().killed) return;
      if (!self().paused) subscription.tick();
      clock.after(TICK_MS, tick);
    };
    clock.after((index * TICK_MS) / GATEWAYS, tick);
    return holder.gateway;
  };
  for (let index = 0; index < GATEWAYS; index += 1) add(index);
  const beat = (): void => {
    store.put('endpoints', 'e', clock.now);
    clock.after(150, beat);
  };
  beat();
  const kill = (gateway: Gateway): void => {
    Object.assign(gateway, { killed: true, muted: true });
    gateway.subscription.stop();
    clock.after(DETECTION_MS, () => known.delete(gateway.id));
  };
  /** Running gateways that would send to the endpoints of a failure domain. */
  const sending = (domain = 'a'): string[] =>
    gateways
      .filter(({ killed, paused }) => !killed && !paused)
      .filter(({ drains }) => drains.isUsable(domain, clock.now))
      .map(({ id }) => id);
  return { clock, store, gateways, kill, sending, add, log };
};

const FAULT = fc.record({
  tag: fc.constantFrom(
    'pause' as const,
    'refused' as const,
    'silent' as const,
    'kill' as const,
    'mute' as const,
  ),
  gateways: fc.uniqueArray(fc.integer({ min: 0, max: GATEWAYS - 1 }), {
    minLength: 1,
    maxLength: 3,
  }),
  at: fc.integer({ min: DRAIN_AT - 4_000, max: DRAIN_AT + 2_000 }),
  forMs: fc.integer({ min: 50, max: 9_000 }),
});

describe('Gateways that follow drains of failure domains', () => {
  // Guards against requests that reach a drained domain after the deadline because the gateway that calls the store
  // for its failure domain is gone, paused or cut off, or because a gateway goes on with an old view after a pause.
  it('send nothing to a drained domain after the deadline, whatever fails meanwhile', async () => {
    const property = fc.asyncProperty(FAULT, async ({ tag, gateways: places, at, forMs }) => {
      const { clock, store, gateways, kill, sending } = startGroup();
      clock.after(DRAIN_AT, () => store.put('domainDrains', 'a', {}));
      const harm = (gateway: Gateway, isHarmed: boolean): void => {
        if (tag === 'pause') Object.assign(gateway, { paused: isHarmed });
        else if (tag === 'mute') Object.assign(gateway, { muted: isHarmed });
        else if (tag !== 'kill') Object.assign(gateway, { path: isHarmed ? tag : 'open' });
        else if (isHarmed) kill(gateway);
        store.refresh();
      };
      const harmed = places.map((place) => gateways[place] as Gateway);
      clock.after(at, () => harmed.forEach((gateway) => harm(gateway, true)));
      clock.after(at + forMs, () => harmed.forEach((gateway) => harm(gateway, false)));
      await clock.runUntil(DRAIN_AT + DEADLINE_MS);
      for (let { now } = clock; now < DRAIN_AT + 14_000; now += TICK_MS / 2) {
        await clock.runUntil(now);
        expect(sending()).toEqual([]);
      }
      await clock.runUntil(DRAIN_AT + 20_000);
      expect(sending('b').length).toEqual(gateways.filter(({ killed }) => !killed).length);
    });
    await fc.assert(property, { numRuns: 100, seed: 1 });
  });

  // Guards against a call that was sent before a pause and failed after it, and that is taken for an outage of the store.
  it('send nothing after a pause in which an answer of the store was lost', async () => {
    const { clock, store, gateways, sending } = startGroup();
    await clock.runUntil(DRAIN_AT - 4_000);
    const [watcher, ...others] = gateways as [Gateway, ...Gateway[]];
    Object.assign(watcher, { paused: true, path: 'silent' });
    await clock.runUntil(DRAIN_AT);
    others.forEach((gateway) => Object.assign(gateway, { muted: true }));
    store.put('domainDrains', 'a', {});
    await clock.runUntil(DRAIN_AT + 5_000);
    Object.assign(watcher, { paused: false, path: 'open' });
    store.refresh();
    for (let { now } = clock; now < DRAIN_AT + 7_000; now += 5) {
      await clock.runUntil(now);
      expect(sending()).toEqual([]);
    }
  });

  it('have a drain in force, and its end, within a fraction of a second while all is well', async () => {
    const { clock, store, sending, log } = startGroup();
    await clock.runUntil(DRAIN_AT);
    store.put('domainDrains', 'a', {});
    await clock.runUntil(DRAIN_AT + 100);
    expect([sending('a').length, sending('b').length]).toEqual([0, GATEWAYS]);
    store.remove('domainDrains', 'a');
    store.put('domainDrains', 'a', {});
    store.remove('domainDrains', 'a');
    await clock.runUntil(DRAIN_AT + 200);
    expect(sending('a').length).toEqual(GATEWAYS);
    await clock.runUntil(DRAIN_AT + 9_000);
    expect(sending('a').length).toEqual(GATEWAYS);
    expect(log.filter((line) => line.startsWith('g0')).at(-1)).toEqual('g0 ended');
  });

  // Members that the store refused had old views, since those that it answered told nobody, and all called it in turn.
  it('confirm the views of those that the store refuses', async () => {
    const { clock, store, gateways } = startGroup();
    await clock.runUntil(10_000);
    gateways.slice(0, 4).forEach((gateway) => Object.assign(gateway, { path: 'refused' }));
    store.refresh();
    for (let { now } = clock; now < 40_000; now += TICK_MS) {
      await clock.runUntil(now);
      gateways.forEach(({ drains }) =>
        expect(clock.now - drains.confirmedAt).toBeLessThan(DEADLINE_MS),
      );
    }
  });

  // Guards against the cost of a third kind of objects that is called for as often as the others: each of these takes
  // more than 66 calls a minute and failure domain.
  it('call the store seldom', async () => {
    const { clock, store } = startGroup();
    await clock.runUntil(10_000);
    const { calls } = store;
    await clock.runUntil(70_000);
    expect(store.calls - calls <= 2 * 25).toEqual(true);
  });

  it('keep the last known state while the store is away, and learn of a drain once it is back', async () => {
    const { clock, store, sending } = startGroup();
    await clock.runUntil(DRAIN_AT);
    store.path = 'refused';
    store.refresh();
    store.put('domainDrains', 'a', {});
    await clock.runUntil(DRAIN_AT + 15_000);
    expect(sending().length).toEqual(GATEWAYS);
    store.path = 'open';
    store.refresh();
    await clock.runUntil(DRAIN_AT + 16_500);
    expect(sending()).toEqual([]);
  });

  // Guards against a gateway that starts without the store and sends to a domain that has long been drained.
  it('send nothing after their start until they have read the drains, but for no longer than 4 s', async () => {
    const { clock, store, add, sending } = startGroup();
    store.put('domainDrains', 'a', {});
    await clock.runUntil(DRAIN_AT);
    const late = add(8);
    expect(late.drains.isUsable('b', clock.now)).toEqual(false);
    await clock.runUntil(DRAIN_AT + 100);
    expect([sending('a').length, late.drains.isUsable('b', clock.now)]).toEqual([0, true]);
    store.path = 'refused';
    store.refresh();
    const cut = add(9);
    await clock.runUntil(DRAIN_AT + 4_050);
    expect(cut.drains.isUsable('b', clock.now)).toEqual(false);
    await clock.runUntil(DRAIN_AT + 4_100);
    expect(cut.drains.isUsable('b', clock.now)).toEqual(true);
  });

  it('send everywhere at once where the settings state no deadline, without a call', async () => {
    const { clock, store, sending } = startGroup({});
    await clock.runUntil(1_000);
    expect([store.calls, sending().length]).toEqual([0, GATEWAYS]);
  });
});
