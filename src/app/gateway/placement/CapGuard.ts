import type { EndpointLimits, PlacementScheduler } from '../../../coordination/gateway/index.ts';
import { endpointStartOf } from '../../../state/gateway/index.ts';
import type { PeerGroup } from '../PeerGroup.ts';
import { ColdPartSelector } from './ColdPartSelector.ts';
import type { PendingTicket } from './LocalTickets.ts';

/** A grant of a scheduler. */
export interface ReceivedGrant {
  /** Incarnation of the gateway that granted it. */
  readonly from: string;
  readonly endpoint: string;
  /** Time for which the ticket waited at the scheduler, in ms; undefined from an older build. */
  readonly waitedMs?: number | undefined;
}

/**
 * Age up to which a grant of a capped endpoint is used. Older ones, which a process or a link held back, would reach the
 * endpoint together with those that count now.
 */
export const MAXIMUM_GRANT_AGE_MS = 350;
/** Time without a tick after which another process may have begun to schedule. */
const PAUSE_MS = 350;

/**
 * Returns for how long a grant, and the request for it, were on the way.
 *
 * @param pending - the ticket
 * @param grant - the grant
 * @param now - present time in ms, monotonic
 */
export const grantTransitMs = (
  { requestedAt, sentAt = requestedAt }: PendingTicket,
  { waitedMs = 0 }: ReceivedGrant,
  now: number,
): number => now - sentAt - waitedMs;

/** Keeps this process within its part of the caps of endpoints. */
export class CapGuard {
  readonly #limits: EndpointLimits;

  readonly #scheduler: PlacementScheduler;

  readonly #parts = new ColdPartSelector();

  #tickedAt: number | undefined;

  constructor(limits: EndpointLimits, scheduler: PlacementScheduler) {
    this.#limits = limits;
    this.#scheduler = scheduler;
  }

  /** Sets the part of the caps that this process may use. */
  allocate(group: PeerGroup, isLeader: boolean, now: number): void {
    const { coldCaps } = this.#limits;
    if (!coldCaps.isEmpty) coldCaps.setPart(this.#parts.select(group, isLeader, now));
  }

  /** Records a run of the periodic work. */
  tick(now: number): void {
    this.resetAfterPause(now);
    this.#tickedAt = now;
  }

  /** After a pause of this process another one may have scheduled meanwhile. Call it before each decision. */
  resetAfterPause(now: number): void {
    if (this.#tickedAt !== undefined && now - this.#tickedAt > PAUSE_MS)
      this.#limits.coldCaps.reset(now);
  }

  /**
   * Whether a grant of a capped endpoint must not be used: it is too old, comes from a scheduler that was replaced
   * meanwhile, or from an older build, which doesn't count requests.
   *
   * @param pending - the ticket
   * @param grant - the grant
   * @param now - present time in ms, monotonic
   */
  isUnusable(pending: PendingTicket, grant: ReceivedGrant, now: number): boolean {
    const record = this.#scheduler.findRecord(grant.endpoint);
    if (!record || !this.#limits.coldCaps.isCapped(endpointStartOf(record))) return false;
    if (grant.waitedMs === undefined || grant.from !== pending.scheduler) return true;
    return grantTransitMs(pending, grant, now) > MAXIMUM_GRANT_AGE_MS;
  }
}
