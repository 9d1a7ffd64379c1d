import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

/** A kind of request, with what it is worth to its caller. */
export interface RequestKind {
  readonly name: string;
  readonly priority: number;
  readonly perSecond: number;
  readonly promptTokens: number;
  readonly promptSpread: number;
  readonly mostPromptTokens: number;
  readonly outputTokens: number;
  readonly outputSpread: number;
  readonly mostOutputTokens: number;
  readonly targetMs: number;
  readonly deadlineMs: number;
  readonly worth: number;
  readonly lateWorth: number;
  /** Longest pause between events of an answer that is on time; `LONGEST_PAUSE_MS` unless given. */
  readonly pauseMs?: number;
  /** Tokens that one event holds; 5 unless given. */
  readonly tokensPerEvent?: number;
  /** Time without an event after which the caller disconnects; the deadline unless given. */
  readonly silenceMs?: number;
}

/** A client account with its part of the requests. */
export interface LoadAccount {
  readonly name: string;
  /** Part of all requests while no burst raises it; the parts of all accounts add up to 1. */
  readonly share: number;
  /** Quota relative to that of the other accounts. */
  readonly quota: number;
}

/** Waves in which each failure domain's rate rises and falls, out of phase with the others. */
export interface LoadWaves {
  readonly domains: number;
  /** Largest deviation from the mean rate of a domain, as a part of it. */
  readonly amplitude: number;
  readonly periodMs: number;
}

/** What a pattern has besides kinds and bursts. */
export interface LoadTraffic {
  readonly accounts?: readonly LoadAccount[];
  readonly waves?: LoadWaves;
}

/** A time in which some or all kinds, or one account's requests, come more often. */
export interface LoadBurst {
  readonly fromMs: number;
  readonly toMs: number;
  readonly factor: number;
  readonly kind?: string;
  readonly account?: string;
}

/** A request of a pattern. */
export interface LoadRequest {
  readonly id: string;
  readonly kind: RequestKind;
  readonly at: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** The caller's estimate, right at the median and often far off. */
  readonly expectedOutputTokens: number;
  /** Time that this caller waits; callers of a kind differ a little. */
  readonly patienceMs: number;
  /** Share of the kind's worth, by size. */
  readonly weight: number;
  readonly account?: LoadAccount;
}

const HINT_SPREAD = 0.5;
/** Part of the deadline by which some callers wait less. */
const PATIENCE_SPREAD = 0.15;
const PAUSE_MS = 500;

/** The kinds of a brokerage: long readings first, then quotes, then briefs. */
export const BROKERAGE: readonly RequestKind[] = [
  {
    name: 'review',
    priority: 0,
    perSecond: 12.3,
    promptTokens: 6_670,
    promptSpread: 1.4,
    mostPromptTokens: 54_600,
    outputTokens: 382,
    outputSpread: 1.5,
    mostOutputTokens: 3_800,
    targetMs: 800,
    deadlineMs: 15_000,
    worth: 8,
    lateWorth: 2.4,
  },
  {
    name: 'quote',
    priority: 1,
    perSecond: 16,
    promptTokens: 690,
    promptSpread: 1,
    mostPromptTokens: 3_400,
    outputTokens: 291,
    outputSpread: 1.5,
    mostOutputTokens: 2_900,
    targetMs: 500,
    deadlineMs: 15_000,
    worth: 1.5,
    lateWorth: 0.45,
  },
  {
    name: 'brief',
    priority: 2,
    perSecond: 17.3,
    promptTokens: 1_860,
    promptSpread: 1.3,
    mostPromptTokens: 6_900,
    outputTokens: 22,
    outputSpread: 1.5,
    mostOutputTokens: 225,
    targetMs: 500,
    deadlineMs: 3_000,
    worth: 0.38,
    lateWorth: 0.11,
  },
];

/** Longest pause between tokens for an answer to be on time. */
export const LONGEST_PAUSE_MS = PAUSE_MS;

const normal = (random: RandomGenerator): number => {
  const radius = Math.sqrt(-2 * Math.log(1 - uniformFloat64(random)));
  return radius * Math.cos(2 * Math.PI * uniformFloat64(random));
};

/** A log-normal number of a mean, cut at a maximum. */
const skewed = (random: RandomGenerator, mean: number, spread: number, most: number): number =>
  Math.max(
    1,
    Math.min(most, Math.round(mean * Math.exp(spread * normal(random) - spread ** 2 / 2))),
  );

const isDuring = ({ fromMs, toMs }: LoadBurst, at: number): boolean => at >= fromMs && at < toMs;

const product = (bursts: readonly LoadBurst[]): number =>
  bursts.reduce((rate, { factor }) => rate * factor, 1);

/** Share of an account relative to the usual rate of all, raised by its bursts. */
const shareAt = ({ name, share }: LoadAccount, bursts: readonly LoadBurst[], at: number): number =>
  share * product(bursts.filter((burst) => burst.account === name && isDuring(burst, at)));

/** Rate relative to the mean of the waves. */
const waveAt = (waves: LoadWaves | undefined, phases: readonly number[], at: number): number =>
  waves === undefined
    ? 1
    : phases.reduce(
        (sum, phase) =>
          sum + 1 + waves.amplitude * Math.sin(2 * Math.PI * (at / waves.periodMs + phase)),
        0,
      ) / phases.length;

const rateAt = (
  kind: RequestKind,
  bursts: readonly LoadBurst[],
  accounts: readonly LoadAccount[],
  at: number,
): number =>
  kind.perSecond *
  product(
    bursts.filter(
      (burst) =>
        burst.account === undefined &&
        (burst.kind ?? kind.name) === kind.name &&
        isDuring(burst, at),
    ),
  ) *
  (accounts.length === 0
    ? 1
    : accounts.reduce((sum, account) => sum + shareAt(account, bursts, at), 0));

const pickAccount = (
  accounts: readonly LoadAccount[],
  bursts: readonly LoadBurst[],
  at: number,
  random: RandomGenerator,
): LoadAccount | undefined => {
  const shares = accounts.map((account) => shareAt(account, bursts, at));
  let left = uniformFloat64(random) * shares.reduce((sum, share) => sum + share, 0);
  return accounts.find((_, index) => {
    left -= shares[index] ?? 0;
    return left <= 0;
  });
};

const makeRequest = (
  kind: RequestKind,
  index: number,
  at: number,
  random: RandomGenerator,
): LoadRequest => {
  const promptTokens = skewed(random, kind.promptTokens, kind.promptSpread, kind.mostPromptTokens);
  const outputTokens = skewed(random, kind.outputTokens, kind.outputSpread, kind.mostOutputTokens);
  const size = (promptTokens + 10 * outputTokens) / (kind.promptTokens + 10 * kind.outputTokens);
  return {
    id: `${kind.name}-${index}`,
    kind,
    at,
    promptTokens,
    outputTokens,
    expectedOutputTokens: Math.max(1, outputTokens * Math.exp(HINT_SPREAD * normal(random))),
    patienceMs: kind.deadlineMs * (1 - PATIENCE_SPREAD * uniformFloat64(random)),
    weight: Math.min(4, 0.3 + 0.7 * size),
  };
};

/** Makes the requests of a pattern, in order of time. */
export const makeLoad = (
  kinds: readonly RequestKind[],
  durationMs: number,
  bursts: readonly LoadBurst[],
  random: RandomGenerator,
  { accounts = [], waves }: LoadTraffic = {},
): LoadRequest[] => {
  const phases = Array.from({ length: waves?.domains ?? 0 }, () => uniformFloat64(random));
  return kinds
    .flatMap((kind) => {
      const requests: LoadRequest[] = [];
      let at = 0;
      while (at < durationMs) {
        const rate = rateAt(kind, bursts, accounts, at) * waveAt(waves, phases, at);
        at += (-Math.log(1 - uniformFloat64(random)) / rate) * 1_000;
        const account =
          accounts.length === 0 ? undefined : pickAccount(accounts, bursts, at, random);
        const request = makeRequest(kind, requests.length, at, random);
        requests.push(account === undefined ? request : { ...request, account });
      }
      return requests;
    })
    .sort((a, b) => a.at - b.at);
};
