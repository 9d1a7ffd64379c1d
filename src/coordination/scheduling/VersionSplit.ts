import type { PoolRouting } from '../../state/PoolRouting.ts';

/** Credit of a new route: 0, so that the candidate never receives more than its share. */
const INITIAL_CREDIT = 0;
/** Limit of a route's credit, so that a candidate that was full doesn't receive a burst later. */
const MAXIMUM_CREDIT = 2;
const MAXIMUM_ROUTES = 64;
/** Key of the credit that all routes beyond the maximum share. */
const OVERFLOW_ROUTE = '';
/** Time after a fault of the candidate during which probes may be sent to it. */
const FAULT_PROBE_WINDOW_MS = 1_500;
/** Probes after one fault: enough for a verdict if they fail too. */
const PROBES_PER_FAULT = 3;
/**
 * Probes until the candidate or its share changes, so that occasional faults don't cause endless
 * probing.
 */
const MAXIMUM_PROBES_PER_SHARE = 12;

/**
 * Splits requests between the stable version and a candidate. A credit per route spreads the
 * candidate's requests evenly, so that its share also holds over short spans. The number of
 * requests in flight on the candidate is bounded.
 *
 * With a small share, the request after the candidate's first fault could be seconds away. A fault
 * is therefore followed at once by a few probes: requests that go to the candidate whatever its
 * credit, one in flight at a time. They confirm or refute the fault early and count against the
 * candidate's share.
 */
export class VersionSplit {
  readonly #credits = new Map<string, number>();

  #routing: PoolRouting | undefined;

  #probesLeft = 0;

  #probesSent = 0;

  #probeUntil = 0;

  /**
   * Applies a routing. Credits and probes are reset if the candidate or its share changes.
   *
   * @param routing - the pool's versions and the candidate's share
   */
  configure(routing: PoolRouting): void {
    const { candidate } = routing;
    const previous = this.#routing?.candidate;
    const isSame = previous?.version === candidate?.version && previous?.share === candidate?.share;
    if (!isSame) {
      this.#credits.clear();
      this.#probesLeft = 0;
      this.#probesSent = 0;
    }
    this.#routing = routing;
  }

  /** @returns the stable version and the candidate, without condemned versions */
  eligibleVersions(): readonly string[] {
    if (this.#routing === undefined) return [];
    const { stable, candidate, condemned } = this.#routing;
    const versions = candidate === undefined ? [stable] : [stable, candidate.version];
    return versions.filter((version) => !condemned.includes(version));
  }

  /** @returns the candidate with its limits, or undefined if there is none or it is condemned */
  get candidate(): PoolRouting['candidate'] {
    const candidate = this.#routing?.candidate;
    return candidate !== undefined && this.eligibleVersions().includes(candidate.version)
      ? candidate
      : undefined;
  }

  /**
   * Orders the versions to try for a request. The candidate is left out if the route's credit is too
   * low, or if too many requests are in flight on it; during probing, if any is.
   *
   * @param route - the request's route
   * @param candidateInFlight - requests in flight on the candidate
   * @param now - present time in ms
   * @returns versions, the preferred one first
   */
  preferredVersions(route: string, candidateInFlight: number, now: number): readonly string[] {
    const { candidate } = this;
    const others = this.eligibleVersions().filter((version) => version !== candidate?.version);
    if (candidate === undefined) return others;
    const { maximumInFlight, share, version } = candidate;
    if (this.#isProbing(now)) return candidateInFlight === 0 ? [version, ...others] : others;
    // A maximum of 0 means no limit.
    const isFull = maximumInFlight > 0 && candidateInFlight >= maximumInFlight;
    if (share >= 1) return isFull ? others : [version, ...others];
    const isDue = this.#creditOf(route) + share >= 1;
    return isDue && !isFull ? [version, ...others] : others;
  }

  /**
   * Records a failed or far too slow call. If the candidate served it, probes follow.
   *
   * @param version - the version that served the call
   * @param now - present time in ms
   */
  recordFault(version: string, now: number): void {
    if (this.candidate?.version !== version) return;
    this.#probesLeft = Math.min(PROBES_PER_FAULT, MAXIMUM_PROBES_PER_SHARE - this.#probesSent);
    this.#probeUntil = now + FAULT_PROBE_WINDOW_MS;
  }

  /**
   * Updates the route's credit, and the probe count, after a placement.
   *
   * @param route - the request's route
   * @param version - the version that received the request
   * @param now - present time in ms
   */
  recordPlacement(route: string, version: string, now: number): void {
    const { candidate } = this;
    if (candidate === undefined) return;
    if (version === candidate.version && this.#isProbing(now)) {
      this.#probesLeft -= 1;
      this.#probesSent += 1;
    }
    const credit =
      this.#creditOf(route) + candidate.share - (version === candidate.version ? 1 : 0);
    this.#credits.set(this.#creditKeyOf(route), Math.min(MAXIMUM_CREDIT, credit));
  }

  #isProbing(now: number): boolean {
    return this.#probesLeft > 0 && now < this.#probeUntil;
  }

  #creditOf(route: string): number {
    return this.#credits.get(this.#creditKeyOf(route)) ?? INITIAL_CREDIT;
  }

  #creditKeyOf(route: string): string {
    const isKnown = this.#credits.has(route) || this.#credits.size < MAXIMUM_ROUTES;
    return isKnown ? route : OVERFLOW_ROUTE;
  }
}
