import { setTimeout as wait } from 'node:timers/promises';
import type { EndpointLinks } from '../soak/GatewayProcess.ts';
import { SERVICES } from '../soak/soakConfiguration.ts';
import { disturbFleet, type FleetDisturbance } from '../support/FleetDisturbance.ts';
import { CONTACT_MS, type GatewayFleet } from '../support/GatewayFleet.ts';
import type { Owner } from '../support/Owner.ts';
import {
  NOT_RUN_STATUSES,
  isServed,
  shareOf,
  type CallerContent,
  type SentRequest,
} from '../support/PlayCallers.ts';
import { startPlay, type FleetPlay } from '../support/startPlay.ts';
import { StatingEndpoint, STATING_EVENTS } from '../support/StatingEndpoint.ts';

/** What else happens while gateways are cut from all endpoints. */
export type ReachDisturbance =
  | FleetDisturbance
  /** Callers send three times as often. */
  | { readonly _tag: 'burst' }
  /** An endpoint of each service crashes, one after the other. */
  | { readonly _tag: 'endpointsCrash' }
  /** An endpoint of each service says nothing for a while. */
  | { readonly _tag: 'endpointsSilent'; readonly forMs: number }
  /** A gateway that still reaches the endpoints is killed, or stands still. */
  | { readonly _tag: 'reachingKilled' }
  | { readonly _tag: 'reachingPaused'; readonly forMs: number };

/** One play. */
export interface ReachPlay extends FleetPlay {
  /** Endpoints of each of the two services, a plain one and one of engines. */
  readonly endpoints: number;
  /** Indices of the gateways that are cut from all endpoints; 0 is the scheduler. */
  readonly cut: readonly number[];
  readonly links: EndpointLinks;
  readonly disturbance: ReachDisturbance;
  /** Requests a second, by kind. */
  readonly rate: number;
  /** Time of the cut, in ms. */
  readonly cutMs: number;
}

/** What came of a play. */
export interface ReachResult {
  /** Share of the requests at cut gateways that were served, from the contact time after the cut began. */
  readonly servedShareCut: number;
  /** The same at the others. */
  readonly servedShareOthers: number;
  /** The same over all gateways, before the cut and from twice the contact time after its end. */
  readonly servedShareBefore: number;
  readonly servedShareAfter: number;
  /** Requests that may run once and ran more often. */
  readonly doubleRuns: number;
  /** Requests whose answer promises that they have not run, though they have. */
  readonly falselyRefused: number;
  /** Streams that ended as complete without each event once, and answers that belong to another request. */
  readonly wrongAnswers: number;
  /** Crashes of endpoints that gateways reported. */
  readonly reportedCrashes: number;
  readonly quarantined: number;
}

const CALM_MS = 3_000;
const AFTER_MS = 2 * CONTACT_MS + 2_000;
const DEADLINE_MS = 1_500;
const DISTURBED_AFTER_MS = 2_000;
const CRASH_PAUSE_MS = 1_500;
const BURST_FACTOR = 3;

type Kind = 'read' | 'write' | 'stream' | 'resumed';
const KINDS: readonly Kind[] = ['read', 'write', 'stream', 'resumed'];
const RUN_ONCE: readonly Kind[] = ['write', 'stream'];

const contentOf = (kind: Kind): CallerContent => {
  switch (kind) {
    case 'read':
      return { method: 'GET', path: '/read/record' };
    case 'write':
      return { method: 'POST', path: '/write/order', body: 'order' };
    case 'stream':
    case 'resumed':
      return {
        method: 'POST',
        path: `/${kind}/chat`,
        body: 'prompt',
        headers: { 'x-corianderwick-token-count': '300,20' },
      };
    default:
      return kind satisfies never;
  }
};

const COMPLETE_STREAM = Array.from(
  { length: STATING_EVENTS },
  (_, index) => `id: ${index + 1}\ndata: ${index + 1}\n\n`,
).join('');

const isWrong = ({ kind, status, id, text }: SentRequest<Kind>): boolean => {
  if (!isServed({ status })) return false;
  return text !== (kind === 'read' || kind === 'write' ? id : COMPLETE_STREAM);
};

const disturb = async (
  {
    fleet,
    endpoints,
    cut,
  }: {
    readonly fleet: GatewayFleet;
    readonly endpoints: readonly StatingEndpoint[];
    readonly cut: readonly number[];
  },
  disturbance: ReachDisturbance,
): Promise<void> => {
  const reaching = Array.from({ length: fleet.size }, (_, index) => index).filter(
    (index) => !cut.includes(index),
  );
  const last = reaching.at(-1);
  switch (disturbance._tag) {
    case 'burst':
      return;
    case 'endpointsCrash':
      endpoints[0]?.fall();
      await wait(CRASH_PAUSE_MS);
      endpoints.at(-1)?.fall();
      return;
    case 'endpointsSilent':
      endpoints[0]?.fallSilent(disturbance.forMs);
      endpoints.at(-1)?.fallSilent(disturbance.forMs);
      return;
    case 'reachingKilled':
      if (last !== undefined) await fleet.restart(last);
      return;
    case 'reachingPaused':
      if (last !== undefined) await fleet.pause(last, disturbance.forMs);
      return;
    default:
      await disturbFleet(fleet, disturbance);
  }
};

/**
 * Plays gateways as processes, some of which are cut from all endpoints for a while, while callers, the store
 * and the other gateways still reach them.
 *
 * @param owner - ends all that was started
 * @param play - sizes, the cut and what else happens
 * @returns how requests fared at both kinds of gateways
 */
export const playReach = async (owner: Owner, play: ReachPlay): Promise<ReachResult> => {
  const { fleet, callers } = await startPlay<Kind>(owner, play, DEADLINE_MS);
  const runs = new Map<string, number>();
  const endpoints: StatingEndpoint[] = [];
  for (const service of [SERVICES.plain, SERVICES.model]) {
    for (let index = 0; index < play.endpoints; index += 1) {
      endpoints.push(
        await StatingEndpoint.start(owner, {
          name: `${service}-${index}`,
          service,
          streams: service === SERVICES.model,
          store: fleet.store,
          statements: () => ({}),
          room: () => 20,
          onRun: (requestId) => runs.set(requestId, (runs.get(requestId) ?? 0) + 1),
        }),
      );
    }
  }
  let isBurst = false;
  const rate = (): number => play.rate * (isBurst ? BURST_FACTOR : 1);
  const endsAt = performance.now() + CALM_MS + play.cutMs + AFTER_MS;
  KINDS.forEach((kind) =>
    callers.sendAtRate(rate, () => callers.send(kind, contentOf(kind)), endsAt),
  );

  await wait(CALM_MS);
  const cutFrom = performance.now();
  play.cut.forEach((index) => fleet.setEndpointLinks(index, play.links));
  const disturbing = wait(DISTURBED_AFTER_MS).then(() => {
    isBurst = play.disturbance._tag === 'burst';
    return disturb({ fleet, endpoints, cut: play.cut }, play.disturbance);
  });
  await wait(play.cutMs);
  isBurst = false;
  const cutUntil = performance.now();
  play.cut.forEach((index) => fleet.setEndpointLinks(index, 'clear'));
  await wait(AFTER_MS + DEADLINE_MS);
  await disturbing;

  const servedShare = (
    from: number,
    until: number,
    holds: (request: SentRequest<Kind>) => boolean = () => true,
  ): number =>
    shareOf(
      callers.select(
        (request) =>
          request.at >= from &&
          request.at < until &&
          fleet.isInTouch(request.gateway, request.at) &&
          !fleet.wasDisturbed(request.gateway, request.at, request.at + DEADLINE_MS) &&
          holds(request),
      ),
      isServed,
    );
  const isCut = ({ gateway }: SentRequest<Kind>): boolean => play.cut.includes(gateway);
  return {
    servedShareCut: servedShare(cutFrom + CONTACT_MS, cutUntil, isCut),
    servedShareOthers: servedShare(cutFrom + CONTACT_MS, cutUntil, (request) => !isCut(request)),
    servedShareBefore: servedShare(0, cutFrom - DEADLINE_MS),
    servedShareAfter: servedShare(cutUntil + 2 * CONTACT_MS, endsAt),
    doubleRuns: callers.select(({ id, kind }) => RUN_ONCE.includes(kind) && (runs.get(id) ?? 0) > 1)
      .length,
    falselyRefused: callers.select(
      ({ id, status }) => NOT_RUN_STATUSES.includes(status) && runs.has(id),
    ).length,
    wrongAnswers: callers.select(isWrong).length,
    reportedCrashes: await fleet.sumMetric('corianderwick_gateway_endpoint_crashes_total'),
    quarantined: await fleet.sumMetric('corianderwick_gateway_quarantined'),
  };
};
