import type { EngineShape } from './EngineModel.ts';
import { BROKERAGE, type RequestKind } from './loadPattern.ts';
import type { LoadPlay } from './playLoad.ts';

const FAST = { slots: 10, slowness: 0.68 };
const SLOW = { slots: 10, slowness: 3 };

/** Four fast engines and two that take more than four times as long. */
export const UNLIKE_ENGINES: readonly EngineShape[] = [FAST, FAST, SLOW, FAST, FAST, SLOW];

const times = (kinds: readonly RequestKind[], factor: number): readonly RequestKind[] =>
  kinds.map((kind) => ({ ...kind, perSecond: kind.perSecond * factor }));

/** The patterns of load that the scheduler is tested with. */
export const PATTERNS = {
  calm: { kinds: BROKERAGE, engines: UNLIKE_ENGINES, durationMs: 30_000, bursts: [] },
  shortBurst: {
    kinds: BROKERAGE,
    engines: UNLIKE_ENGINES,
    durationMs: 30_000,
    bursts: [
      { fromMs: 7_000, toMs: 12_000, factor: 1.6 },
      { fromMs: 17_000, toMs: 19_500, factor: 2.1 },
    ],
  },
  sustained: {
    kinds: times(BROKERAGE, 1.65),
    engines: UNLIKE_ENGINES,
    durationMs: 30_000,
    bursts: [{ fromMs: 3_000, toMs: 8_000, factor: 1.6 }],
  },
} satisfies Record<string, Omit<LoadPlay, 'seed'>>;
