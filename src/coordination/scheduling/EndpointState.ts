import type { Reservation } from '../../protocol/peer/PeerMessage.ts';
import type { Endpoint } from '../../state/Endpoint.ts';
import type { AddressSlots } from './AddressSlots.ts';
import { EndpointHealth } from './EndpointHealth.ts';
import { PrefixCacheIndex } from './PrefixCacheIndex.ts';
import { ServiceTimeEstimator, type ServiceDemand } from './ServiceTimeEstimator.ts';
import { holdsSlot, placementOf, type Placement, type Ticket } from './Ticket.ts';

/** Time that is subtracted from a request's run time before it is compared with its estimate. */
const OVERDUE_GRACE_MS = 300;
const BACKLOG_SMOOTHING = 0.05;

/** Scheduling state of one endpoint: running tickets, time estimates, prefix cache and health. */
export class EndpointState {
  /** The endpoint as the bundle in force defines it. */
  endpoint: Endpoint;

  /** Slots of the endpoint's address, shared with the other endpoints there. */
  addressSlots: AddressSlots;

  /** Whether it receives no new work, since it is marked as leaving or has left the bundle. */
  isLeaving = false;

  readonly serviceTime: ServiceTimeEstimator;

  /** Moving average of the prefill backlog at the start of a request, in tokens. */
  #averageBacklogTokens = 0;

  readonly prefixes = new PrefixCacheIndex();

  readonly health = new EndpointHealth();

  /** Tickets that are granted, being suspended or suspended at this endpoint, by id. */
  readonly tickets = new Map<string, Ticket>();

  /**
   * @param endpoint - the endpoint's definition in the bundle
   * @param addressSlots - slots of the endpoint's address
   */
  constructor(endpoint: Endpoint, addressSlots: AddressSlots) {
    this.endpoint = endpoint;
    this.addressSlots = addressSlots;
    this.serviceTime = new ServiceTimeEstimator(endpoint);
  }

  /**
   * Gives a request's service demand at this endpoint, apart from the work of other requests.
   *
   * @param reservation - the request
   * @returns the demand, with the prompt tokens expected in this endpoint's cache and no backlog
   */
  demandOf({ promptTokens, outputTokens, prefixes, route }: Reservation): ServiceDemand {
    const cachedTokens = this.prefixes.expectedCachedTokens(prefixes, promptTokens);
    return { promptTokens, outputTokens, cachedTokens, route, backlogTokens: 0 };
  }

  /**
   * Gives a request's service demand including the prefill that other requests still need.
   *
   * @param reservation - the request
   * @param now - present time in ms
   * @returns the demand with the present prefill backlog
   */
  demandWithBacklog(reservation: Reservation, now: number): ServiceDemand {
    const demand = this.demandOf(reservation);
    return {
      ...demand,
      backlogTokens: this.prefillBacklogTokens(demand.promptTokens - demand.cachedTokens, now),
    };
  }

  /**
   * Estimates a waiting ticket's service time if it takes the last free slot and meets an average
   * prefill backlog.
   *
   * @param ticket - the waiting ticket
   * @returns time in ms
   */
  estimateWhenFull({ reservation, cachedTokens }: Ticket): number {
    const { promptTokens, outputTokens, route } = reservation;
    const backlogTokens = this.#averageBacklogTokens;
    const demand = { promptTokens, outputTokens, cachedTokens, route, backlogTokens };
    return this.serviceTime.estimate(demand, this.addressSlots.slots);
  }

  /**
   * Estimates a request's service time if it starts now.
   *
   * @param reservation - the request
   * @param now - present time in ms
   * @returns time in ms
   */
  estimateNow(reservation: Reservation, now: number): number {
    return this.serviceTime.estimate(
      this.demandWithBacklog(reservation, now),
      this.addressSlots.running + 1,
    );
  }

  /**
   * Creates the placement for a request that starts now, and updates the average backlog.
   *
   * @param reservation - the request
   * @param now - present time in ms
   * @returns the placement
   */
  createPlacement(reservation: Reservation, now: number): Placement {
    const demand = this.demandWithBacklog(reservation, now);
    const { backlogTokens } = demand;
    const concurrency = this.addressSlots.running + 1;
    this.#averageBacklogTokens += (backlogTokens - this.#averageBacklogTokens) * BACKLOG_SMOOTHING;
    return {
      endpoint: this.endpoint.name,
      version: this.endpoint.version,
      grantedAt: now,
      estimateMs: this.serviceTime.estimate(demand, concurrency),
      cachedTokens: demand.cachedTokens,
      concurrency,
      prefillTokens: demand.promptTokens - demand.cachedTokens,
      backlogTokens,
      firstTokenMs: this.serviceTime.estimateFirstToken(demand),
    };
  }

  /**
   * Estimates how many prompt tokens the running requests still have to compute, which slows down
   * the prefill of a new one.
   *
   * @param ownTokens - prompt tokens that the new request has to compute
   * @param now - present time in ms
   * @returns tokens; each running request counts for at most `ownTokens`
   */
  prefillBacklogTokens(ownTokens: number, now: number): number {
    let tokens = 0;
    this.tickets.forEach(({ state }) => {
      if (state._tag !== 'granted') return;
      const { prefillTokens, grantedAt, firstTokenMs } = state.placement;
      const remainingShare = 1 - (now - grantedAt) / firstTokenMs;
      tokens += Math.min(ownTokens, prefillTokens * Math.max(0, remainingShare));
    });
    return tokens;
  }

  /**
   * Estimates a request's service time if nothing else runs at the endpoint.
   *
   * @param reservation - the request
   * @returns time in ms
   */
  estimateWhenIdle(reservation: Reservation): number {
    return this.serviceTime.estimate(this.demandOf(reservation), 1);
  }

  /**
   * Tells whether a request can start now: the endpoint isn't leaving, has a free slot, and is
   * healthy or due for a probe.
   *
   * @param now - present time in ms
   * @returns true if a request can start
   */
  canStart(now: number): boolean {
    if (this.isLeaving || this.addressSlots.freeSlots(now) <= 0) return false;
    return this.health.availability(this.countRunning(), now) !== 'closed';
  }

  /** @returns number of tickets that hold a slot of this endpoint */
  countRunning(): number {
    return [...this.tickets.values()].filter(holdsSlot).length;
  }

  /**
   * Compares the endpoint's speed with its configured rates. Running requests that exceed their
   * estimates count, since an endpoint that stalls completes no calls to learn from.
   *
   * @param now - present time in ms
   * @returns factor; 2 means half the configured speed
   */
  slowdown(now: number): number {
    const ratios = [...this.tickets.values()].filter(holdsSlot).flatMap((ticket) => {
      const placement = placementOf(ticket);
      if (placement === undefined) return [];
      const elapsedMs = now - placement.grantedAt - OVERDUE_GRACE_MS;
      return [elapsedMs / Math.max(1, placement.estimateMs)];
    });
    const medianRatio = ratios.sort((a, b) => a - b)[Math.floor(ratios.length / 2)] ?? 0;
    return this.serviceTime.slowdown * Math.max(1, medianRatio);
  }
}
