import type { EntrySettings } from '../../src/state/EntrySettings.ts';
import type { PolicyRun, Stream } from './runPolicy.ts';

export const PRODUCT: EntrySettings['policy'] = {
  order: 'product',
  placement: 'product',
  admission: 'product',
  accountLimits: 'product',
};

export const BASELINE: EntrySettings['policy'] = {
  order: 'first_come',
  placement: 'round_robin',
  admission: 'none',
  accountLimits: 'per_entry',
};

const ENGINES = [
  { slots: 8, prefill: 8_000, decode: 100 },
  { slots: 8, prefill: 8_000, decode: 100 },
  { slots: 8, prefill: 4_000, decode: 50 },
  { slots: 8, prefill: 4_000, decode: 50 },
  { slots: 8, prefill: 2_000, decode: 25 },
  { slots: 8, prefill: 2_000, decode: 25 },
];

const stream = (
  tierRank: number,
  account: string,
  perSecond: number | Stream['perSecond'],
  sizes: Pick<Stream, 'promptTokens' | 'outputTokens' | 'deadlineMs' | 'deadlineStretch'>,
): Stream => ({
  tierRank,
  account,
  perSecond: typeof perSecond === 'number' ? () => perSecond : perSecond,
  prefixGroups: 20,
  ...sizes,
});

const SHORT = {
  promptTokens: [50, 500],
  outputTokens: [10, 100],
  deadlineMs: 1_500,
  deadlineStretch: 2,
} as const;
const MIXED = {
  promptTokens: [50, 5_000],
  outputTokens: [5, 500],
  deadlineMs: 2_000,
  deadlineStretch: 3,
} as const;
const LONG = {
  promptTokens: [1_000, 10_000],
  outputTokens: [50, 500],
  deadlineMs: 5_000,
  deadlineStretch: 4,
} as const;

type Scenario = Omit<PolicyRun, 'seed' | 'policy'>;

const overload = (copies: number): Scenario => ({
  engines: Array.from({ length: copies }, () => ENGINES).flat(),
  streams: [
    stream(0, 'lookups', 14 * copies, SHORT),
    stream(1, 'large', 16 * copies, MIXED),
    stream(1, 'small', 3 * copies, MIXED),
    stream(2, 'dossiers', 6 * copies, LONG),
  ],
  durationMs: 60_000,
});

const BURST_FROM_MS = 15_000;
export const BURST_TO_MS = 20_000;
const isBurst = (at: number): boolean => at >= BURST_FROM_MS && at < BURST_TO_MS;

const STEADY = [stream(0, 'lookups', 6, SHORT), stream(1, 'large', 6, MIXED)];

export const SCENARIOS: Readonly<Record<string, Scenario>> = {
  orbitale: overload(1),
  snow: overload(2),
  burst: {
    engines: ENGINES,
    streams: [
      stream(0, 'lookups', (at) => (isBurst(at) ? 60 : 8), SHORT),
      stream(1, 'large', (at) => (isBurst(at) ? 60 : 8), MIXED),
    ],
    durationMs: 45_000,
    retries: true,
  },
  straggler: {
    engines: ENGINES,
    streams: STEADY,
    durationMs: 60_000,
    slowAt: { engine: 0, fromMs: 20_000, toMs: 40_000 },
  },
};
