import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { Endpoint } from '../../src/state/Endpoint.ts';
import type { LoadItem } from './runLoad.ts';

const MS_PER_SECOND = 1_000;
const RANDOM_STEPS = 1_000_000;
const CHARACTERS_PER_TOKEN = 4;
const DECODE_SLOWDOWN = 0.05;

/** A kind of request that a load is mixed of. */
export interface LoadClass {
  readonly account: string;
  readonly tier: number;
  readonly pool: string;
  readonly model: string;
  readonly ratePerSecond: number;
  /** Bounds between which lengths are spread evenly on a logarithmic scale. */
  readonly promptTokens: readonly [number, number];
  readonly outputTokens: readonly [number, number];
  readonly deadlineMs: number;
  readonly streamed: boolean;
  readonly idempotent?: boolean;
  readonly route?: string;
}

/** Random numbers from a seed. */
export class Random {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Between 0 and 1, neither included. */
  unit(): number {
    return uniformInt(this.generator, 1, RANDOM_STEPS - 1) / RANDOM_STEPS;
  }

  logarithmic([low, high]: readonly [number, number]): number {
    return Math.round(low * (high / low) ** this.unit());
  }

  exponential(mean: number): number {
    return -Math.log(this.unit()) * mean;
  }
}

/** Mean of lengths that are spread evenly on a logarithmic scale. */
export const meanLength = ([low, high]: readonly [number, number]): number =>
  low === high ? low : (high - low) / Math.log(high / low);

/** Requests a second that endpoints complete with all slots in use, by the stand-ins' own rules. */
export const capacityOf = (
  endpoints: readonly Endpoint[],
  promptTokens: number,
  outputTokens: number,
): number =>
  endpoints
    .map((endpoint) => {
      const { slots, decodeTokensPerSecond, prefillTokensPerSecond } = endpoint;
      const decodeRate = decodeTokensPerSecond / (1 + DECODE_SLOWDOWN * (slots - 1));
      const seconds = outputTokens / decodeRate + promptTokens / prefillTokensPerSecond;
      return slots / seconds;
    })
    .reduce((sum, rate) => sum + rate, 0);

const itemOf = (load: LoadClass, atMs: number, random: Random, sequence: number): LoadItem => {
  const promptTokens = random.logarithmic(load.promptTokens);
  const outputTokens = random.logarithmic(load.outputTokens);
  const content = `${load.account} ${sequence} `.padEnd(
    promptTokens * CHARACTERS_PER_TOKEN,
    'abc ',
  );
  return {
    atMs,
    account: load.account,
    tier: load.tier,
    pool: load.pool,
    path: '/v1/chat/completions',
    body: {
      model: load.model,
      messages: [{ role: 'user', content }],
      max_tokens: outputTokens,
      stream: load.streamed,
      ...(load.route !== undefined && { metadata: { route: load.route } }),
    },
    streamed: load.streamed,
    outputTokens,
    deadlineMs: load.deadlineMs,
    idempotent: load.idempotent ?? true,
  };
};

/**
 * Makes the requests of a load: each class arrives at random with its own rate.
 *
 * @param classes - what the load is mixed of
 * @param seconds - how long it lasts
 * @param seed - same seed, same load
 * @param startMs - when it begins
 * @returns the requests by time
 */
export const makeLoad = (
  classes: readonly LoadClass[],
  seconds: number,
  seed: number,
  startMs = 0,
): readonly LoadItem[] => {
  const random = new Random(seed);
  return classes
    .flatMap((load) => {
      const items: LoadItem[] = [];
      let atMs = random.exponential(MS_PER_SECOND / load.ratePerSecond);
      while (atMs < seconds * MS_PER_SECOND) {
        items.push(itemOf(load, startMs + atMs, random, items.length));
        atMs += random.exponential(MS_PER_SECOND / load.ratePerSecond);
      }
      return items;
    })
    .sort((a, b) => a.atMs - b.atMs);
};
