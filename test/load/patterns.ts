import type { EngineShape } from './EngineModel.ts';
import { IMAGE_REGISTRY, WIRE_DESK } from './customers.ts';
import { BROKERAGE, type RequestKind } from './loadPattern.ts';
import type { LoadPlay } from './playLoad.ts';

const FAST = { slots: 10, slowness: 0.68 };
const SLOW = { slots: 10, slowness: 3 };

/** Four fast engines and two that take more than four times as long. */
export const UNLIKE_ENGINES: readonly EngineShape[] = [FAST, FAST, SLOW, FAST, FAST, SLOW];

const FAULT_MS = { fromMs: 8_000, toMs: 16_000 };

const withFault = (outcome: 'failed' | 'turnedAway'): readonly EngineShape[] => [
  { ...FAST, fault: { ...FAULT_MS, outcome } },
  ...UNLIKE_ENGINES.slice(1),
];

const LIMIT = { requestsPerSecond: 3, fromMs: 6_000, toMs: 26_000 };
const LIMITED_FAST = { ...FAST, limit: LIMIT };

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
  /** One engine fails at once whatever it gets, for eight seconds. */
  failing: {
    kinds: times(BROKERAGE, 1.4),
    engines: withFault('failed'),
    durationMs: 30_000,
    bursts: [],
  },
  /** One engine turns everything away at once, for eight seconds. */
  turningAway: {
    kinds: times(BROKERAGE, 1.4),
    engines: withFault('turnedAway'),
    durationMs: 30_000,
    bursts: [],
  },
  /** Two of the fast engines accept three requests a second each, for twenty seconds. */
  limited: {
    kinds: BROKERAGE,
    engines: [LIMITED_FAST, LIMITED_FAST, SLOW, FAST, FAST, SLOW],
    durationMs: 30_000,
    bursts: [],
  },
  /** All engines do. */
  allLimited: {
    kinds: BROKERAGE,
    engines: UNLIKE_ENGINES.map((shape) => ({ ...shape, limit: LIMIT })),
    durationMs: 30_000,
    bursts: [],
  },
  /** The wire desk with waves and a burst of all kinds. */
  wireDesk: {
    ...WIRE_DESK,
    durationMs: 30_000,
    bursts: [{ fromMs: 8_000, toMs: 13_000, factor: 1.7 }],
  },
  /** The wire desk at more than its usual rates, and an account that sends five times its own. */
  wireDeskHot: {
    ...WIRE_DESK,
    kinds: times(WIRE_DESK.kinds, 1.25),
    durationMs: 30_000,
    bursts: [
      { fromMs: 6_000, toMs: 10_000, factor: 1.5 },
      { fromMs: 14_000, toMs: 23_000, factor: 5, account: 'account-2' },
    ],
  },
  /** The wire desk at nearly twice what its engines can do. */
  wireDeskFull: {
    ...WIRE_DESK,
    kinds: times(WIRE_DESK.kinds, 1.7),
    durationMs: 30_000,
    bursts: [{ fromMs: 14_000, toMs: 23_000, factor: 4, account: 'account-1' }],
  },
  /** The image registry with waves, a burst of one kind and two accounts that send more than usual. */
  registry: {
    ...IMAGE_REGISTRY,
    durationMs: 30_000,
    bursts: [
      { fromMs: 6_000, toMs: 11_000, factor: 2.2, kind: 'manifest-explain' },
      { fromMs: 15_000, toMs: 23_000, factor: 4.5, account: 'account-1' },
      { fromMs: 17_000, toMs: 24_000, factor: 5, account: 'account-4' },
    ],
  },
  /** The image registry at more than its engines can do. */
  registryFull: {
    ...IMAGE_REGISTRY,
    kinds: times(IMAGE_REGISTRY.kinds, 1.4),
    durationMs: 30_000,
    bursts: [{ fromMs: 10_000, toMs: 18_000, factor: 4, account: 'account-2' }],
  },
} satisfies Record<string, Omit<LoadPlay, 'seed'>>;
