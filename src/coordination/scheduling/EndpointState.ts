import type { Reservation } from '../../protocol/peer/PeerMessage.ts';
import type { Endpoint } from '../../state/Endpoint.ts';
import type { EngineHost } from './EngineHost.ts';
import { EndpointHealth } from './EndpointHealth.ts';
import { PrefixIndex } from './PrefixIndex.ts';
import { ServiceRate, type Work } from './ServiceRate.ts';
import { holdsSlot, placementOf, type Placement, type Ticket } from './Ticket.ts';

/** Work is overdue only beyond this, whatever its estimate. */
const OVERDUE_GRACE_MS = 300;
const BACKLOG_GAIN = 0.05;

/** One endpoint as the pool's scheduler sees it. */
export class EndpointState {
  endpoint: Endpoint;

  host: EngineHost;

  isLeaving = false;

  readonly rate: ServiceRate;

  #usualBacklog = 0;

  readonly prefixes = new PrefixIndex();

  readonly health = new EndpointHealth();

  /** Tickets that run, are being suspended or are suspended here, by id. */
  readonly tickets = new Map<string, Ticket>();

  constructor(endpoint: Endpoint, host: EngineHost) {
    this.endpoint = endpoint;
    this.host = host;
    this.rate = new ServiceRate(endpoint);
  }

  /** @returns the request's size as this endpoint would see it */
  workOf({ promptTokens, outputTokens, prefixes, route }: Reservation): Work {
    const cachedTokens = this.prefixes.expectedCachedTokens(prefixes, promptTokens);
    return { promptTokens, outputTokens, cachedTokens, route, backlogTokens: 0 };
  }

  /** @returns the request's size beside the work that is under way now */
  workNow(reservation: Reservation, now: number): Work {
    const work = this.workOf(reservation);
    return { ...work, backlogTokens: this.backlog(work.promptTokens - work.cachedTokens, now) };
  }

  /** @returns expected time of a waiting ticket while all slots are taken, in ms */
  estimateFull({ reservation, cachedTokens }: Ticket): number {
    const { promptTokens, outputTokens, route } = reservation;
    const backlogTokens = this.#usualBacklog;
    const work = { promptTokens, outputTokens, cachedTokens, route, backlogTokens };
    return this.rate.estimate(work, this.host.slots);
  }

  /** @returns expected time of a request that joins now, in ms */
  estimate(reservation: Reservation, now: number): number {
    return this.rate.estimate(this.workNow(reservation, now), this.host.running + 1);
  }

  /** @returns how a request would be placed here now */
  createPlacement(reservation: Reservation, now: number): Placement {
    const work = this.workNow(reservation, now);
    const { backlogTokens } = work;
    const concurrency = this.host.running + 1;
    this.#usualBacklog += (backlogTokens - this.#usualBacklog) * BACKLOG_GAIN;
    return {
      endpoint: this.endpoint.name,
      version: this.endpoint.version,
      grantedAt: now,
      estimateMs: this.rate.estimate(work, concurrency),
      cachedTokens: work.cachedTokens,
      concurrency,
      prefillTokens: work.promptTokens - work.cachedTokens,
      backlogTokens,
      firstTokenMs: this.rate.firstToken(work),
    };
  }

  /** @returns prompt tokens of running requests that are computed beside so many of a new one */
  backlog(ownTokens: number, now: number): number {
    let tokens = 0;
    this.tickets.forEach(({ state }) => {
      if (state._tag !== 'granted') return;
      const { prefillTokens, grantedAt, firstTokenMs } = state.placement;
      const share = 1 - (now - grantedAt) / firstTokenMs;
      tokens += Math.min(ownTokens, prefillTokens * Math.max(0, share));
    });
    return tokens;
  }

  /** @returns expected time of a request with the endpoint to itself, in ms */
  estimateAlone(reservation: Reservation): number {
    return this.rate.estimate(this.workOf(reservation), 1);
  }

  /** @returns whether a request may start here now */
  admits(now: number): boolean {
    if (this.isLeaving || this.host.free(now) <= 0) return false;
    return this.health.admittance(this.countRunning(), now) !== 'closed';
  }

  /** @returns requests that take up slots by this endpoint's version */
  countRunning(): number {
    return [...this.tickets.values()].filter(holdsSlot).length;
  }

  /** @returns how many times slower than configured, work that is overdue counted */
  slowdown(now: number): number {
    const ratios = [...this.tickets.values()].filter(holdsSlot).flatMap((ticket) => {
      const placement = placementOf(ticket);
      if (placement === undefined) return [];
      const elapsedMs = now - placement.grantedAt - OVERDUE_GRACE_MS;
      return [elapsedMs / Math.max(1, placement.estimateMs)];
    });
    const middle = ratios.sort((a, b) => a - b)[Math.floor(ratios.length / 2)] ?? 0;
    return this.rate.slowdown * Math.max(1, middle);
  }
}
