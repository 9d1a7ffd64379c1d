/** A run that ended with the crash of its endpoint. */
export interface RequestCrash {
  /** One start of an endpoint. */
  readonly endpoint: string;
  /** Identifies the request, however often it is sent. */
  readonly fingerprint: string;
  /** Time of the crash in ms, monotonic. */
  readonly at: number;
  /** When the gateway last got a sound answer of the service, in ms; undefined if it never did. */
  readonly servedAt: number | undefined;
}

/** A request that explains crashes. */
export interface FatalRequest {
  readonly fingerprint: string;
  readonly crashes: number;
}

interface Crash {
  readonly endpoint: string;
  readonly at: number;
  /** Fingerprints of the requests whose runs it ended. */
  readonly fingerprints: Set<string>;
}

/** Crashes that a request must explain before it is held responsible. */
const MINIMUM_CRASHES = 3;
/** Where nothing was served for this time before the first crash, the endpoints may be at fault. */
const SERVED_BEFORE_MS = 5_000;
/** Reports about one start of an endpoint within this time are about the same crash. */
const SAME_CRASH_MS = 2_000;
/** Differences between the times at which gateways notice and report what an endpoint did. */
const REPORT_DELAY_MS = 300;
/** Older crashes no longer count. */
const RETENTION_MS = 120_000;
const MAXIMUM_CRASHES = 256;
/** Requests of one crash that are kept. */
const MAXIMUM_REQUESTS = 256;

/**
 * Finds the requests that crash the endpoints of one service. A request is held responsible if it was in
 * flight at several crashes and was never answered since the first of them. A sound request that is often
 * in flight may be held responsible around an outage of many endpoints, until its first answer.
 */
export class RequestCrashAttribution {
  #crashes: Crash[] = [];

  /** Time of the last answer by fingerprint, of requests that were in flight at a crash. */
  readonly #servedAt = new Map<string, number>();

  /** Time of the last answer to any request. */
  #anyServedAt = Number.NEGATIVE_INFINITY;

  /** Whether crashes are remembered, so that answers matter. */
  get isWatching(): boolean {
    return this.#crashes.length > 0;
  }

  /** Whether a request was in flight at a crash and wasn't answered since. */
  isSuspect(fingerprint: string): boolean {
    return this.#crashesOf(fingerprint, this.#crashes).length > 0;
  }

  /** Whether a crash of a start of an endpoint is remembered. */
  hasCrashed(endpoint: string): boolean {
    return this.#crashes.some((crash) => crash.endpoint === endpoint);
  }

  /** Records a run that ended with its endpoint's crash. */
  recordCrash({ endpoint, fingerprint, at, servedAt }: RequestCrash): void {
    if (servedAt !== undefined) this.#anyServedAt = Math.max(this.#anyServedAt, servedAt);
    const known = this.#crashes.find(
      (crash) => crash.endpoint === endpoint && Math.abs(crash.at - at) < SAME_CRASH_MS,
    );
    if (known === undefined) {
      this.#crashes.push({ endpoint, at, fingerprints: new Set([fingerprint]) });
      this.#crashes = this.#crashes.slice(-MAXIMUM_CRASHES);
    } else if (known.fingerprints.size < MAXIMUM_REQUESTS) known.fingerprints.add(fingerprint);
  }

  /**
   * Records an answer. It shows that the request is sound, and that the endpoint hadn't crashed before.
   *
   * @param fingerprint - the request
   * @param endpoint - the start of the endpoint that answered
   * @param at - time of the answer in ms, monotonic
   * @returns whether it tells something of a crash
   */
  recordServed(fingerprint: string, endpoint: string, at: number): boolean {
    this.#anyServedAt = Math.max(this.#anyServedAt, at);
    const crashesBefore = this.#crashes.length;
    const suspicions = this.#crashesOf(fingerprint, this.#crashes).length;
    const servedAt = this.#servedAt.get(fingerprint) ?? at;
    if (suspicions > 0) this.#servedAt.set(fingerprint, Math.max(servedAt, at));
    this.#crashes = this.#crashes.filter(
      (crash) => crash.endpoint !== endpoint || at <= crash.at + REPORT_DELAY_MS,
    );
    return (
      this.#crashes.length < crashesBefore ||
      this.#crashesOf(fingerprint, this.#crashes).length < suspicions
    );
  }

  /**
   * Finds the requests that are responsible for crashes.
   *
   * @param now - present time in ms, monotonic
   * @param isKnown - whether a request is held responsible already, which explains the crashes it was in
   * @returns the requests that weren't known, the one with the most crashes first
   */
  findFatal(now: number, isKnown: (fingerprint: string) => boolean): FatalRequest[] {
    const unexplained = this.#crashes.filter(
      ({ at, fingerprints }) => now - at <= RETENTION_MS && ![...fingerprints].some(isKnown),
    );
    if (unexplained.length < MINIMUM_CRASHES) return [];
    const suspects = new Set(unexplained.flatMap(({ fingerprints }) => [...fingerprints]));
    return [...suspects]
      .map((fingerprint) => ({ fingerprint, own: this.#crashesOf(fingerprint, unexplained) }))
      .filter(({ own }) => this.#areTelling(own))
      .toSorted((a, b) => b.own.length - a.own.length)
      .map(({ fingerprint, own }) => ({ fingerprint, crashes: own.length }));
  }

  /** Forgets crashes that no longer count. */
  evict(now: number): void {
    this.#crashes = this.#crashes.filter(({ at }) => now - at <= RETENTION_MS);
    this.#servedAt.forEach((at, fingerprint) => {
      if (now - at > RETENTION_MS) this.#servedAt.delete(fingerprint);
    });
  }

  #areTelling(crashes: readonly Crash[]): boolean {
    const firstAt = Math.min(...crashes.map(({ at }) => at));
    return crashes.length >= MINIMUM_CRASHES && this.#anyServedAt > firstAt - SERVED_BEFORE_MS;
  }

  /** Returns the crashes at which a request was in flight and since which it wasn't answered. */
  #crashesOf(fingerprint: string, crashes: readonly Crash[]): Crash[] {
    const servedAt = this.#servedAt.get(fingerprint) ?? Number.NEGATIVE_INFINITY;
    return crashes.filter(({ at, fingerprints }) => at > servedAt && fingerprints.has(fingerprint));
  }
}
