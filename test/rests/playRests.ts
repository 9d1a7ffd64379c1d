import { setTimeout as wait } from 'node:timers/promises';
import { SERVICES } from '../soak/soakConfiguration.ts';
import { disturbFleet, type FleetDisturbance } from '../support/FleetDisturbance.ts';
import { CONTACT_MS } from '../support/GatewayFleet.ts';
import type { Owner } from '../support/Owner.ts';
import { NOT_RUN_STATUSES, isServed, shareOf, type CallerContent } from '../support/PlayCallers.ts';
import { RestLedger } from '../support/RestLedger.ts';
import { startPlay, type FleetPlay } from '../support/startPlay.ts';
import { StatingEndpoint } from '../support/StatingEndpoint.ts';

/** What endpoints ask of gateways. */
export type RestShape =
  /** So many endpoints of each service reject everything for a while and ask for rest. */
  | { readonly _tag: 'resting'; readonly endpoints: number; readonly restSeconds: number }
  /** The endpoints leave one after the other, and say so in their answers alone at first. */
  | { readonly _tag: 'leaving' };

/** One play. */
export interface RestPlay extends FleetPlay {
  /** Endpoints of each of the two services, a plain one and one of engines. */
  readonly endpoints: number;
  readonly shape: RestShape;
  readonly disturbance: FleetDisturbance;
  /** Requests a second to each service. */
  readonly rate: number;
  /** Time in which endpoints ask for something, in ms. */
  readonly askingMs: number;
}

/** What came of a play. */
export interface RestResult {
  readonly rests: number;
  /** Most requests of one gateway to an endpoint in a rest that the gateway was asked for. */
  readonly mostInRest: number;
  /** Requests to an endpoint sent later than the drain time after their gateway knew that it leaves. */
  readonly afterLeaving: number;
  readonly servedShareBefore: number;
  /** Share of the requests at gateways in touch that were served while endpoints asked for something. */
  readonly servedShareAsking: number;
  readonly servedShareAfter: number;
  readonly falselyRefused: number;
  /** Share of the refusals that came with a time to retry. */
  readonly refusalsWithRetryAfter: number;
}

const CALM_MS = 3_000;
const AFTER_MS = 5_000;
const DEADLINE_MS = 1_200;
const DISTURBED_AFTER_MS = 3_000;
/** The platform's `drain_ms`. */
const DRAIN_MS = 2_000;
/** Time from an endpoint's first word of leaving until it is gone. */
const LEAVING_MS = 4_500;
const MS_PER_SECOND = 1_000;
const REJECTED = 503;

/** An endpoint, and what it asks for now. */
interface Asking {
  readonly service: string;
  readonly endpoint: StatingEndpoint;
  /** One for each start of the endpoint; the last one is the present one's. */
  readonly ledgers: RestLedger[];
  readonly state: { isShedding: boolean; isLeaving: boolean };
}

const contentOf = (service: string): CallerContent =>
  service === SERVICES.model
    ? {
        method: 'POST',
        path: '/stream/prompt',
        body: 'prompt',
        headers: { 'x-corianderwick-token-count': '300,20' },
      }
    : { method: 'GET', path: '/read/record' };

/**
 * Plays gateways as processes before endpoints that ask single gateways for rest, or say that they leave.
 *
 * @param owner - ends all that was started
 * @param play - sizes, what endpoints ask for and what else happens
 * @returns what reached the endpoints and how requests fared
 */
export const playRests = async (owner: Owner, play: RestPlay): Promise<RestResult> => {
  const { shape } = play;
  const { fleet, callers } = await startPlay<string>(owner, play, DEADLINE_MS);
  const restSeconds = shape._tag === 'resting' ? shape.restSeconds : 0;
  const ran = new Set<string>();
  const startEndpoint = async (service: string, index: number): Promise<Asking> => {
    const state = { isShedding: false, isLeaving: false };
    const ledgers = [new RestLedger()];
    const endpoint = await StatingEndpoint.start(owner, {
      name: `${service}-${index}`,
      service,
      streams: service === SERVICES.model,
      store: fleet.store,
      room: () => 20,
      sheds: () => state.isShedding,
      statements: (status) => ({
        ...(state.isLeaving && { 'Server-Leaving': '1' }),
        ...(status === REJECTED && state.isShedding && { 'Retry-After': String(restSeconds) }),
      }),
      onArrival: (requestId, at) => {
        const request = callers.sent.get(requestId);
        if (request !== undefined) ledgers.at(-1)?.arrived(request.gateway, request.at, at);
      },
      onRun: (requestId) => ran.add(requestId),
      onAnswer: (requestId, at, status) => {
        const gateway = callers.sent.get(requestId)?.gateway;
        if (gateway === undefined) return;
        if (status === REJECTED && state.isShedding)
          ledgers.at(-1)?.askedForRest(gateway, at, restSeconds * MS_PER_SECOND);
        if (state.isLeaving) ledgers.at(-1)?.toldLeaving(gateway, at);
      },
    });
    return { service, endpoint, ledgers, state };
  };
  const endpoints: Asking[] = [];
  for (let index = 0; index < play.endpoints; index += 1) {
    for (const service of [SERVICES.plain, SERVICES.model])
      endpoints.push(await startEndpoint(service, index));
  }
  /** Lets endpoints ask for something until a moment; resolves then. */
  const ask = async (untilAt: number): Promise<void> => {
    switch (shape._tag) {
      case 'resting': {
        const resting = endpoints.slice(0, 2 * shape.endpoints);
        resting.forEach(({ state }) => Object.assign(state, { isShedding: true }));
        await wait(untilAt - performance.now());
        resting.forEach(({ state }) => Object.assign(state, { isShedding: false }));
        return;
      }
      case 'leaving':
        for (const { endpoint, ledgers, state } of endpoints) {
          if (performance.now() > untilAt) return;
          state.isLeaving = true;
          await wait(LEAVING_MS);
          state.isLeaving = false;
          ledgers.push(new RestLedger());
          endpoint.startAgain();
        }
        return;
      default:
        shape satisfies never;
    }
  };

  const endsAt = performance.now() + CALM_MS + play.askingMs + AFTER_MS;
  [SERVICES.plain, SERVICES.model].forEach((service) =>
    callers.sendAtRate(
      () => play.rate,
      () => callers.send(service, contentOf(service)),
      endsAt,
    ),
  );
  await wait(CALM_MS);
  const askingFrom = performance.now();
  const disturbing = wait(DISTURBED_AFTER_MS).then(() => disturbFleet(fleet, play.disturbance));
  await ask(askingFrom + play.askingMs);
  const askingUntil = performance.now();
  await wait(Math.max(0, endsAt - performance.now()) + DEADLINE_MS);
  await disturbing;

  const servedShare = (from: number, until: number): number =>
    shareOf(
      callers.select(
        ({ at, gateway }) =>
          at >= from &&
          at < until &&
          fleet.isInTouch(gateway, at) &&
          !fleet.wasDisturbed(gateway, at, at + DEADLINE_MS),
      ),
      isServed,
    );
  const ledgers = endpoints.flatMap((endpoint) => endpoint.ledgers);
  const isExcused = (gateway: number, from: number, to: number): boolean =>
    fleet.wasDisturbed(gateway, from, to);
  const refused = callers.select(({ status }) => status === REJECTED);
  return {
    rests: ledgers.reduce((sum, { restCount }) => sum + restCount, 0),
    mostInRest: Math.max(...ledgers.map((ledger) => ledger.mostInRest(isExcused))),
    afterLeaving: ledgers.reduce(
      (sum, ledger) => sum + ledger.countAfterLeaving(DRAIN_MS, isExcused),
      0,
    ),
    servedShareBefore: servedShare(0, askingFrom - DEADLINE_MS),
    servedShareAsking: servedShare(askingFrom + CONTACT_MS, askingUntil),
    servedShareAfter: servedShare(askingUntil + CONTACT_MS, endsAt),
    falselyRefused: callers.select(
      ({ id, status }) => NOT_RUN_STATUSES.includes(status) && ran.has(id),
    ).length,
    refusalsWithRetryAfter: shareOf(refused, ({ hasRetryAfter }) => hasRetryAfter),
  };
};
