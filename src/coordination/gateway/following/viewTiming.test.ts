import { describe, it } from 'node:test';
import { expect } from 'earl';
import { storeRetryDelay } from './storeRetryDelay.ts';
import {
  FIRST_BACKOFF_MS,
  LONGEST_ANSWER_MS,
  TRANSIT_RESERVE_MS,
  UNDISTURBED_MS,
  VIEW_BOUND_MS,
  WATCH_WAIT_MS,
  longestRetentionMs,
  longestViewAges,
  relianceMs,
} from './viewTiming.ts';

describe('viewTiming', () => {
  // DRAIN, CONFIG: each time was below the bound, but several of them came one after another.
  it('keeps the sum of the times on each path below the promised age', () => {
    Object.values(longestViewAges()).forEach((ageMs) =>
      expect(ageMs + TRANSIT_RESERVE_MS).toBeLessThan(VIEW_BOUND_MS),
    );
  });

  // DRAIN: an endpoint that had drained was kept after a slow store was well again, for longer than 3 s.
  it('drops missing entries before a gateway owes its promises again after the return of the store', () => {
    expect(longestRetentionMs()).toBeLessThan(UNDISTURBED_MS);
    expect(storeRetryDelay(Infinity, true, 1)).toBeLessThanOrEqual(LONGEST_ANSWER_MS);
  });

  it('lets no member call the store while the watches of the watcher confirm its view', () => {
    expect(WATCH_WAIT_MS + TRANSIT_RESERVE_MS).toBeLessThan(relianceMs(1));
  });

  it('counts the longest pause after a failed call', () => {
    expect(storeRetryDelay(0, true, 1)).toBeLessThanOrEqual(FIRST_BACKOFF_MS);
    expect(storeRetryDelay(0, false, 1)).toBeLessThanOrEqual(FIRST_BACKOFF_MS);
  });
});
