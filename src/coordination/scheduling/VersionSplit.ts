import type { Routing } from '../../state/Routing.ts';

/** Turn at which a route's first request goes to the candidate, as a share of one. */
const FIRST_CREDIT = 0.5;
const MAXIMUM_CREDIT = 2;
const MAXIMUM_ROUTES = 64;
const OTHER_ROUTES = '';

/**
 * Divides requests between the stable version and a candidate. The candidate's turns are spread
 * evenly over each route, so its ratio is kept in short spans too, and its number in flight is bounded.
 */
export class VersionSplit {
  readonly #credits = new Map<string, number>();

  #routing: Routing | undefined;

  /** Takes over which versions get work. */
  configure(routing: Routing): void {
    const { candidate } = routing;
    const held = this.#routing?.candidate;
    const isSame = held?.version === candidate?.version && held?.share === candidate?.share;
    if (!isSame) this.#credits.clear();
    this.#routing = routing;
  }

  /** @returns the versions that may get work at all */
  versions(): readonly string[] {
    if (this.#routing === undefined) return [];
    const { stable, candidate, condemned } = this.#routing;
    const named = candidate === undefined ? [stable] : [stable, candidate.version];
    return named.filter((version) => !condemned.includes(version));
  }

  /** @returns the version under trial, if any */
  get candidate(): Routing['candidate'] {
    const candidate = this.#routing?.candidate;
    return candidate !== undefined && this.versions().includes(candidate.version)
      ? candidate
      : undefined;
  }

  /**
   * Gives the versions for a request, the preferred one first.
   *
   * @param route - the request's route
   * @param candidateInFlight - requests that run on the candidate
   * @returns versions to try in turn
   */
  preference(route: string, candidateInFlight: number): readonly string[] {
    const { candidate } = this;
    const others = this.versions().filter((version) => version !== candidate?.version);
    if (candidate === undefined) return others;
    const { maximumInFlight, share, version } = candidate;
    const isFull = maximumInFlight > 0 && candidateInFlight >= maximumInFlight;
    if (share >= 1) return isFull ? others : [version, ...others];
    const hasTurn = this.#creditOf(route) + share >= 1;
    return hasTurn && !isFull ? [version, ...others] : others;
  }

  /** Counts a request that was placed. */
  placed(route: string, version: string): void {
    const { candidate } = this;
    if (candidate === undefined) return;
    const credit =
      this.#creditOf(route) + candidate.share - (version === candidate.version ? 1 : 0);
    this.#credits.set(this.#keyOf(route), Math.min(MAXIMUM_CREDIT, credit));
  }

  #creditOf(route: string): number {
    return this.#credits.get(this.#keyOf(route)) ?? FIRST_CREDIT;
  }

  #keyOf(route: string): string {
    const isKnown = this.#credits.has(route) || this.#credits.size < MAXIMUM_ROUTES;
    return isKnown ? route : OTHER_ROUTES;
  }
}
