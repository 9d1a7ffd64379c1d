import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { EndpointLinks } from './GatewayProcess.ts';

/** Something that is done to the system. Indices are taken modulo the number there is. */
export type SoakAction =
  | { readonly _tag: 'killGateways'; readonly gateways: readonly number[]; readonly downMs: number }
  | { readonly _tag: 'stopGateway'; readonly gateway: number; readonly downMs: number }
  | { readonly _tag: 'pauseGateway'; readonly gateway: number; readonly forMs: number }
  | {
      readonly _tag: 'changeSettings';
      readonly gateway: number;
      readonly signalled: boolean;
    }
  | {
      readonly _tag: 'harmLink';
      readonly link: 'store' | 'peers' | 'callers' | 'runner';
      readonly index: number;
      readonly how: 'delay' | 'silence' | 'silenceToServer' | 'silenceToCaller' | 'reset';
      readonly forMs: number;
    }
  | {
      readonly _tag: 'harmStore';
      readonly how: 'away' | 'silent' | 'slow' | 'losesAnswers';
      readonly forMs: number;
    }
  | { readonly _tag: 'compactStore' }
  | { readonly _tag: 'crashRunner'; readonly runner: number; readonly downMs: number }
  | {
      readonly _tag: 'replaceRunner';
      readonly runner: number;
      /** Whether its entry says that it drains, or is removed at once. */
      readonly reportsDraining: boolean;
    }
  | {
      readonly _tag: 'harmRunner';
      readonly runner: number;
      readonly how: 'fails' | 'garbles' | 'truncates' | 'losesAnswers' | 'slow';
      readonly forMs: number;
    }
  | {
      readonly _tag: 'limitRunner';
      readonly runner: number;
      readonly requestsPerSecond: number;
      readonly forMs: number;
    }
  /** Gateways lose their connections to all runners. */
  | {
      readonly _tag: 'cutGateways';
      readonly gateways: readonly number[];
      readonly links: EndpointLinks;
      readonly forMs: number;
    }
  | { readonly _tag: 'changeConfiguration' };

/** An action with its time from the start of the traffic, in ms. */
export interface SoakStep {
  readonly at: number;
  readonly action: SoakAction;
}

/** What a plan is made for. */
export interface SoakShape {
  readonly seed: number;
  /** Time in which faults begin. */
  readonly faultsMs: number;
  readonly gateways: number;
}

/** Mean pause between two actions; actions last longer than that, so that they overlap. */
const MEAN_PAUSE_MS = 700;
const LONGEST_FAULT_MS = 4_000;
const SHORTEST_FAULT_MS = 150;
/** Longest series of the same action on gateways in turn, as when all are restarted. */
const LONGEST_SERIES = 4;
const SERIES_GAP_MS = 600;

/** Runners that limit their requests, one after the other begins. */
const LIMITED_RUNNERS = 3;
const LATEST_LIMIT_MS = 1_500;
const LEAST_LIMIT = 0.5;
const MOST_LIMIT = 4;
/** Cuts of gateways from all runners. */
const CUTS = 2;
const SHORTEST_CUT_MS = 500;
const LONGEST_CUT_MS = 5_000;
/** Draws come from generators of their own, so that the plans of known seeds keep their times. */
const LIMIT_SEED_OFFSET = 1_000_003;
const CUT_SEED_OFFSET = 2_000_003;

const LINKS = ['store', 'peers', 'callers', 'runner'] as const;
const LINK_HARMS = ['delay', 'silence', 'silenceToServer', 'silenceToCaller', 'reset'] as const;
const STORE_HARMS = ['away', 'silent', 'slow', 'losesAnswers'] as const;
const ENDPOINT_LINKS: readonly EndpointLinks[] = ['silent', 'oneWay', 'reset', 'refusing'];
const RUNNER_HARMS = ['fails', 'garbles', 'truncates', 'losesAnswers', 'slow'] as const;

/**
 * Plans what is done to a system, from a seed alone.
 *
 * @param shape - seed, time and size
 * @returns steps in order of time
 */
export const planSoak = ({ seed, faultsMs, gateways }: SoakShape): SoakStep[] => {
  const generator = xoroshiro128plus(seed);
  const fraction = (): number => uniformFloat64(generator);
  const below = (count: number): number => Math.floor(fraction() * count);
  const pick = <T>(values: readonly T[]): T => values[below(values.length)] as T;
  const forMs = (): number =>
    Math.round(SHORTEST_FAULT_MS + fraction() ** 2 * (LONGEST_FAULT_MS - SHORTEST_FAULT_MS));

  const makers: readonly (() => SoakAction)[] = [
    () => ({
      _tag: 'killGateways',
      // Mostly one, at times many at the same moment.
      gateways: Array.from({ length: fraction() < 0.8 ? 1 : 1 + below(gateways) }, () =>
        below(gateways),
      ),
      downMs: forMs(),
    }),
    () => ({ _tag: 'stopGateway', gateway: below(gateways), downMs: forMs() }),
    () => ({ _tag: 'pauseGateway', gateway: below(gateways), forMs: forMs() }),
    () => ({ _tag: 'changeSettings', gateway: below(gateways), signalled: fraction() < 0.5 }),
    () => ({
      _tag: 'harmLink',
      link: pick(LINKS),
      index: below(100),
      how: pick(LINK_HARMS),
      forMs: forMs(),
    }),
    () => ({
      _tag: 'harmLink',
      link: 'peers',
      index: below(gateways),
      how: pick(LINK_HARMS),
      forMs: forMs(),
    }),
    () => ({ _tag: 'harmStore', how: pick(STORE_HARMS), forMs: forMs() }),
    () => ({ _tag: 'compactStore' }),
    () => ({ _tag: 'crashRunner', runner: below(100), downMs: forMs() }),
    () => {
      const runner = below(100);
      // Without a draw of its own, so that the plans of known seeds keep their times.
      return { _tag: 'replaceRunner', runner, reportsDraining: runner % 2 === 0 };
    },
    () => ({ _tag: 'harmRunner', runner: below(100), how: pick(RUNNER_HARMS), forMs: forMs() }),
    () => ({ _tag: 'changeConfiguration' }),
  ];

  const steps: SoakStep[] = [];
  let at = 0;
  while (at < faultsMs) {
    const action = pick(makers)();
    steps.push({ at: Math.round(at), action });
    if (action._tag === 'stopGateway' || action._tag === 'changeConfiguration') {
      const repeats = below(LONGEST_SERIES);
      for (let turn = 1; turn <= repeats; turn += 1) {
        const next = action._tag === 'stopGateway' ? { gateway: action.gateway + turn } : {};
        steps.push({
          at: Math.round(at + turn * SERIES_GAP_MS * fraction()),
          action: { ...action, ...next },
        });
      }
    }
    at += -Math.log(1 - fraction()) * MEAN_PAUSE_MS;
  }
  return steps.filter((step) => step.at < faultsMs).sort((a, b) => a.at - b.at);
};

/**
 * Plans which runners limit the rate of their requests, until the end of the faults.
 *
 * @param shape - seed, time and size
 * @returns steps in order of time
 */
export const planLimits = ({ seed, faultsMs }: SoakShape): SoakStep[] => {
  const generator = xoroshiro128plus(seed + LIMIT_SEED_OFFSET);
  const fraction = (): number => uniformFloat64(generator);
  return Array.from({ length: LIMITED_RUNNERS }, (): SoakStep => {
    const at = Math.round(fraction() * LATEST_LIMIT_MS);
    return {
      at,
      action: {
        _tag: 'limitRunner',
        runner: Math.floor(fraction() * 100),
        requestsPerSecond: LEAST_LIMIT + fraction() * (MOST_LIMIT - LEAST_LIMIT),
        forMs: Math.max(0, faultsMs - at),
      },
    };
  }).sort((a, b) => a.at - b.at);
};

/**
 * Plans which gateways lose their connections to all runners, and when.
 *
 * @param shape - seed, time and size
 * @returns steps in order of time
 */
export const planCuts = ({ seed, faultsMs, gateways }: SoakShape): SoakStep[] => {
  const generator = xoroshiro128plus(seed + CUT_SEED_OFFSET);
  const fraction = (): number => uniformFloat64(generator);
  return Array.from({ length: CUTS }, (): SoakStep => {
    const first = Math.floor(fraction() * gateways);
    const count = 1 + Math.floor(fraction() * gateways);
    return {
      at: Math.round(fraction() * faultsMs),
      action: {
        _tag: 'cutGateways',
        gateways: Array.from({ length: count }, (_, index) => first + index),
        links: ENDPOINT_LINKS[Math.floor(fraction() * ENDPOINT_LINKS.length)] ?? 'silent',
        forMs: Math.round(SHORTEST_CUT_MS + fraction() * (LONGEST_CUT_MS - SHORTEST_CUT_MS)),
      },
    };
  }).sort((a, b) => a.at - b.at);
};
