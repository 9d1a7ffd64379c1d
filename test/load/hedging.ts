// Prints the tail latency with and without second copies: `node --import tsx test/load/hedging.ts [SEEDS]`.
import { playHedging, type HedgingOutcome } from './playHedging.ts';

const seeds = Number(process.argv[2] ?? 3);

[0.3, 0.6, 0.95].forEach((load) =>
  [0, 0.02, 0.05].forEach((share) => {
    const outcomes = Array.from({ length: seeds }, (_, seed) =>
      playHedging({ share, load, durationMs: 120_000, seed: seed + 1 }),
    );
    const mean = (pick: (outcome: HedgingOutcome) => number): number =>
      outcomes.reduce((sum, outcome) => sum + pick(outcome), 0) / seeds;
    const limits = new Set(outcomes.flatMap(({ rejected }) => [...rejected.keys()]));
    const rejected = [...limits].map(
      (limit) => `${limit} ${mean((outcome) => outcome.rejected.get(limit) ?? 0).toFixed(0)}`,
    );
    console.log(
      `load ${load} share ${share}: p50 ${mean(({ p50 }) => p50).toFixed(1)} p99 ${mean(({ p99 }) => p99).toFixed(0)} p99.9 ${mean(({ p999 }) => p999).toFixed(0)} ms, sent ${mean(({ sent }) => sent).toFixed(4)} won ${mean(({ won }) => won).toFixed(2)}, rejected ${rejected.join(', ')}`,
    );
  }),
);
