import type { Reservation } from '../../protocol/peer/PeerMessage.ts';
import type { Endpoint } from '../../state/Endpoint.ts';
import type { EngineHost } from './EngineHost.ts';
import { EndpointHealth } from './EndpointHealth.ts';
import { PrefixIndex } from './PrefixIndex.ts';
import { ServiceRate, type Work } from './ServiceRate.ts';
import { holdsSlot, placementOf, type Ticket } from './Ticket.ts';

/** Work is overdue only beyond this, whatever its estimate. */
const OVERDUE_GRACE_MS = 300;

/** One endpoint as the pool's scheduler sees it. */
export class EndpointState {
  endpoint: Endpoint;

  host: EngineHost;

  isLeaving = false;

  readonly rate: ServiceRate;

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
    const cachedTokens = this.prefixes.cachedTokens(prefixes, promptTokens);
    return { promptTokens, outputTokens, cachedTokens, route };
  }

  /** @returns expected time of a waiting ticket while all slots are taken, in ms */
  estimateFull({ reservation, cachedTokens }: Ticket): number {
    const { promptTokens, outputTokens, route } = reservation;
    const work = { promptTokens, outputTokens, cachedTokens, route };
    return this.rate.estimate(work, this.host.slots);
  }

  /** @returns expected time of a request that joins now, in ms */
  estimate(reservation: Reservation): number {
    return this.rate.estimate(this.workOf(reservation), this.host.running + 1);
  }

  /** @returns expected time of a request with the endpoint to itself, in ms */
  estimateAlone(reservation: Reservation): number {
    return this.rate.estimate(this.workOf(reservation), 1);
  }

  /** @returns whether a request may start here now */
  admits(now: number): boolean {
    if (this.isLeaving || this.host.free(now) <= 0) return false;
    return this.health.admittance(this.running(), now) !== 'closed';
  }

  /** @returns requests that take up slots by this endpoint's version */
  running(): number {
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
