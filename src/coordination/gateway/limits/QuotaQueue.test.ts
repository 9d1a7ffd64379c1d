import { describe, it } from 'node:test';
import { expect } from 'earl';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Account } from '../../../state/gateway/index.ts';
import { QuotaLimiter } from './QuotaLimiter.ts';
import { QuotaQueue, type QuotaRequest } from './QuotaQueue.ts';

const BOUNDS = { windowMs: 8_000, overshoot: 0.1, slack: 140_000 };
const ACCOUNT: Account = {
  name: 'newsroom',
  keys: ['key'],
  quota: { unit: 'tokens', ratePerSecond: 36_000, burst: 36_000, defaultTokens: 200 },
};
/** (36,000 x 8 + 36,000) x 1.1 + 140,000. */
const ALLOWED_PER_WINDOW = 496_400;
const SMALL = 2_000;
const LARGE = 40_000;
const TICK_MS = 50;
const SEED = 7;

interface Sent {
  readonly units: number;
  readonly at: number;
  readonly waitedMs: number;
}

/** Plays requests of one account, from a reset of the buckets at 0. */
const play = (arrivals: readonly { readonly at: number; readonly units: number }[]) => {
  const queue = new QuotaQueue<QuotaRequest>(new QuotaLimiter(BOUNDS, 0));
  const sent: Sent[] = [];
  const refused: number[] = [];
  const release = (now: number): void =>
    queue.release(now).forEach(({ request, arrivedAt }) => {
      sent.push({ units: request.units, at: now, waitedMs: now - arrivedAt });
    });
  let tickAt = 0;
  arrivals.forEach(({ at, units }, index) => {
    for (; tickAt <= at; tickAt += TICK_MS) release(tickAt);
    const request = { id: `${index}`, owner: 'gateway', account: ACCOUNT, units, share: 1 };
    const admission = queue.offer({ ...request, remainingMs: 12_000 }, at);
    if (admission._tag === 'charged') sent.push({ units, at, waitedMs: 0 });
    if (admission._tag === 'refused') refused.push(units);
  });
  for (const until = tickAt + 5_000; tickAt < until; tickAt += TICK_MS) release(tickAt);
  return { sent, refused };
};

/** Requests at random times, of which a tenth is large. */
const mixedArrivals = (tokensPerSecond: number, toMs: number) => {
  const random = xoroshiro128plus(SEED);
  const fraction = (): number => uniformFloat64(random);
  const meanMs = ((0.9 * SMALL + 0.1 * LARGE) / tokensPerSecond) * 1_000;
  const arrivals: { readonly at: number; readonly units: number }[] = [];
  for (let at = 0; at < toMs; at -= meanMs * Math.log(1 - fraction()))
    arrivals.push({ at, units: fraction() < 0.1 ? LARGE : SMALL });
  return arrivals;
};

describe('QuotaQueue', () => {
  // Guards against refusals of an account within its rate in the moments after all gateways were killed.
  it('refuses nothing of an account within its rate after a reset, and delays it little', () => {
    const arrivals = Array.from({ length: 130 }, (_, index) => ({ at: index * 60, units: SMALL }));
    const { sent, refused } = play(arrivals);
    expect(refused.length).toEqual(0);
    expect(Math.max(...sent.map(({ waitedMs }) => waitedMs)) <= 300).toEqual(true);
    const limiter = new QuotaLimiter(BOUNDS, 0);
    const unqueued = arrivals.filter(({ at, units }) => limiter.take(ACCOUNT, units, 1, at) > 0);
    expect(unqueued.length > 0).toEqual(true);
  });

  // Guards against large requests of an account above its quota that starve behind its small ones.
  it('serves large requests about as often as small ones while an account sends six times its rate', () => {
    const arrivals = mixedArrivals(6 * 36_000, 20_000);
    const servedShare = (units: number, sent: readonly { readonly units: number }[]): number =>
      sent.filter((request) => request.units === units).length /
      arrivals.filter((request) => request.units === units).length;
    const { sent } = play(arrivals);
    const limiter = new QuotaLimiter(BOUNDS, 0);
    const unqueued = arrivals.filter(({ at, units }) => limiter.take(ACCOUNT, units, 1, at) === 0);
    expect(servedShare(LARGE, unqueued) < 0.5 * servedShare(SMALL, unqueued)).toEqual(true);
    expect(servedShare(LARGE, sent) >= 0.5 * servedShare(SMALL, sent)).toEqual(true);
  });

  it('keeps every window within the bound of the quota', () => {
    const { sent } = play(mixedArrivals(8 * 36_000, 40_000));
    const used = sent.map(({ at: end }) =>
      sent
        .filter(({ at }) => at <= end && at > end - BOUNDS.windowMs)
        .reduce((sum, { units }) => sum + units, 0),
    );
    expect(Math.max(...used) <= ALLOWED_PER_WINDOW).toEqual(true);
  });

  it('refuses at once what the requests ahead would delay for long', () => {
    const { refused, sent } = play(mixedArrivals(6 * 36_000, 20_000));
    expect(refused.length > 0).toEqual(true);
    const longest = Math.max(...sent.map(({ waitedMs }) => waitedMs));
    expect(longest <= 12_000 / 8 + TICK_MS).toEqual(true);
  });

  it('drops the requests of a gateway that is gone', () => {
    const queue = new QuotaQueue<QuotaRequest>(new QuotaLimiter(BOUNDS, 0));
    const request = { id: 'a', owner: 'gone', account: ACCOUNT, units: SMALL, share: 1 };
    expect(queue.offer({ ...request, remainingMs: 12_000 }, 0)._tag).toEqual('queued');
    expect(queue.has('a')).toEqual(true);
    queue.retain(({ owner }) => owner !== 'gone');
    expect(queue.has('a')).toEqual(false);
    expect(queue.release(10_000)).toEqual([]);
  });
});
