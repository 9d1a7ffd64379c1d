import { setTimeout as wait } from 'node:timers/promises';
import { SERVICES } from '../soak/soakConfiguration.ts';
import { disturbFleet, type FleetDisturbance } from '../support/FleetDisturbance.ts';
import { CONTACT_MS } from '../support/GatewayFleet.ts';
import type { Owner } from '../support/Owner.ts';
import { isServed, shareOf } from '../support/PlayCallers.ts';
import { startPlay, type FleetPlay } from '../support/startPlay.ts';
import { StatingEndpoint } from '../support/StatingEndpoint.ts';

/** One play. */
export interface BrittlePlay extends FleetPlay {
  /** Endpoints of the plain service. */
  readonly endpoints: number;
  /** Rejections a second above which one falls over. */
  readonly bears: number;
  /** Requests a second, beyond what the endpoints can do. */
  readonly rate: number;
  readonly brittleMs: number;
  readonly disturbance: FleetDisturbance;
}

/** What came of a play. */
export interface BrittleResult {
  readonly falls: number;
  /** Most rejections of one endpoint in a second, from the contact time on. */
  readonly mostRejections: number;
  /** Runs as a share of what the endpoints could do, from the contact time on. */
  readonly usedShare: number;
  readonly servedShareBefore: number;
  readonly servedShareBrittle: number;
}

const CALM_MS = 3_000;
const DEADLINE_MS = 1_200;
const DISTURBED_AFTER_MS = 4_000;
const SLOTS = 4;
const RUN_MS = 150;
const ROOM = 20;
const SECOND_MS = 1_000;

const mostInASecond = (times: readonly number[]): number =>
  Math.max(
    0,
    ...times.map((start) => times.filter((at) => at >= start && at < start + SECOND_MS).length),
  );

/**
 * Plays gateways as processes before endpoints of a plain service that fall over when they have to reject too
 * much, and from the contact time on let nobody wait.
 *
 * @param owner - ends all that was started
 * @param play - sizes, rates and what else happens
 * @returns what the endpoints had to reject and how requests fared
 */
export const playBrittle = async (owner: Owner, play: BrittlePlay): Promise<BrittleResult> => {
  const { fleet, callers } = await startPlay<'read'>(owner, play, DEADLINE_MS);
  const brittle = { from: Number.POSITIVE_INFINITY, until: Number.POSITIVE_INFINITY };
  const falls: number[] = [];
  const runs: number[] = [];
  const rejections = Array.from({ length: play.endpoints }, (): number[] => []);
  const isBrittle = (): boolean =>
    performance.now() >= brittle.from && performance.now() < brittle.until;
  for (let index = 0; index < play.endpoints; index += 1) {
    await StatingEndpoint.start(owner, {
      name: `brittle-${index}`,
      service: SERVICES.plain,
      streams: false,
      store: fleet.store,
      slots: SLOTS,
      runMs: RUN_MS,
      room: () => (isBrittle() && performance.now() > brittle.from + CONTACT_MS ? 0 : ROOM),
      breaksAbove: () => (isBrittle() ? play.bears : undefined),
      statements: () => (isBrittle() ? { 'Server-Brittle': String(play.bears) } : {}),
      onRun: (_, at) => runs.push(at),
      onAnswer: (_, at, status) => {
        if (status === 503) rejections[index]?.push(at);
      },
      onFall: (at) => falls.push(at),
    });
  }
  const capacity = (play.endpoints * SLOTS * SECOND_MS) / RUN_MS;
  // The endpoints aren't asked for more than they can do until they are brittle.
  const rate = (): number => (isBrittle() ? play.rate : Math.min(play.rate, capacity / 2));
  const endsAt = performance.now() + CALM_MS + play.brittleMs;
  callers.sendAtRate(rate, () => callers.send('read', { method: 'GET', path: '/read/x' }), endsAt);
  await wait(CALM_MS);
  brittle.from = performance.now();
  const disturbing = wait(DISTURBED_AFTER_MS).then(() => disturbFleet(fleet, play.disturbance));
  await wait(play.brittleMs);
  brittle.until = performance.now();
  await wait(DEADLINE_MS);
  await disturbing;
  const from = brittle.from + CONTACT_MS;
  const isCounted = (at: number): boolean => at >= from && at < brittle.until;
  const inTouch = callers.select(
    ({ at, gateway }) => isCounted(at) && fleet.isInTouch(gateway, at),
  );
  return {
    falls: falls.length,
    mostRejections: Math.max(...rejections.map((times) => mostInASecond(times.filter(isCounted)))),
    usedShare: (runs.filter(isCounted).length * SECOND_MS) / (capacity * (brittle.until - from)),
    servedShareBefore: shareOf(
      callers.select(({ at }) => at < brittle.from - DEADLINE_MS),
      isServed,
    ),
    servedShareBrittle: shareOf(inTouch, isServed),
  };
};
