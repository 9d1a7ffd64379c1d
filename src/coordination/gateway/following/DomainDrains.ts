import type { StoreChange } from '../../../protocol/gateway/index.ts';
import { FIRST_CONTACT_MS, drainTiming, type DrainTiming } from './drainTiming.ts';

/**
 * Time for which a failed call shows that the store doesn't answer, since it was sent. While the store is away, calls
 * are sent at most 2.2 s apart, and are overdue after 0.5 s.
 */
const FAILURE_RETENTION_MS = 4_000;

/** A drain of a failure domain that began or ended. */
export interface DrainChange {
  readonly _tag: 'begun' | 'ended';
  readonly failureDomain: string;
  /** Store revision of the change. */
  readonly revision: number;
}

/** Why a gateway sends nothing at all: it hasn't read the drains yet, or its view of them is too old. */
export type DrainObstacle = 'unread' | 'stale';

/**
 * The failure domains to whose endpoints the operator wants no requests to be sent. Whether requests may be sent is
 * asked at each sending, because a process may have been paused since it decided.
 */
export class DomainDrains {
  /** Undefined where the settings state no deadline, so that drains aren't followed. */
  readonly timing: DrainTiming | undefined;

  readonly #startedAt: number;

  readonly #drained = new Set<string>();

  #isRead = false;

  #confirmedAt = Number.NEGATIVE_INFINITY;

  /** When the last call that failed was sent, in ms. */
  #failedCallSentAt = Number.NEGATIVE_INFINITY;

  /**
   * @param deadlineMs - time after its acknowledgement by which a drain must be in force, in ms; undefined if drains
   *   aren't followed
   * @param startedAt - start of this process in ms, monotonic
   */
  constructor(deadlineMs: number | undefined, startedAt: number) {
    this.timing = deadlineMs === undefined ? undefined : drainTiming(deadlineMs);
    this.#startedAt = startedAt;
  }

  /** The drained failure domains. */
  get drained(): readonly string[] {
    return [...this.#drained];
  }

  /** When the store last confirmed that the view is complete, in ms; `-Infinity` if never. */
  get confirmedAt(): number {
    return this.#confirmedAt;
  }

  /** Records that the drains were read completely for the first time, or again. */
  recordRead(): void {
    this.#isRead = true;
  }

  /** Records that the store confirmed the view at a moment, in ms. */
  confirm(at: number): void {
    this.#confirmedAt = Math.max(this.#confirmedAt, at);
  }

  /** Records that a call to the store failed that was sent at a moment, in ms. */
  recordFailure(sentAt: number): void {
    this.#failedCallSentAt = sentAt;
  }

  /**
   * Applies changes of the objects that order drains.
   *
   * @param changes - changes that are news, in order
   * @returns the drains that began or ended
   */
  apply(changes: readonly StoreChange[]): readonly DrainChange[] {
    return changes.flatMap(({ removed, object: { name, revision } }): DrainChange[] => {
      if (removed !== this.#drained.has(name)) return [];
      if (removed) this.#drained.delete(name);
      else this.#drained.add(name);
      return [{ _tag: removed ? 'ended' : 'begun', failureDomain: name, revision }];
    });
  }

  /**
   * Returns why nothing may be sent to any endpoint now.
   *
   * @param now - present time in ms, monotonic
   * @returns the reason; undefined if requests may be sent to the endpoints of domains that aren't drained
   */
  findObstacle(now: number): DrainObstacle | undefined {
    if (this.timing === undefined) return undefined;
    if (!this.#isRead) return now - this.#startedAt < FIRST_CONTACT_MS ? 'unread' : undefined;
    const isStale = now - this.#confirmedAt > this.timing.staleMs;
    // While the store doesn't answer, the last known state applies. A call that was sent before a pause of this process
    // and failed after it says nothing about the store.
    const isStoreAway = now - this.#failedCallSentAt <= FAILURE_RETENTION_MS;
    return isStale && !isStoreAway ? 'stale' : undefined;
  }

  /**
   * Whether requests may be sent to the endpoints of a failure domain.
   *
   * @param failureDomain - the failure domain
   * @param now - present time in ms, monotonic
   */
  isUsable(failureDomain: string, now: number): boolean {
    return !this.#drained.has(failureDomain) && this.findObstacle(now) === undefined;
  }
}
