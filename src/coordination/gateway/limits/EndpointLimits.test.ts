import { describe, it } from 'node:test';
import { expect } from 'earl';
import * as fc from 'fast-check';
import { EndpointLimits } from './EndpointLimits.ts';

const SEED = 20_261_204;
const ENDPOINT = 'i-1/0';
const WINDOW_MS = 4_000;
const STEP_MS = 10;

const stated = (requestsPerSecond: number | undefined, at: number, sentAt = at - 20) => ({
  endpoint: ENDPOINT,
  requestsPerSecond,
  sentAt,
  answeredAt: at,
});

/** Sends as much as the limits allow, and returns the times at which requests were sent. */
const sendAll = (limits: EndpointLimits, from: number, until: number): number[] => {
  const times: number[] = [];
  for (let now = from; now < until; now += STEP_MS) {
    while (limits.msUntilAllowed(ENDPOINT, now) <= 0 && times.length < 100_000) {
      limits.consume(ENDPOINT, now);
      times.push(now);
    }
  }
  return times;
};

const mostInWindow = (times: readonly number[]): number =>
  Math.max(
    0,
    ...times.map((start) => times.filter((at) => at >= start && at < start + WINDOW_MS).length),
  );

describe('EndpointLimits', () => {
  // Guards against bursts that exceed the bound together with what refills (LIMIT).
  it('never allows more than the bound in any window, and nearly the whole limit', () => {
    fc.assert(
      fc.property(fc.double({ min: 0, max: 60, noNaN: true }), (rate) => {
        const limits = new EndpointLimits();
        limits.observe(stated(rate, 0), 0);
        const times = sendAll(limits, 0, 20_000);
        expect(mostInWindow(times) <= 1.5 * 4 * rate + 5).toEqual(true);
        expect(times.length >= 20 * rate * 0.9 - 2).toEqual(true);
      }),
      { seed: SEED, numRuns: 40 },
    );
  });

  // Guards against gateways that decide alone and together exceed the limit.
  it('allows no more in sum if each of many processes decides alone within its share', () => {
    const size = 9;
    const times = Array.from({ length: size }, () => {
      const limits = new EndpointLimits();
      limits.observe(stated(3, 0), 0);
      limits.setShare(1 / size);
      return sendAll(limits, 0, 8_000);
    }).flat();
    expect(mostInWindow(times) <= 1.5 * 4 * 3 + 5).toEqual(true);
  });

  it('sends an endpoint that accepts nothing a request now and then', () => {
    const limits = new EndpointLimits();
    limits.observe(stated(0, 0), 0);
    const { length } = sendAll(limits, 0, 60_000);
    expect(length > 2 && length <= 13).toEqual(true);
  });

  it("doesn't take an answer that was on its way for the end of a limit", () => {
    const limits = new EndpointLimits();
    limits.observe(stated(3, 1_000), 1_000);
    expect(limits.observe(stated(undefined, 1_050, 990), 1_050)).toEqual(false);
    expect(limits.isLimited(ENDPOINT, 1_050)).toEqual(true);
    expect(limits.observe(stated(undefined, 1_300, 1_200), 1_300)).toEqual(true);
    expect(limits.limitedCount).toEqual(0);
  });

  it('ignores an older answer with another limit', () => {
    const limits = new EndpointLimits();
    limits.observe(stated(3, 1_000), 1_000);
    expect(limits.observe(stated(9, 900), 1_001)).toEqual(false);
    expect(limits.rateOf(ENDPOINT, 1_001)).toEqual(3);
  });

  // Guards against a herd of requests at an endpoint whose limit has just ended.
  it('lifts a limit step by step after its end', () => {
    const limits = new EndpointLimits();
    limits.observe(stated(3, 0), 0);
    limits.observe(stated(undefined, 1_000, 500), 1_000);
    expect(sendAll(limits, 1_000, 1_400).length <= 5).toEqual(true);
    expect(limits.isLimited(ENDPOINT, 2_999)).toEqual(true);
    expect(limits.isLimited(ENDPOINT, 3_000)).toEqual(false);
  });

  it('takes another start of an endpoint for one that stated nothing', () => {
    const limits = new EndpointLimits();
    limits.observe(stated(0.4, 0), 0);
    expect(limits.isLimited('i-1/1', 10)).toEqual(false);
  });

  it('starts with empty buckets when a process takes over', () => {
    const limits = new EndpointLimits();
    limits.observe(stated(3, 0), 0);
    limits.reset(60_000);
    expect(limits.msUntilAllowed(ENDPOINT, 60_000) > 300).toEqual(true);
  });

  it('forgets an ended limit, and one that nothing confirms', () => {
    const limits = new EndpointLimits();
    limits.observe(stated(3, 0), 0);
    limits.evict(599_000);
    expect(limits.limitedCount).toEqual(1);
    limits.evict(601_000);
    expect(limits.list()).toEqual([]);
  });
});
