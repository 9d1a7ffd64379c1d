import { describe, it } from 'node:test';
import { expect } from 'earl';
import { ClockJumpDetector } from './ClockJumpDetector.ts';

describe('ClockJumpDetector', () => {
  it('finds a suspension, which only the wall clock counts, until it is reset', () => {
    const detector = new ClockJumpDetector(0, 10_000);
    expect(detector.hasJumped(50, 10_050)).toEqual(false);
    expect([detector.hasJumped(100, 13_100), detector.hasJumped(150, 13_150)]).toEqual([
      true,
      true,
    ]);
    detector.reset(150, 13_150);
    expect(detector.hasJumped(200, 13_200)).toEqual(false);
  });

  // Guards against a lease that is used after a suspension, because the wall clock was set back before.
  it('finds a suspension after the wall clock was set back', () => {
    const detector = new ClockJumpDetector(0, 10_000);
    expect(detector.hasJumped(50, 5_050)).toEqual(false);
    expect(detector.hasJumped(100, 8_100)).toEqual(true);
  });
});
