import type { EngineCalibration, EngineShape } from './EngineModel.ts';
import type { LoadAccount, RequestKind } from './loadPattern.ts';

/** Part of a customer's engines and rates that a play has. */
const SCALE = 0.2;
/** Time without an event after which a caller disconnects at the earliest. */
const LEAST_SILENCE_MS = 2_000;
const MOST_SIZE_RATIO = 8;
const PROMPT_SPREAD = 1.2;
const OUTPUT_SPREAD = 1.2;
const FAST_SLOWNESS = 0.68;
const SLOW_SLOWNESS = 3;

/** A kind as its customer describes it. */
interface CustomerKind {
  readonly name: string;
  readonly perSecond: number;
  readonly promptTokens: number;
  readonly events: number;
  readonly targetMs: number;
  readonly deadlineMs: number;
  readonly worth: number;
  readonly lateWorth: number;
}

const makeKinds = (
  kinds: readonly CustomerKind[],
  pauseMs: number,
  tokensPerEvent: number,
): readonly RequestKind[] =>
  kinds.map(({ events, ...kind }, index) => ({
    ...kind,
    priority: index,
    perSecond: kind.perSecond * SCALE,
    promptSpread: PROMPT_SPREAD,
    mostPromptTokens: kind.promptTokens * MOST_SIZE_RATIO,
    outputTokens: events * tokensPerEvent,
    outputSpread: OUTPUT_SPREAD,
    mostOutputTokens: events * tokensPerEvent * MOST_SIZE_RATIO,
    pauseMs,
    silenceMs: Math.max(LEAST_SILENCE_MS, 4 * kind.targetMs, 8 * pauseMs),
    tokensPerEvent,
  }));

/** Eight fast engines and four slow ones. */
const makeEngines = (calibration: EngineCalibration): readonly EngineShape[] =>
  Array.from({ length: 12 }, (_, index) => ({
    slots: 7,
    slowness: index % 3 === 2 ? SLOW_SLOWNESS : FAST_SLOWNESS,
    calibration,
  }));

/** Accounts of falling size; the quotas are in proportion to their usual rates. */
const makeAccounts = (skew: number): readonly LoadAccount[] => {
  const sizes = Array.from({ length: 16 }, (_, index) => (index + 1) ** -skew);
  const all = sizes.reduce((sum, size) => sum + size, 0);
  return sizes.map((size, index) => ({
    name: `account-${index}`,
    share: size / all,
    quota: size / all,
  }));
};

/** The model engines' kinds of the wire desk, the most urgent first, and what serves them. */
export const WIRE_DESK = {
  kinds: makeKinds(
    [
      {
        name: 'release-draft',
        perSecond: 90.6,
        promptTokens: 6_670,
        events: 42,
        targetMs: 819,
        deadlineMs: 12_292,
        worth: 7,
        lateWorth: 2,
      },
      {
        name: 'headline-summary',
        perSecond: 120,
        promptTokens: 688,
        events: 32,
        targetMs: 408,
        deadlineMs: 10_199,
        worth: 2.1,
        lateWorth: 0.63,
      },
      {
        name: 'sector-tag',
        perSecond: 142,
        promptTokens: 1_860,
        events: 3,
        targetMs: 410,
        deadlineMs: 3_072,
        worth: 0.34,
        lateWorth: 0.1,
      },
    ],
    400,
    9,
  ),
  engines: makeEngines({
    stepMs: 2.89,
    stepMsPerRequest: 0.1,
    promptTokensPerMs: 55,
    chunkTokens: 2_048,
  }),
  accounts: makeAccounts(1),
  waves: { domains: 4, amplitude: 0.55, periodMs: 15_000 },
};

/** The model engines' kinds of the image registry, the most urgent first, and what serves them. */
export const IMAGE_REGISTRY = {
  kinds: makeKinds(
    [
      {
        name: 'vuln-digest',
        perSecond: 87.6,
        promptTokens: 6_670,
        events: 48,
        targetMs: 819,
        deadlineMs: 12_292,
        worth: 7,
        lateWorth: 3.4,
      },
      {
        name: 'manifest-explain',
        perSecond: 194,
        promptTokens: 688,
        events: 36,
        targetMs: 408,
        deadlineMs: 12_239,
        worth: 2.1,
        lateWorth: 1.1,
      },
      {
        name: 'tag-label-check',
        perSecond: 140,
        promptTokens: 1_860,
        events: 3,
        targetMs: 510,
        deadlineMs: 3_057,
        worth: 0.33,
        lateWorth: 0.16,
      },
    ],
    500,
    8,
  ),
  engines: makeEngines({
    stepMs: 3.09,
    stepMsPerRequest: 0.1,
    promptTokensPerMs: 56.9,
    chunkTokens: 2_048,
  }),
  accounts: makeAccounts(1.3),
  waves: { domains: 4, amplitude: 0.27, periodMs: 11_000 },
};
