/** A run at an engine that ended with the engine's crash as the answer was about to begin. */
export interface CrashedRun {
  /** Unique for each attempt, so that reports that arrive several times count once. */
  readonly id: string;
  /** One start of an engine. */
  readonly engine: string;
  /** Ids of the prompt parts that other requests may share, in order. */
  readonly parts: readonly string[];
  /** Time of the crash in ms, monotonic. */
  readonly at: number;
}

/** A part that explains crashes which are unlikely to be a coincidence. */
export interface CrashCulprit {
  readonly part: string;
  readonly crashes: number;
  /** Negative logarithm of the probability that the part was there each time by chance. */
  readonly score: number;
}

interface Crash {
  readonly engine: string;
  readonly at: number;
  /** Parts of the runs that it ended, by the run's id. */
  readonly runs: Map<string, readonly string[]>;
}

interface ServedRun {
  readonly engine: string;
  readonly parts: readonly string[];
  readonly at: number;
}

interface DecayingCount {
  readonly value: number;
  readonly at: number;
}

/** Crashes that a part must explain before it is held responsible. */
const MINIMUM_CRASHES = 4;
/** About one part in 400 reaches it by chance; all parts of a prompt together still rarely do. */
const MINIMUM_SCORE = 6;
/** Time of observation after which a part that no served request had counts as new. */
const MINIMUM_OBSERVATION_MS = 10_000;
/** Where nothing was served for this time before the first crash, the engines may be at fault. */
const SERVED_BEFORE_MS = 5_000;
/** A widespread outage takes many engines at once, so crashes at one time count as one episode. */
const MINIMUM_EPISODES = 3;
const EPISODE_GAP_MS = 1_000;
/** Older crashes no longer count. */
const RETENTION_MS = 120_000;
const MAXIMUM_CRASHES = 256;
/** Runs of one crash that are kept. */
const MAXIMUM_RUNS = 32;
const MAXIMUM_PARTS = 8_192;
/** Reports of one engine within this time are about the same crash. */
const SAME_CRASH_MS = 2_000;
/** An answer counts as sound once its engine has outlived it by this time. */
const SETTLE_MS = 800;
/** Differences between the times at which gateways notice and report what an engine did. */
const REPORT_DELAY_MS = 300;
const HALF_LIFE_MS = 30_000;

const decayed = ({ value, at }: DecayingCount, now: number): number =>
  value * 0.5 ** ((now - at) / HALF_LIFE_MS);

/** Sets a key as the newest one, and evicts the oldest key of a map that is too large. */
const setNewest = <V>(map: Map<string, V>, key: string, value: V): void => {
  map.delete(key);
  map.set(key, value);
  const [oldest] = map.keys();
  if (map.size > MAXIMUM_PARTS && oldest !== undefined) map.delete(oldest);
};

const countEpisodes = (times: readonly number[]): number =>
  times
    .toSorted((a, b) => a - b)
    .filter((at, index, sorted) => index === 0 || at - (sorted[index - 1] ?? at) > EPISODE_GAP_MS)
    .length;

/**
 * Finds the prompt parts that crash the engines of one service. A part is held responsible if several
 * crashes each ended a run with it, no answer to such a request was served since, other requests are
 * served, and its presence is no coincidence: no request with it was ever served, or it is rare among all
 * requests, or the crashes are spread over time. Of several such parts the one with the most crashes
 * explains them, and the others are judged by the remaining crashes.
 */
export class CrashAttribution {
  #crashes: Crash[] = [];

  #served: ServedRun[] = [];

  readonly #seenRuns = new Set<string>();

  /** Time of the last sound answer by part. */
  readonly #servedAt = new Map<string, number>();

  /** Time of the first answer. */
  #observedSince = Number.POSITIVE_INFINITY;

  /** Time of the last sound answer to any request. */
  #anyServedAt = Number.NEGATIVE_INFINITY;

  /** Requests by part. */
  readonly #requests = new Map<string, DecayingCount>();

  #allRequests: DecayingCount = { value: 0, at: 0 };

  /**
   * Counts a request, for the frequency of its parts.
   *
   * @param parts - ids of its shared parts
   * @param now - present time in ms, monotonic
   */
  recordRequest(parts: readonly string[], now: number): void {
    this.#allRequests = { value: decayed(this.#allRequests, now) + 1, at: now };
    new Set(parts).forEach((part) => {
      const before = this.#requests.get(part) ?? { value: 0, at: now };
      setNewest(this.#requests, part, { value: decayed(before, now) + 1, at: now });
    });
  }

  /**
   * Records that an engine completed an answer. A crash of this engine that was reported before can't
   * have taken place.
   *
   * @param run - parts of the request, and the start of the engine
   */
  recordServed(run: ServedRun): void {
    this.#served.push(run);
    this.#observedSince = Math.min(this.#observedSince, run.at);
    this.#crashes = this.#crashes.filter(
      ({ engine, at }) => engine !== run.engine || run.at <= at + REPORT_DELAY_MS,
    );
  }

  /**
   * Records a run that ended with its engine's crash.
   *
   * @param run - the run
   * @param now - present time in ms, monotonic
   * @returns false if the run was recorded before or is too old to count
   */
  recordCrashedRun(run: CrashedRun, now: number): boolean {
    this.#evict(now);
    if (this.#seenRuns.has(run.id) || now - run.at > RETENTION_MS) return false;
    this.#seenRuns.add(run.id);
    const known = this.#crashes.find(
      ({ engine, at }) => engine === run.engine && Math.abs(at - run.at) < SAME_CRASH_MS,
    );
    if (known === undefined) {
      this.#crashes.push({ engine: run.engine, at: run.at, runs: new Map([[run.id, run.parts]]) });
      return true;
    }
    if (known.runs.size < MAXIMUM_RUNS) known.runs.set(run.id, run.parts);
    return true;
  }

  /**
   * Counts the answers that have become sound since the last call.
   *
   * @param now - present time in ms, monotonic
   * @returns the parts of these requests
   */
  settleServed(now: number): ReadonlySet<string> {
    const due = this.#served.filter(({ at }) => now - at >= SETTLE_MS);
    this.#served = this.#served.filter(({ at }) => now - at < SETTLE_MS);
    const sound = due.filter(({ engine, at }) => !this.#hasCrashed(engine, at));
    const parts = new Set<string>();
    sound.forEach((run) => {
      this.#anyServedAt = Math.max(this.#anyServedAt, run.at);
      run.parts.forEach((part) => {
        parts.add(part);
        setNewest(this.#servedAt, part, run.at);
      });
    });
    return parts;
  }

  /**
   * Finds the parts that are responsible for crashes.
   *
   * @param now - present time in ms, monotonic
   * @param isKnown - whether a part is held responsible already, which explains the crashes it was in
   * @returns the parts that weren't known, the one with the most crashes first
   */
  findCulprits(now: number, isKnown: (part: string) => boolean): CrashCulprit[] {
    this.#evict(now);
    const found = new Map<string, CrashCulprit>();
    const isExplained = (crash: Crash): boolean =>
      [...crash.runs.values()].some((parts) =>
        parts.some((part) => found.has(part) || isKnown(part)),
      );
    for (;;) {
      const culprit = this.#findMostSuspect(
        this.#crashes.filter((crash) => !isExplained(crash)),
        now,
      );
      if (culprit === undefined) return [...found.values()];
      found.set(culprit.part, culprit);
    }
  }

  #findMostSuspect(crashes: readonly Crash[], now: number): CrashCulprit | undefined {
    const crashesByPart = new Map<string, Crash[]>();
    crashes.forEach((crash) =>
      // A set keeps the order of the parts in the prompts.
      new Set([...crash.runs.values()].flat()).forEach((part) => {
        if (crash.at <= (this.#servedAt.get(part) ?? Number.NEGATIVE_INFINITY)) return;
        crashesByPart.set(part, [...(crashesByPart.get(part) ?? []), crash]);
      }),
    );
    return [...crashesByPart]
      .filter(([, own]) => this.#areTelling(own))
      .map(([part, own]) => ({ part, own, score: this.#scoreOf(part, own, now) }))
      .filter(
        ({ part, own, score }) =>
          this.#isNew(part, now) ||
          score >= MINIMUM_SCORE ||
          countEpisodes(own.map(({ at }) => at)) >= MINIMUM_EPISODES,
      )
      .toSorted((a, b) => b.own.length - a.own.length || b.score - a.score)
      .map(({ part, own, score }) => ({ part, crashes: own.length, score }))[0];
  }

  #areTelling(crashes: readonly Crash[]): boolean {
    const firstAt = Math.min(...crashes.map(({ at }) => at));
    return crashes.length >= MINIMUM_CRASHES && this.#anyServedAt > firstAt - SERVED_BEFORE_MS;
  }

  #isNew(part: string, now: number): boolean {
    return !this.#servedAt.has(part) && now - this.#observedSince >= MINIMUM_OBSERVATION_MS;
  }

  #scoreOf(part: string, crashes: readonly Crash[], now: number): number {
    const all = Math.max(1, decayed(this.#allRequests, now));
    const count = this.#requests.get(part);
    const share = Math.min(1, Math.max(1, count === undefined ? 1 : decayed(count, now)) / all);
    return crashes.reduce(
      (score, { runs }) => score - Math.log(1 - (1 - share) ** Math.max(1, runs.size)),
      0,
    );
  }

  #hasCrashed(engine: string, servedAt: number): boolean {
    return this.#crashes.some(
      (crash) =>
        crash.engine === engine &&
        crash.at > servedAt - REPORT_DELAY_MS &&
        crash.at < servedAt + SETTLE_MS,
    );
  }

  #evict(now: number): void {
    this.#crashes = this.#crashes
      .filter(({ at }) => now - at <= RETENTION_MS)
      .slice(-MAXIMUM_CRASHES);
    if (this.#crashes.length === 0) this.#seenRuns.clear();
  }
}
