import { describe, it } from 'node:test';
import { expect } from 'earl';
import { EndpointLimits } from './EndpointLimits.ts';
import { RejectionGuard } from './RejectionGuard.ts';

describe('RejectionGuard', () => {
  it('lets an endpoint have as many requests as it had at the rejection, and more with time', () => {
    const guard = new RejectionGuard();
    expect(guard.slotLimit(8, 6, 0)).toEqual(8);
    guard.recordRejection(3, 1_000);
    expect([1_000, 1_500, 3_500, 9_000].map((at) => guard.slotLimit(8, 6, at))).toEqual([
      3, 4, 8, 8,
    ]);
  });

  it('sends nothing for a while after half of the rejections that the endpoint bears', () => {
    const guard = new RejectionGuard();
    guard.recordRejection(3, 1_000);
    expect(guard.msUntilOpen(4, 1_100)).toEqual(0);
    guard.recordRejection(3, 1_100);
    expect(guard.msUntilOpen(4, 1_200)).toEqual(800);
    expect(guard.msUntilOpen(4, 2_000)).toEqual(0);
  });

  // Guards against an endpoint that is shut out for good where it bears no rejection at all (LIMIT).
  it('tries again after a second, however few rejections the endpoint bears', () => {
    const guard = new RejectionGuard();
    guard.recordRejection(0, 1_000);
    expect([guard.msUntilOpen(0, 1_500), guard.msUntilOpen(0, 2_000)]).toEqual([500, 0]);
    expect(guard.slotLimit(8, 0, 2_000)).toEqual(1);
  });
});

describe('EndpointLimits of an endpoint that bears few rejections', () => {
  const observe = (limits: EndpointLimits, rejectionsPerSecond: number | undefined, at: number) =>
    limits.observe(
      {
        endpoint: 'i-1/0',
        requestsPerSecond: undefined,
        rejectionsPerSecond,
        sentAt: at - 20,
        answeredAt: at,
      },
      at,
    );

  it('bind until an answer without the statement, and leave its rate alone', () => {
    const limits = new EndpointLimits();
    expect(observe(limits, 4, 1_000)).toEqual(true);
    expect(limits.isLimited('i-1/0', 1_000)).toEqual(true);
    expect(limits.rateOf('i-1/0', 1_000)).toEqual(Number.POSITIVE_INFINITY);
    expect(limits.msUntilAllowed('i-1/0', 1_000)).toEqual(0);
    limits.recordRejection('i-1/0', 2, 1_000);
    limits.recordRejection('i-1/0', 2, 1_000);
    expect([limits.msUntilAllowed('i-1/0', 1_000), limits.slotLimit('i-1/0', 8, 1_000)]).toEqual([
      1_000, 2,
    ]);
    expect(observe(limits, undefined, 3_000)).toEqual(true);
    expect(limits.isLimited('i-1/0', 5_100)).toEqual(false);
  });
});
