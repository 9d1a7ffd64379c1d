import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import type { PeerMessage } from '../../protocol/peer/PeerMessage.ts';
import type { Bundle } from '../../state/Bundle.ts';
import type { ClientAccount } from '../../state/ClientAccount.ts';
import { poolBundle } from '../../../test/fakes/schedulingInputs.ts';
import type { Action } from '../Action.ts';
import { QuotaCache, QuotaAllocator } from './index.ts';

/** Simulated time between two steps. */
const STEP_MS = 10;

const bundleWith = (limits: Partial<ClientAccount>): Bundle => ({
  ...poolBundle([]),
  accounts: [
    {
      name: 'acme',
      tier: 'top',
      keyDigest: `sha256:${'0'.repeat(64)}`,
      requestsPerSecond: 1_000_000,
      tokensPerSecond: 1_000_000_000,
      concurrency: 1_000_000,
      ...limits,
    },
  ],
});

/**
 * Simulates the owner of an account, and entries that receive far more requests of the account than
 * its limits allow.
 */
class Entries {
  readonly allocator = new QuotaAllocator();

  readonly caches: readonly QuotaCache[];

  now = 0;

  admitted = 0;

  tokens = 0;

  running: { cacheIndex: number; endsAt: number; tokens: number }[] = [];

  maximumRunning = 0;

  private inTransit: { at: number; to: number | 'owner'; from: number; message: PeerMessage }[] =
    [];

  constructor(count: number, bundle: Bundle) {
    this.allocator.configure(bundle.accounts, 0);
    this.caches = Array.from(
      { length: count },
      (_, index) => new QuotaCache({ self: `h${index}` }),
    );
    this.caches.forEach((cache) => {
      cache.configure(bundle, 0);
      cache.setOwner('acme', 'owner', 0);
    });
  }

  /**
   * Offers requests to each entry in each step.
   *
   * @param durationMs - simulated duration in ms
   * @param perStep - requests per entry and step
   * @param tokens - tokens of each request
   * @param holdMs - time for which an admitted request runs, in ms
   */
  run(durationMs: number, perStep: number, tokens: number, holdMs: number): void {
    const until = this.now + durationMs;
    while (this.now < until) {
      this.now += STEP_MS;
      this.allocator.tick(this.now);
      this.endRequests();
      this.caches.forEach((cache, index) => {
        for (let each = 0; each < perStep; each += 1) this.offer(cache, index, tokens, holdMs);
        this.send(cache.tick(this.now), index);
      });
      this.deliver();
    }
  }

  private offer(cache: QuotaCache, index: number, tokens: number, holdMs: number): void {
    const outcome = cache.acquire('acme', tokens, this.now);
    if (outcome._tag === 'asked') this.send(outcome.actions, index);
    if (outcome._tag !== 'admitted') return;
    this.admitted += 1;
    this.tokens += tokens;
    this.running.push({ cacheIndex: index, endsAt: this.now + holdMs, tokens });
    this.maximumRunning = Math.max(this.maximumRunning, this.running.length);
  }

  private endRequests(): void {
    const ended = this.running.filter(({ endsAt }) => endsAt <= this.now);
    this.running = this.running.filter(({ endsAt }) => endsAt > this.now);
    ended.forEach(({ cacheIndex, tokens }) =>
      this.caches[cacheIndex]?.release('acme', tokens, this.now),
    );
  }

  private send(actions: readonly Action[], from: number): void {
    actions.forEach((action) => {
      if (action._tag !== 'send') return;
      this.inTransit.push({ at: this.now + 2, to: 'owner', from, message: action.message });
    });
  }

  private deliver(): void {
    const due = this.inTransit;
    this.inTransit = [];
    due.forEach(({ from, message }) => {
      const name = `h${from}`;
      if (message._tag === 'quotaReturn') this.allocator.handleReturn(name, message, this.now);
      if (message._tag !== 'quotaRequest') return;
      this.allocator.handleRequest(name, message, this.now).forEach((action) => {
        if (action._tag !== 'send' || action.message._tag !== 'quotaReply') return;
        this.caches[from]?.handleReply(action.message, this.now);
      });
    });
  }
}

test('an account that exceeds its request rate at nine entries is admitted at that rate plus at most 5 %', () => {
  const entries = new Entries(9, bundleWith({ requestsPerSecond: 50 }));
  entries.run(10_000, 1, 1, 20);
  expect(entries.admitted <= 50 * 10 * 1.05).toEqual(true);
  expect(entries.admitted >= 50 * 10 * 0.9).toEqual(true);
});

test('an account that exceeds its token rate at nine entries is admitted at that rate plus at most 5 %', () => {
  const entries = new Entries(9, bundleWith({ tokensPerSecond: 10_000 }));
  entries.run(10_000, 1, 200, 20);
  expect(entries.tokens <= 100_000 * 1.05).toEqual(true);
  expect(entries.tokens >= 100_000 * 0.9).toEqual(true);
});

test('the concurrent requests of an account never exceed its limit at any load', () => {
  const load = fc.record({
    concurrency: fc.integer({ min: 1, max: 40 }),
    entries: fc.integer({ min: 1, max: 9 }),
    holdMs: fc.integer({ min: 10, max: 3_000 }),
  });
  fc.assert(
    fc.property(load, ({ concurrency, entries: count, holdMs }) => {
      const entries = new Entries(count, bundleWith({ concurrency }));
      entries.run(3_000, 1, 1, holdMs);
      expect(entries.maximumRunning <= concurrency).toEqual(true);
      expect(entries.admitted >= Math.min(concurrency, 1)).toEqual(true);
    }),
    { seed: 3, numRuns: 30 },
  );
});

test('an entry applies its even share of the limits while the owner is unreachable', () => {
  const cache = new QuotaCache({ self: 'h0' });
  cache.configure(bundleWith({ requestsPerSecond: 90 }), 0);
  cache.fallBackToEvenShare('acme', 9, 0);
  let admitted = 0;
  for (let now = 0; now < 10_000; now += STEP_MS) {
    if (cache.acquire('acme', 1, now)._tag === 'admitted') admitted += 1;
  }
  expect(admitted).toBeGreaterThan(94);
  expect(admitted).toBeLessThan(106);
});
