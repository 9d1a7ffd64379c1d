import type { Routing } from '../../state/Routing.ts';

/** Turn at which a route's first request goes to the candidate: never ahead of its share. */
const INITIAL_CREDIT = 0;
const MAXIMUM_CREDIT = 2;
const MAXIMUM_ROUTES = 64;
const OVERFLOW_ROUTE = '';
/** After a fault of the candidate, requests test it one at a time for this long. */
const FAULT_PROBE_WINDOW_MS = 1_500;
/** Tests that follow one fault: enough, if they fail too, for a verdict. */
const PROBES_PER_FAULT = 3;
/** Tests of one share in all, so that a version that fails now and then isn't tested on and on. */
const MAXIMUM_PROBES_PER_SHARE = 12;

/**
 * Divides requests between the stable version and a candidate. The candidate's turns are spread
 * evenly over each route, so its ratio is kept in short spans too, and its number in flight is bounded.
 *
 * A first fault of a candidate with a small share would be followed by the next evidence only
 * seconds later. So a fault is followed by a few tests at once, one in flight at a time: they count
 * against the candidate's share, and either confirm the fault within a moment or clear it.
 */
export class VersionSplit {
  readonly #credits = new Map<string, number>();

  #routing: Routing | undefined;

  #probesLeft = 0;

  #probesSent = 0;

  #probeUntil = 0;

  /** Takes over which versions get work. */
  configure(routing: Routing): void {
    const { candidate } = routing;
    const held = this.#routing?.candidate;
    const isSame = held?.version === candidate?.version && held?.share === candidate?.share;
    if (!isSame) {
      this.#credits.clear();
      this.#probesLeft = 0;
      this.#probesSent = 0;
    }
    this.#routing = routing;
  }

  /** @returns the versions that may get work at all */
  eligibleVersions(): readonly string[] {
    if (this.#routing === undefined) return [];
    const { stable, candidate, condemned } = this.#routing;
    const named = candidate === undefined ? [stable] : [stable, candidate.version];
    return named.filter((version) => !condemned.includes(version));
  }

  /** @returns the version under trial, if any */
  get candidate(): Routing['candidate'] {
    const candidate = this.#routing?.candidate;
    return candidate !== undefined && this.eligibleVersions().includes(candidate.version)
      ? candidate
      : undefined;
  }

  /**
   * Gives the versions for a request, the preferred one first.
   *
   * @param route - the request's route
   * @param candidateInFlight - requests that run on the candidate
   * @param now - present time in ms
   * @returns versions to try in turn
   */
  preferredVersions(route: string, candidateInFlight: number, now: number): readonly string[] {
    const { candidate } = this;
    const others = this.eligibleVersions().filter((version) => version !== candidate?.version);
    if (candidate === undefined) return others;
    const { maximumInFlight, share, version } = candidate;
    if (this.#isProbing(now)) return candidateInFlight === 0 ? [version, ...others] : others;
    const isFull = maximumInFlight > 0 && candidateInFlight >= maximumInFlight;
    if (share >= 1) return isFull ? others : [version, ...others];
    const hasTurn = this.#creditOf(route) + share >= 1;
    return hasTurn && !isFull ? [version, ...others] : others;
  }

  /** Notes that a call failed or was far too slow; one of the candidate is followed by tests. */
  recordFault(version: string, now: number): void {
    if (this.candidate?.version !== version) return;
    this.#probesLeft = Math.min(PROBES_PER_FAULT, MAXIMUM_PROBES_PER_SHARE - this.#probesSent);
    this.#probeUntil = now + FAULT_PROBE_WINDOW_MS;
  }

  /** Counts a request that was placed. */
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
