import { setTimeout as wait } from 'node:timers/promises';
import { SERVICES } from '../soak/soakConfiguration.ts';
import { CONTACT_MS } from '../support/GatewayFleet.ts';
import type { Owner } from '../support/Owner.ts';
import {
  NOT_RUN_STATUSES,
  isServed,
  shareOf,
  type CallerContent,
  type SentRequest,
} from '../support/PlayCallers.ts';
import { startPlay, type FleetPlay } from '../support/startPlay.ts';
import { makeCrashDisturbance, type CrashDisturbance } from './CrashDisturbance.ts';
import { CrashingEndpoint, type EndpointRequest } from './CrashingEndpoint.ts';

/** Requests under which endpoints crash, one of each kind of route. */
export type FatalRequest = 'read' | 'write' | 'resumed';

/** One play. */
export interface FatalRequestPlay extends FleetPlay {
  /** Endpoints of each of the two services, a plain one and one of engines. */
  readonly endpoints: number;
  readonly fatal: readonly FatalRequest[];
  /** Sendings a second of each fatal request, by callers that don't wait as they are told. */
  readonly fatalRate: number;
  /** Time from the first fatal request to the end, in ms. */
  readonly trafficMs: number;
  /** Whether endpoints also crash by themselves: one now and then, or all at once and again when they are back. */
  readonly selfCrashes: 'none' | 'single' | 'all';
  readonly disturbance: CrashDisturbance;
}

/** What came of a play. */
export interface FatalRequestResult {
  /** Crashes under each fatal request, in the order in which they were named. */
  readonly crashes: readonly number[];
  /** Sendings of each fatal request that reached endpoints after its bound, from gateways in touch. */
  readonly arrivalsAfterBound: readonly number[];
  /** Requests that were refused as not run though an endpoint had begun to run them. */
  readonly falselyRefused: number;
  /** Share of the sound requests that were served, by their kind, before the first crash. */
  readonly soundBefore: Readonly<Record<string, number>>;
  /** The same from twice the contact time after the third crash of each fatal request. */
  readonly soundAfter: Readonly<Record<string, number>>;
}

const CALM_MS = 3_000;
const DEADLINE_MS = 1_500;
const DOWN_MS = 2_500;
const BOUND_CRASHES = 3;
const SELF_CRASH_INTERVAL_MS = 4_000;
/** Times of the crashes of all endpoints after the end of the calm. */
const OUTAGES_MS = [1_000, 4_000, 7_000];
/** Time from the last of them to the end of its effects. */
const AFTER_OUTAGES_MS = 6_000;
const FATAL_BODY = 'fatal';
const PROMPT_HEADERS = { 'x-corianderwick-token-count': '300,40' };

/** Kinds of sound requests with their requests a second. The hot one is always the same request. */
const SOUND_RATES = { unique: 8, hot: 8, sameUrl: 5, prompt: 8 } as const;
type SoundKind = keyof typeof SOUND_RATES;

type Sent = SentRequest<SoundKind | FatalRequest>;

const FATAL: Readonly<Record<FatalRequest, CallerContent>> = {
  read: { method: 'GET', path: '/read/report?of=all' },
  write: { method: 'POST', path: '/write/order', body: FATAL_BODY },
  resumed: { method: 'POST', path: '/resumed/chat', body: FATAL_BODY, headers: PROMPT_HEADERS },
};

const makeSound = (kind: SoundKind, count: number): CallerContent => {
  switch (kind) {
    case 'unique':
      return { method: 'GET', path: `/read/${count}` };
    case 'hot':
      return { method: 'GET', path: '/read/hot' };
    case 'sameUrl':
      return { method: 'POST', path: FATAL.write.path, body: `sound ${count}` };
    case 'prompt':
      return { ...FATAL.resumed, body: `sound ${count}` };
    default:
      return kind satisfies never;
  }
};

const isSame = (content: CallerContent, request: EndpointRequest): boolean =>
  content.path === request.path && (content.body ?? '') === request.body;

/**
 * Plays gateways as processes before endpoints that crash under some requests, which come again and again,
 * among sound ones.
 *
 * @param owner - ends all that was started
 * @param play - sizes, rates and what else happens
 * @returns what reached the endpoints, and how sound requests fared
 */
export const playFatalRequests = async (
  owner: Owner,
  play: FatalRequestPlay,
): Promise<FatalRequestResult> => {
  const { fleet, callers, fraction } = await startPlay<SoundKind | FatalRequest>(
    owner,
    play,
    DEADLINE_MS,
  );
  const { sent } = callers;
  const arrivals: { readonly sent: Sent; readonly at: number; readonly runs: boolean }[] = [];
  const crashes = new Map<FatalRequest, number[]>(play.fatal.map((name) => [name, []]));
  const disturb = makeCrashDisturbance(owner, fleet, play.disturbance);
  const countCrashes = (): number => [...crashes.values()].flat().length;
  const findFatal = (request: EndpointRequest): FatalRequest | undefined =>
    play.fatal.find((name) => isSame(FATAL[name], request));
  const endpoints: CrashingEndpoint[] = [];
  for (const service of [SERVICES.plain, SERVICES.model]) {
    for (let index = 0; index < play.endpoints; index += 1) {
      endpoints.push(
        await CrashingEndpoint.start(owner, {
          name: `${service}-${index}`,
          service,
          streams: service === SERVICES.model,
          store: fleet.store,
          isFatal: (request) => findFatal(request) !== undefined,
          downMs: DOWN_MS,
          tornShare: 0,
          fraction,
          onArrival: ({ requestId, at, runs }) => {
            const request = sent.get(requestId);
            if (request !== undefined) arrivals.push({ sent: request, at, runs });
          },
          onCrash: (at, request) => {
            const fatal = request && findFatal(request);
            if (fatal === undefined) return;
            crashes.get(fatal)?.push(at);
            disturb(countCrashes());
          },
        }),
      );
    }
  }

  const endsAt = performance.now() + CALM_MS + play.trafficMs;
  Object.entries(SOUND_RATES).forEach(([kind, rate]) =>
    callers.sendAtRate(
      () => rate,
      () => callers.send(kind as SoundKind, makeSound(kind as SoundKind, sent.size)),
      endsAt,
    ),
  );
  await wait(CALM_MS);
  const fatalFrom = performance.now();
  play.fatal.forEach((name) =>
    callers.sendAtRate(
      () => play.fatalRate,
      () => callers.send(name, FATAL[name]),
      endsAt,
    ),
  );
  if (play.selfCrashes === 'all')
    OUTAGES_MS.forEach((at) =>
      setTimeout(() => endpoints.forEach((endpoint) => endpoint.crash()), at),
    );
  if (play.selfCrashes === 'single') {
    const timer = setInterval(() => {
      endpoints[Math.floor(fraction() * endpoints.length)]?.crash();
    }, SELF_CRASH_INTERVAL_MS);
    owner.after(() => clearInterval(timer));
  }
  await wait(play.trafficMs + 2 * DEADLINE_MS);

  const thirdCrashOf = (name: FatalRequest): number =>
    crashes.get(name)?.[BOUND_CRASHES - 1] ?? Number.POSITIVE_INFINITY;
  const outagesEndAt =
    play.selfCrashes === 'all' ? fatalFrom + Math.max(...OUTAGES_MS) + AFTER_OUTAGES_MS : 0;
  const lastThird = Math.max(
    fatalFrom,
    ...play.fatal.map((name) => {
      const third = thirdCrashOf(name);
      return Number.isFinite(third) ? third : fatalFrom;
    }),
  );
  const soundShares = (from: number, to: number): Record<string, number> =>
    Object.fromEntries(
      Object.keys(SOUND_RATES).map((kind) => [
        kind,
        shareOf(
          callers.select(
            (request) =>
              request.kind === kind &&
              request.at > from &&
              request.at < to &&
              fleet.isInTouch(request.gateway, request.at),
          ),
          isServed,
        ),
      ]),
    );
  return {
    crashes: play.fatal.map((name) => crashes.get(name)?.length ?? 0),
    arrivalsAfterBound: play.fatal.map(
      (name) =>
        arrivals.filter(
          ({ sent: request, at }) =>
            request.kind === name &&
            at > thirdCrashOf(name) + CONTACT_MS &&
            fleet.isInTouch(request.gateway, at),
        ).length,
    ),
    falselyRefused: arrivals.filter(
      ({ runs, sent: { status } }) => runs && NOT_RUN_STATUSES.includes(status),
    ).length,
    soundBefore: soundShares(0, fatalFrom - 500),
    soundAfter: soundShares(Math.max(lastThird + 2 * CONTACT_MS, outagesEndAt), endsAt),
  };
};
