import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import type { PeerMessage } from '../../protocol/peer/PeerMessage.ts';
import type { Bundle } from '../../state/Bundle.ts';
import type { ClientAccount } from '../../state/ClientAccount.ts';
import { poolBundle } from '../../../test/fakes/schedulingInputs.ts';
import type { Action } from '../Action.ts';
import { QuotaCache, QuotaAllocator } from './index.ts';

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

/** Entries that are asked for far more than an account may have, with one of them as its owner. */
class Entries {
  readonly ledger = new QuotaAllocator();

  readonly caches: readonly QuotaCache[];

  now = 0;

  admitted = 0;

  tokens = 0;

  running: { cache: number; endsAt: number; tokens: number }[] = [];

  maximumRunning = 0;

  private letters: { at: number; to: number | 'owner'; from: number; message: PeerMessage }[] = [];

  constructor(count: number, bundle: Bundle) {
    this.ledger.configure(bundle.accounts, 0);
    this.caches = Array.from(
      { length: count },
      (_, index) => new QuotaCache({ self: `h${index}` }),
    );
    this.caches.forEach((cache) => {
      cache.configure(bundle, 0);
      cache.setOwner('acme', 'owner', 0);
    });
  }

  /** Offers requests at every entry in every step. */
  run(forMs: number, perStep: number, tokens: number, holdMs: number): void {
    const until = this.now + forMs;
    while (this.now < until) {
      this.now += STEP_MS;
      this.ledger.tick(this.now);
      this.finish();
      this.caches.forEach((cache, index) => {
        for (let each = 0; each < perStep; each += 1) this.offer(cache, index, tokens, holdMs);
        this.post(cache.tick(this.now), index);
      });
      this.deliver();
    }
  }

  private offer(cache: QuotaCache, index: number, tokens: number, holdMs: number): void {
    const outcome = cache.acquire('acme', tokens, this.now);
    if (outcome._tag === 'asked') this.post(outcome.actions, index);
    if (outcome._tag !== 'admitted') return;
    this.admitted += 1;
    this.tokens += tokens;
    this.running.push({ cache: index, endsAt: this.now + holdMs, tokens });
    this.maximumRunning = Math.max(this.maximumRunning, this.running.length);
  }

  private finish(): void {
    const over = this.running.filter(({ endsAt }) => endsAt <= this.now);
    this.running = this.running.filter(({ endsAt }) => endsAt > this.now);
    over.forEach(({ cache, tokens }) => this.caches[cache]?.release('acme', tokens, this.now));
  }

  private post(actions: readonly Action[], from: number): void {
    actions.forEach((action) => {
      if (action._tag !== 'send') return;
      this.letters.push({ at: this.now + 2, to: 'owner', from, message: action.message });
    });
  }

  private deliver(): void {
    const due = this.letters;
    this.letters = [];
    due.forEach(({ from, message }) => {
      const name = `h${from}`;
      if (message._tag === 'quotaReturn') this.ledger.handleReturn(name, message, this.now);
      if (message._tag !== 'quotaRequest') return;
      this.ledger.handleRequest(name, message, this.now).forEach((action) => {
        if (action._tag !== 'send' || action.message._tag !== 'quotaReply') return;
        this.caches[from]?.handleReply(action.message, this.now);
      });
    });
  }
}

test('a greedy account gets its rate of requests over nine entries and at most 5 % more', () => {
  const entries = new Entries(9, bundleWith({ requestsPerSecond: 50 }));
  entries.run(10_000, 1, 1, 20);
  expect(entries.admitted <= 50 * 10 * 1.05).toEqual(true);
  expect(entries.admitted >= 50 * 10 * 0.9).toEqual(true);
});

test('a greedy account gets its rate of tokens over nine entries and at most 5 % more', () => {
  const entries = new Entries(9, bundleWith({ tokensPerSecond: 10_000 }));
  entries.run(10_000, 1, 200, 20);
  expect(entries.tokens <= 100_000 * 1.05).toEqual(true);
  expect(entries.tokens >= 100_000 * 0.9).toEqual(true);
});

test('no more requests of an account run at once than its limit, whatever the load', () => {
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

test('an entry that loses the owner keeps to its even share', () => {
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
