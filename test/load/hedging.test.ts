import { describe, it } from 'node:test';
import { expect } from 'earl';
import { playHedging, type HedgingOutcome } from './playHedging.ts';

const play = (share: number, load: number): readonly HedgingOutcome[] =>
  [1, 2].map((seed) => playHedging({ share, load, durationMs: 70_000, seed }));

const mean = (
  outcomes: readonly HedgingOutcome[],
  pick: (outcome: HedgingOutcome) => number,
): number => outcomes.reduce((sum, outcome) => sum + pick(outcome), 0) / outcomes.length;

describe('second copies of slow requests', () => {
  it('shorten the tail within the share while the service has free slots', () => {
    const without = play(0, 0.3);
    [0.02, 0.05].forEach((share) => {
      const hedged = play(share, 0.3);
      expect(mean(hedged, ({ p99 }) => p99)).toBeLessThan(0.95 * mean(without, ({ p99 }) => p99));
      expect(mean(hedged, ({ p999 }) => p999)).toBeLessThan(
        0.7 * mean(without, ({ p999 }) => p999),
      );
      expect(mean(hedged, ({ sent }) => sent)).toBeLessThan(share);
    });
  });

  // Guards against a load that second copies raise further near saturation.
  it('stop near saturation', () => {
    const hedged = play(0.05, 0.95);
    expect(mean(hedged, ({ sent }) => sent)).toBeLessThan(0.001);
    expect(mean(hedged, ({ rejected }) => rejected.get('capacity') ?? 0)).toBeGreaterThan(0);
  });
});
