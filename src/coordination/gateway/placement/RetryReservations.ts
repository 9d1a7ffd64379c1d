/** Width of one interval of the ledger, in ms. */
const INTERVAL_MS = 100;
/** Intervals that the ledger remembers; later reservations share the last one. */
const MAXIMUM_INTERVALS = 100;

/** A period in which a rejected caller may be asked to retry, relative to the present. */
export interface RetryPeriod {
  /** Start of the period, in ms from now. */
  readonly earliestMs: number;
  /** End of the period, in ms from now. */
  readonly latestMs: number;
}

/**
 * Engine time that the scheduler has promised to rejected callers, by service and by the time at which
 * they were asked to retry. It spreads the retries, so that they don't meet again.
 */
export class RetryReservations {
  /** Reserved engine time in ms, by service and by number of the interval since time 0. */
  readonly #reserved = new Map<string, Map<number, number>>();

  /**
   * Reserves engine time in the interval of a period that has the least of it reserved, the latest one of
   * several.
   *
   * @param service - the service
   * @param engineTimeMs - engine time that the request is expected to use, in ms
   * @param period - when the caller can retry
   * @param now - current time, in ms
   * @returns time from now to the middle of the interval, in ms
   */
  reserve(
    service: string,
    engineTimeMs: number,
    { earliestMs, latestMs }: RetryPeriod,
    now: number,
  ): number {
    const intervals = this.#current(service, now);
    const first = Math.floor((now + earliestMs) / INTERVAL_MS);
    const last = Math.max(first, Math.floor((now + latestMs) / INTERVAL_MS) - 1);
    let best = last;
    for (let index = last - 1; index >= Math.max(first, last - MAXIMUM_INTERVALS); index -= 1) {
      if ((intervals.get(index) ?? 0) < (intervals.get(best) ?? 0)) best = index;
    }
    intervals.set(best, (intervals.get(best) ?? 0) + engineTimeMs);
    return Math.min(latestMs, Math.max(earliestMs, (best + 0.5) * INTERVAL_MS - now));
  }

  #current(service: string, now: number): Map<number, number> {
    const intervals = this.#reserved.get(service) ?? new Map<number, number>();
    this.#reserved.set(service, intervals);
    const present = Math.floor(now / INTERVAL_MS);
    intervals.forEach((_, index) => {
      if (index < present) intervals.delete(index);
    });
    return intervals;
  }
}
