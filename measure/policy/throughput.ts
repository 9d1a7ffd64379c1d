import type { Action } from '../../src/coordination/Action.ts';
import { PoolScheduler } from '../../src/coordination/scheduling/index.ts';
import {
  poolBundle,
  poolReservation,
  poolRouting,
  TIMING,
} from '../../test/fakes/schedulingInputs.ts';
import { PRODUCT } from './scenarios.ts';

const ENDPOINTS = 12;
const SLOTS = 16;
const TICK_EVERY_MS = 20;

/** Reservations a second that one scheduler handles while so many wait, and its sweeps beside them. */
export function measureThroughput(waiting: number, perSecond: number, forMs: number): number {
  const scheduler = new PoolScheduler({ pool: 'p', policy: PRODUCT, timing: TIMING });
  const bundle = poolBundle(Array.from({ length: ENDPOINTS }, () => ({ slots: SLOTS })));
  scheduler.configure({ bundle, routing: poolRouting(), leaving: new Set() }, 0);
  const running: { id: string; endpoint: string }[] = [];
  let count = 0;
  let done = 0;
  const take = (actions: readonly Action[]): void =>
    actions.forEach((action) => {
      if (action._tag !== 'send' || action.message._tag !== 'granted') return;
      running.push(...action.message.grants);
    });
  const reserve = (now: number): void => {
    count += 1;
    const account = `account${count % 5}`;
    const change = { account, tierRank: count % 3, remainingMs: 600_000, outputTokens: 20 };
    take(scheduler.reserve('home', [poolReservation(`r${count}`, change)], now));
  };
  for (let index = 0; index < ENDPOINTS * SLOTS + waiting; index += 1) reserve(0);
  const startedAt = performance.now();
  for (let now = 1; now <= forMs; now += 1) {
    for (let each = 0; each < perSecond / 1_000; each += 1) {
      const { id, endpoint } = running.shift()!;
      const tokens = { promptTokens: 100, cachedTokens: 0, outputTokens: 20 };
      const times = { firstTokenMs: 13, totalMs: 213, connectFailure: false };
      const record = { result: 'completed', ...times, ...tokens } as const;
      const place = { endpoint, version: 'v1', pool: 'p', route: 'r' };
      take(scheduler.release('home', { _tag: 'release', id, ...place, record }, now));
      reserve(now);
      done += 1;
    }
    if (now % TICK_EVERY_MS === 0) take(scheduler.tick(now));
  }
  return Math.round((1_000 * done) / (performance.now() - startedAt));
}
