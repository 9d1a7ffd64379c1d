import { describe, it } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { PauseDetector, type Pause } from './PauseDetector.ts';

const SEED = 6;
const TICK_MS = 50;

const observe = (steps: readonly { readonly ms: number; readonly wallMs: number }[]) => {
  const detector = new PauseDetector();
  let now = 1_000;
  let wallNow = 1_800_000_000_000;
  detector.observe(now, wallNow);
  return steps.map(({ ms, wallMs }): Pause | undefined => {
    now += ms;
    wallNow += wallMs;
    return detector.observe(now, wallNow);
  });
};

describe('PauseDetector', () => {
  const CASES = [
    {
      name: 'an event loop that was blocked, or a stopped process',
      step: { ms: 3_000, wallMs: 3_000 },
      pause: { countedMs: 3_000, uncountedMs: 0 },
    },
    {
      name: 'a suspended machine',
      step: { ms: TICK_MS, wallMs: 3_050 },
      pause: { countedMs: 0, uncountedMs: 3_000 },
    },
    {
      name: 'a wall clock that is set back',
      step: { ms: TICK_MS, wallMs: -2_000 },
      pause: { countedMs: 0, uncountedMs: 0 },
    },
    { name: 'no pause in late ticks', step: { ms: 300, wallMs: 310 }, pause: undefined },
  ];
  CASES.forEach(({ name, step, pause }) =>
    it(`finds ${name}, once`, () => {
      const tick = { ms: TICK_MS, wallMs: TICK_MS };
      expect(observe([tick, step, tick])).toEqual([undefined, pause, undefined]);
    }),
  );

  it('finds no pause while the wall clock is slewed', () => {
    const steps = Array.from({ length: 1_000 }, () => ({ ms: TICK_MS, wallMs: 0.9 * TICK_MS }));
    expect(observe(steps).filter((pause) => pause !== undefined)).toEqual([]);
  });

  // Guards against a wall clock whose jumps hide a pause that the monotonic clock counted.
  it('finds each pause that the monotonic clock counted, whatever the wall clock does', () => {
    fc.assert(
      fc.property(fc.integer({ min: 501, max: 60_000 }), fc.integer(), (ms, wallMs) => {
        const [pause] = observe([{ ms, wallMs }]);
        expect(pause?.countedMs).toEqual(ms);
        expect(pause?.uncountedMs ?? -1).toBeGreaterThanOrEqual(0);
      }),
      { seed: SEED },
    );
  });
});
