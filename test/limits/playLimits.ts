import * as http from 'node:http';
import { setTimeout as wait } from 'node:timers/promises';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { makeSoakConfiguration, SERVICES, SOAK_HOST } from '../soak/soakConfiguration.ts';
import { CONTACT_MS, GatewayFleet } from '../support/GatewayFleet.ts';
import type { Owner } from '../support/Owner.ts';
import { LimitingEndpoint } from './LimitingEndpoint.ts';
import { LimitLedger } from '../support/LimitLedger.ts';

/** What else happens while endpoints limit their requests; the scheduler is gateway 0. */
export type LimitDisturbance =
  | { readonly _tag: 'none' }
  | { readonly _tag: 'schedulerKilled' }
  | { readonly _tag: 'schedulerPaused'; readonly forMs: number }
  /** What the scheduler sends doesn't reach the others, whose messages still reach it. */
  | { readonly _tag: 'schedulerCutOneWay'; readonly forMs: number }
  | { readonly _tag: 'storeAway' }
  /** The other gateways are killed and start again, one every so often. */
  | { readonly _tag: 'othersKilled'; readonly everyMs: number }
  /** All gateways are stopped and started again, one after the other. */
  | { readonly _tag: 'release' };

/** How endpoints limit their requests. */
export type LimitShape =
  | { readonly _tag: 'fixed'; readonly perSecond: number }
  /** Another value with each answer, between the two. */
  | { readonly _tag: 'changing'; readonly lowest: number; readonly highest: number }
  /** The value, beside one that can't be read. */
  | { readonly _tag: 'twoLines'; readonly perSecond: number };

/** One play. */
export interface LimitPlay {
  readonly seed: number;
  readonly gateways: number;
  /** Endpoints of each of the two services, a plain one and one of engines. */
  readonly endpoints: number;
  /** How many of these limit their requests. */
  readonly limited: number;
  readonly shape: LimitShape;
  readonly disturbance: LimitDisturbance;
  /** Requests a second to each service. */
  readonly rate: number;
  /** Time for which the endpoints state a limit, in ms. */
  readonly limitMs: number;
  /** Path of the gateway's bundled program. */
  readonly program: string;
  readonly folder: string;
}

/** What came of a play, for each service. */
export interface LimitResult {
  /** Requests that the worst window of an endpoint got beyond what it may get. */
  readonly worstExcess: number;
  /** Mean share of their limits that the limited endpoints got. */
  readonly usedShare: number;
  /** Share of the requests that were served before, and while limits were stated. */
  readonly servedShareBefore: number;
  readonly servedShareLimited: number;
  /** Share of the refusals that came with a time to retry. */
  readonly refusalsWithRetryAfter: number;
  /** Most requests that a limited endpoint got in a second once its limit was over, and before it. */
  readonly mostAfter: number;
  readonly mostBefore: number;
}

const CALM_MS = 3_000;
const AFTER_MS = 4_000;
const DEADLINE_MS = 1_200;
const DISTURBED_AFTER_MS = 5_000;
const KEY = 'key-of-the-office';
const SERVED = 200;
const RETRY_STATUSES = [429, 503];

interface Sent {
  readonly service: string;
  readonly gateway: number;
  readonly at: number;
  status: number;
  retryAfter: boolean;
}

const shareOf = <T>(all: readonly T[], holds: (one: T) => boolean): number =>
  all.length === 0 ? 1 : all.filter(holds).length / all.length;

const disturb = async (fleet: GatewayFleet, disturbance: LimitDisturbance): Promise<void> => {
  switch (disturbance._tag) {
    case 'none':
      return;
    case 'schedulerKilled':
      await fleet.restart(0);
      return;
    case 'schedulerPaused':
      await fleet.pause(0, disturbance.forMs);
      return;
    case 'schedulerCutOneWay':
      await fleet.harmPeerLink(0, { _tag: 'silent', direction: 'toCaller' }, disturbance.forMs);
      return;
    case 'storeAway':
      fleet.store.setAway(true);
      return;
    case 'othersKilled':
      for (let index = 1; index < fleet.size; index += 1) {
        await fleet.restart(index);
        await wait(disturbance.everyMs);
      }
      return;
    case 'release':
      for (let index = 0; index < fleet.size; index += 1) await fleet.release(index);
      return;
    default:
      disturbance satisfies never;
  }
};

/**
 * Plays gateways as processes before endpoints that limit the rate of their requests for a while.
 *
 * @param owner - ends all that was started
 * @param play - sizes, rates and what else happens
 * @returns what reached the endpoints and how requests fared, by service
 */
export const playLimits = async (
  owner: Owner,
  play: LimitPlay,
): Promise<Readonly<Record<string, LimitResult>>> => {
  const { shape } = play;
  const generator = xoroshiro128plus(play.seed);
  const fraction = (): number => uniformFloat64(generator);
  const fleet = await GatewayFleet.start(owner, {
    size: play.gateways,
    configuration: makeSoakConfiguration([5]),
    program: play.program,
    folder: play.folder,
  });
  const sent = new Map<string, Sent>();
  const ledgers = new Map<string, LimitLedger[]>();
  let limiting = false;
  const nextRate = (): number => {
    switch (shape._tag) {
      case 'fixed':
      case 'twoLines':
        return shape.perSecond;
      case 'changing':
        return shape.lowest + fraction() * (shape.highest - shape.lowest);
      default:
        return shape satisfies never;
    }
  };
  const startEndpoint = async (service: string, index: number): Promise<void> => {
    const ledger = new LimitLedger();
    ledgers.set(service, [...(ledgers.get(service) ?? []), ledger]);
    await LimitingEndpoint.start(owner, {
      name: `${service}-${index}`,
      service,
      streams: service === SERVICES.model,
      store: fleet.store,
      statedLimits: () => {
        if (!limiting || index >= play.limited) return [];
        const rate = nextRate();
        ledger.stated(rate, performance.now());
        return shape._tag === 'twoLines' ? ['garbage', String(rate)] : [rate.toFixed(2)];
      },
      onArrival: (requestId, at) => {
        const gateway = sent.get(requestId)?.gateway;
        if (gateway !== undefined) ledger.arrived(String(gateway), at);
      },
      onStated: (requestId, at) => {
        const gateway = sent.get(requestId)?.gateway;
        if (gateway !== undefined) ledger.told(String(gateway), at);
      },
    });
  };
  for (let index = 0; index < play.endpoints; index += 1) {
    await startEndpoint(SERVICES.plain, index);
    await startEndpoint(SERVICES.model, index);
  }

  const agent = new http.Agent({ keepAlive: true });
  owner.after(() => agent.destroy());
  const send = (service: string): void => {
    const gateway = Math.floor(fraction() * fleet.size);
    const id = `limit-${play.seed}-${sent.size + 1}`;
    const request: Sent = { service, gateway, at: performance.now(), status: 0, retryAfter: false };
    sent.set(id, request);
    const call = http.request({
      ...fleet.callerAddress(gateway),
      path: service === SERVICES.model ? `/stream/${id}` : `/read/${id}`,
      method: service === SERVICES.model ? 'POST' : 'GET',
      agent,
      headers: {
        host: SOAK_HOST,
        'x-corianderwick-request-id': id,
        'x-corianderwick-key': KEY,
        'x-corianderwick-deadline-ms': String(DEADLINE_MS),
        ...(service === SERVICES.model && { 'x-corianderwick-token-count': '300,20' }),
      },
    });
    call.setTimeout(2 * DEADLINE_MS, () => call.destroy());
    call.on('error', () => {});
    call.on('response', (response) => {
      response.resume();
      response.on('error', () => {});
      response.on('close', () => {
        if (response.complete) request.status = response.statusCode ?? 0;
        request.retryAfter = response.headers['retry-after'] !== undefined;
      });
    });
    call.end(service === SERVICES.model ? 'prompt' : undefined);
  };
  const sendAtRate = (service: string, untilAt: number): void => {
    const pauseMs = (-Math.log(1 - fraction()) * 1_000) / play.rate;
    setTimeout(() => {
      if (performance.now() > untilAt) return;
      send(service);
      sendAtRate(service, untilAt);
    }, pauseMs);
  };

  const endsAt = performance.now() + CALM_MS + play.limitMs + AFTER_MS;
  const services = [SERVICES.plain, SERVICES.model];
  services.forEach((service) => sendAtRate(service, endsAt));
  await wait(CALM_MS);
  const limitedFrom = performance.now();
  limiting = true;
  const disturbing = wait(DISTURBED_AFTER_MS).then(() => disturb(fleet, play.disturbance));
  await wait(play.limitMs);
  limiting = false;
  const limitedUntil = performance.now();
  await wait(AFTER_MS + DEADLINE_MS);
  await disturbing;

  const resultOf = (service: string): LimitResult => {
    const limited = (ledgers.get(service) ?? []).slice(0, play.limited);
    const requests = [...sent.values()].filter((request) => request.service === service);
    const before = requests.filter(({ at }) => at < limitedFrom - DEADLINE_MS);
    const during = requests.filter(
      ({ at, gateway }) =>
        at > limitedFrom + CONTACT_MS &&
        at < limitedUntil - DEADLINE_MS &&
        fleet.isInTouch(gateway, at),
    );
    const refused = during.filter(({ status }) => RETRY_STATUSES.includes(status));
    const isExcused = (gateway: string, at: number): boolean =>
      !fleet.isInTouch(Number(gateway), at);
    const used = limited.map((ledger) => ledger.usedShare(limitedFrom + CONTACT_MS, limitedUntil));
    return {
      worstExcess: Math.max(
        ...limited.map((ledger) => ledger.worstExcess(limitedUntil, isExcused)),
      ),
      usedShare: used.reduce((sum, share) => sum + share, 0) / used.length,
      servedShareBefore: shareOf(before, ({ status }) => status === SERVED),
      servedShareLimited: shareOf(during, ({ status }) => status === SERVED),
      refusalsWithRetryAfter: shareOf(refused, ({ retryAfter }) => retryAfter),
      mostAfter: Math.max(...limited.map((ledger) => ledger.mostInASecond(limitedUntil, endsAt))),
      mostBefore: Math.max(
        ...limited.map((ledger) => ledger.mostInASecond(limitedFrom - CALM_MS, limitedFrom)),
      ),
    };
  };
  return Object.fromEntries(services.map((service) => [service, resultOf(service)]));
};
