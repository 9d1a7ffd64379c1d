import { setTimeout as wait } from 'node:timers/promises';
import { SERVICES } from '../soak/soakConfiguration.ts';
import { disturbFleet, type FleetDisturbance } from '../support/FleetDisturbance.ts';
import { CONTACT_MS } from '../support/GatewayFleet.ts';
import { LimitLedger } from '../support/LimitLedger.ts';
import type { Owner } from '../support/Owner.ts';
import { isServed, shareOf } from '../support/PlayCallers.ts';
import { startPlay, type FleetPlay } from '../support/startPlay.ts';
import { StatingEndpoint } from '../support/StatingEndpoint.ts';

/** How endpoints limit their requests. */
export type LimitShape =
  | { readonly _tag: 'fixed'; readonly perSecond: number }
  /** Another value with each answer, between the two. */
  | { readonly _tag: 'changing'; readonly lowest: number; readonly highest: number }
  /** The value, beside one that can't be read. */
  | { readonly _tag: 'twoLines'; readonly perSecond: number };

/** One play. */
export interface LimitPlay extends FleetPlay {
  /** Endpoints of each of the two services, a plain one and one of engines. */
  readonly endpoints: number;
  /** How many of these limit their requests. */
  readonly limited: number;
  readonly shape: LimitShape;
  readonly disturbance: FleetDisturbance;
  /** Requests a second to each service. */
  readonly rate: number;
  /** Time for which the endpoints state a limit, in ms. */
  readonly limitMs: number;
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
const RETRY_STATUSES = [429, 503];

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
  const { fleet, callers, fraction } = await startPlay<string>(owner, play, DEADLINE_MS);
  const gatewayOf = (requestId: string): string | undefined =>
    callers.sent.get(requestId)?.gateway.toString();
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
    await StatingEndpoint.start(owner, {
      name: `${service}-${index}`,
      service,
      streams: service === SERVICES.model,
      store: fleet.store,
      statements: () => {
        if (!limiting || index >= play.limited) return {};
        const rate = nextRate();
        ledger.stated(rate, performance.now());
        return {
          'Server-Limit': shape._tag === 'twoLines' ? ['garbage', String(rate)] : rate.toFixed(2),
        };
      },
      onArrival: (requestId, at) => {
        const gateway = gatewayOf(requestId);
        if (gateway !== undefined) ledger.arrived(gateway, at);
      },
      onAnswer: (requestId, at) => {
        const gateway = gatewayOf(requestId);
        if (gateway !== undefined && limiting && index < play.limited) ledger.told(gateway, at);
      },
    });
  };
  for (let index = 0; index < play.endpoints; index += 1) {
    await startEndpoint(SERVICES.plain, index);
    await startEndpoint(SERVICES.model, index);
  }

  const send = (service: string): void =>
    callers.send(
      service,
      service === SERVICES.model
        ? {
            method: 'POST',
            path: '/stream/prompt',
            body: 'prompt',
            headers: { 'x-corianderwick-token-count': '300,20' },
          }
        : { method: 'GET', path: '/read/record' },
    );
  const endsAt = performance.now() + CALM_MS + play.limitMs + AFTER_MS;
  const services = [SERVICES.plain, SERVICES.model];
  services.forEach((service) =>
    callers.sendAtRate(
      () => play.rate,
      () => send(service),
      endsAt,
    ),
  );
  await wait(CALM_MS);
  const limitedFrom = performance.now();
  limiting = true;
  const disturbing = wait(DISTURBED_AFTER_MS).then(() => disturbFleet(fleet, play.disturbance));
  await wait(play.limitMs);
  limiting = false;
  const limitedUntil = performance.now();
  await wait(AFTER_MS + DEADLINE_MS);
  await disturbing;

  const resultOf = (service: string): LimitResult => {
    const limited = (ledgers.get(service) ?? []).slice(0, play.limited);
    const requests = callers.select(({ kind }) => kind === service);
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
      servedShareBefore: shareOf(before, isServed),
      servedShareLimited: shareOf(during, isServed),
      refusalsWithRetryAfter: shareOf(refused, ({ hasRetryAfter }) => hasRetryAfter),
      mostAfter: Math.max(...limited.map((ledger) => ledger.mostInASecond(limitedUntil, endsAt))),
      mostBefore: Math.max(
        ...limited.map((ledger) => ledger.mostInASecond(limitedFrom - CALM_MS, limitedFrom)),
      ),
    };
  };
  return Object.fromEntries(services.map((service) => [service, resultOf(service)]));
};
