import type { PoolRouting } from '../../state/PoolRouting.ts';

/** Turn at which a route's first request goes to the candidate: never ahead of its share. */
const FIRST_CREDIT = 0;
const MAXIMUM_CREDIT = 2;
const MAXIMUM_ROUTES = 64;
const OTHER_ROUTES = '';
/** After a fault of the candidate, requests test it one at a time for this long. */
const TEST_MS = 1_500;
/** Tests that follow one fault: enough, if they fail too, for a verdict. */
const TESTS_PER_FAULT = 3;
/** Tests of one share in all, so that a version that fails now and then isn't tested on and on. */
const MAXIMUM_TESTS = 12;

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

  #routing: PoolRouting | undefined;

  #testsLeft = 0;

  #testsMade = 0;

  #testUntil = 0;

  /** Takes over which versions get work. */
  configure(routing: PoolRouting): void {
    const { candidate } = routing;
    const held = this.#routing?.candidate;
    const isSame = held?.version === candidate?.version && held?.share === candidate?.share;
    if (!isSame) {
      this.#credits.clear();
      this.#testsLeft = 0;
      this.#testsMade = 0;
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
  get candidate(): PoolRouting['candidate'] {
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
  preference(route: string, candidateInFlight: number, now: number): readonly string[] {
    const { candidate } = this;
    const others = this.eligibleVersions().filter((version) => version !== candidate?.version);
    if (candidate === undefined) return others;
    const { maximumInFlight, share, version } = candidate;
    if (this.#isTesting(now)) return candidateInFlight === 0 ? [version, ...others] : others;
    const isFull = maximumInFlight > 0 && candidateInFlight >= maximumInFlight;
    if (share >= 1) return isFull ? others : [version, ...others];
    const hasTurn = this.#creditOf(route) + share >= 1;
    return hasTurn && !isFull ? [version, ...others] : others;
  }

  /** Notes that a call failed or was far too slow; one of the candidate is followed by tests. */
  doubt(version: string, now: number): void {
    if (this.candidate?.version !== version) return;
    this.#testsLeft = Math.min(TESTS_PER_FAULT, MAXIMUM_TESTS - this.#testsMade);
    this.#testUntil = now + TEST_MS;
  }

  /** Counts a request that was placed. */
  recordPlacement(route: string, version: string, now: number): void {
    const { candidate } = this;
    if (candidate === undefined) return;
    if (version === candidate.version && this.#isTesting(now)) {
      this.#testsLeft -= 1;
      this.#testsMade += 1;
    }
    const credit =
      this.#creditOf(route) + candidate.share - (version === candidate.version ? 1 : 0);
    this.#credits.set(this.#keyOf(route), Math.min(MAXIMUM_CREDIT, credit));
  }

  #isTesting(now: number): boolean {
    return this.#testsLeft > 0 && now < this.#testUntil;
  }

  #creditOf(route: string): number {
    return this.#credits.get(this.#keyOf(route)) ?? FIRST_CREDIT;
  }

  #keyOf(route: string): string {
    const isKnown = this.#credits.has(route) || this.#credits.size < MAXIMUM_ROUTES;
    return isKnown ? route : OTHER_ROUTES;
  }
}
