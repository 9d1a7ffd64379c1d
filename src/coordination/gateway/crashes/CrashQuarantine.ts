import type { QuarantinedPart } from '../../../protocol/peer/GatewayMessages.ts';

/** What became of a request under the quarantine. */
export type QuarantineDecision =
  | { readonly _tag: 'admitted' }
  /** Admitted although one of its parts was held responsible, to see whether it still crashes engines. */
  | { readonly _tag: 'trial'; readonly part: string }
  | { readonly _tag: 'refused'; readonly part: string; readonly retryAfterMs: number };

interface Entry {
  readonly service: string;
  readonly part: string;
  /** Increases with each change; of two states of a part the higher one is the newer. */
  readonly revision: number;
  /** Crashes after which it was put in quarantine again; 0 after its release. */
  readonly strikes: number;
  /** End of the present period in ms, monotonic. */
  readonly until: number;
  /** Whether a request was admitted as a trial whose outcome isn't known. */
  readonly onTrial: boolean;
  /** When this process made or learned this state, in ms, monotonic. */
  readonly changedAt: number;
}

/** What is in quarantine: a part of prompts that requests share, or one request that comes again. */
export type QuarantineKind = 'part' | 'request';

/** Tells the fingerprint of a request from the id of a part. */
const REQUEST_PREFIX = 'request:';
/** First period after the evidence; each further one is longer by `PERIOD_GROWTH`. */
const FIRST_PERIOD_MS = 60_000;
const PERIOD_GROWTH = 4;
const LONGEST_PERIOD_MS = 3_600_000;
/** A request's quarantine begins with a short period, as a sound one may have met an outage by chance. */
const REQUEST_PROBATION_MS = 1_000;
/** Time for the outcome of a trial, after which another request may be the trial. */
const TRIAL_MS: Readonly<Record<QuarantineKind, number>> = { part: 30_000, request: 3_000 };
/** `Retry-After` of requests that only the scheduler may admit as a trial. */
const FOREIGN_TRIAL_RETRY_MS = 1_000;
/** A released part, and one that no request has, is forgotten after this time. */
const RETENTION_MS = 2 * LONGEST_PERIOD_MS;
const MAXIMUM_ENTRIES = 1_024;

const keyOf = (service: string, part: string): string => `${service}\n${part}`;

const kindOf = (part: string): QuarantineKind =>
  part.startsWith(REQUEST_PREFIX) ? 'request' : 'part';

const periodOf = (kind: QuarantineKind, strikes: number): number => {
  const probations = kind === 'request' ? 1 : 0;
  if (strikes <= probations) return REQUEST_PROBATION_MS;
  return Math.min(LONGEST_PERIOD_MS, FIRST_PERIOD_MS * PERIOD_GROWTH ** (strikes - probations - 1));
};

/**
 * The prompt parts and the requests that aren't sent to endpoints, because they crash them; a request goes
 * by its fingerprint in place of a part's id. After a period one request is admitted as a trial: an answer
 * ends the quarantine, another crash prolongs it. Gateways exchange their entries and keep the newest state
 * of each.
 */
export class CrashQuarantine {
  readonly #entries = new Map<string, Entry>();

  #requestCount = 0;

  /** Number of parts in quarantine. */
  get size(): number {
    return [...this.#entries.values()].filter(({ strikes }) => strikes > 0).length;
  }

  /** Number of requests among them. */
  get requestCount(): number {
    return this.#requestCount;
  }

  /** Whether a part is in quarantine, be it between two periods. */
  has(service: string, part: string): boolean {
    return (this.#entries.get(keyOf(service, part))?.strikes ?? 0) > 0;
  }

  /** Whether a trial was admitted and its outcome isn't known. */
  isOnTrial(service: string, part: string): boolean {
    return this.#entries.get(keyOf(service, part))?.onTrial ?? false;
  }

  /**
   * Puts a part in quarantine, or prolongs its quarantine.
   *
   * @param service - the service whose engines it crashes
   * @param part - id of the part
   * @param now - present time in ms, monotonic
   * @returns the length of the period in ms
   */
  impose(service: string, part: string, now: number): number {
    const before = this.#entries.get(keyOf(service, part));
    const strikes = (before?.strikes ?? 0) + 1;
    const periodMs = periodOf(kindOf(part), strikes);
    const revision = (before?.revision ?? 0) + 1;
    this.#set({
      service,
      part,
      revision,
      strikes,
      until: now + periodMs,
      onTrial: false,
      changedAt: now,
    });
    return periodMs;
  }

  /**
   * Ends the quarantine of a part, because a request with it was answered.
   *
   * @param service - the service
   * @param part - id of the part
   * @param servedAt - time of the answer in ms, monotonic
   * @param now - present time in ms, monotonic
   * @returns false if it wasn't in quarantine, or was put in quarantine after the answer
   */
  release(service: string, part: string, servedAt: number, now: number): boolean {
    const before = this.#entries.get(keyOf(service, part));
    if (before === undefined || before.strikes === 0 || servedAt < before.changedAt) return false;
    const revision = before.revision + 1;
    this.#set({ ...before, revision, strikes: 0, until: now, onTrial: false, changedAt: now });
    return true;
  }

  /**
   * Tells whether a request must not be sent, without admitting a trial.
   *
   * @param service - the service that the request is for
   * @param parts - ids of its shared parts
   * @param now - present time in ms, monotonic
   * @returns the part that is in quarantine and the time to the end of its period, or undefined
   */
  find(
    service: string,
    parts: readonly string[],
    now: number,
  ): { readonly part: string; readonly retryAfterMs: number } | undefined {
    const entry = this.#entriesOf(service, parts).find(({ until }) => until > now);
    return entry && { part: entry.part, retryAfterMs: entry.until - now };
  }

  /**
   * Decides on a request; for the gateway that schedules it. The first one after the period of its part
   * is the trial.
   *
   * @param service - the service that the request is for
   * @param parts - ids of its shared parts
   * @param mayTry - whether this process may admit a trial
   * @param now - present time in ms, monotonic
   * @returns the decision
   */
  decide(
    service: string,
    parts: readonly string[],
    mayTry: boolean,
    now: number,
  ): QuarantineDecision {
    const found = this.find(service, parts, now);
    if (found !== undefined) return { _tag: 'refused', ...found };
    const [due] = this.#entriesOf(service, parts);
    if (due === undefined) return { _tag: 'admitted' };
    const { part, revision } = due;
    if (!mayTry) return { _tag: 'refused', part, retryAfterMs: FOREIGN_TRIAL_RETRY_MS };
    const until = now + TRIAL_MS[kindOf(part)];
    this.#set({ ...due, revision: revision + 1, until, onTrial: true, changedAt: now });
    return { _tag: 'trial', part };
  }

  /**
   * Makes all that is in quarantine for a service due for a trial, as after a change of its software.
   *
   * @returns whether anything changed
   */
  expire(service: string, now: number): boolean {
    const running = [...this.#entries.values()].filter(
      (entry) => entry.service === service && entry.strikes > 0 && entry.until > now,
    );
    running.forEach((entry) =>
      this.#set({
        ...entry,
        revision: entry.revision + 1,
        until: now,
        onTrial: false,
        changedAt: now,
      }),
    );
    return running.length > 0;
  }

  /** Returns the state of all parts, for other gateways. */
  list(now: number): QuarantinedPart[] {
    return [...this.#entries.values()].map(({ until, changedAt: _, ...entry }) => ({
      ...entry,
      remainingMs: until - now,
    }));
  }

  /**
   * Takes over the states that are newer than the own ones.
   *
   * @param parts - entries of another gateway
   * @param now - present time in ms, monotonic
   * @returns those that were taken over
   */
  merge(parts: readonly QuarantinedPart[], now: number): QuarantinedPart[] {
    return parts.filter(({ remainingMs, ...entry }) => {
      const own = this.#entries.get(keyOf(entry.service, entry.part));
      if (own !== undefined && own.revision >= entry.revision) return false;
      this.#set({ ...entry, until: now + remainingMs, changedAt: now });
      return true;
    });
  }

  /** Forgets entries that haven't mattered for a long time. */
  evict(now: number): void {
    this.#entries.forEach(({ until }, key) => {
      if (now - until > RETENTION_MS) this.#entries.delete(key);
    });
    this.#countRequests();
  }

  #entriesOf(service: string, parts: readonly string[]): Entry[] {
    if (this.#entries.size === 0) return [];
    return parts
      .map((part) => this.#entries.get(keyOf(service, part)))
      .filter((entry) => entry !== undefined && entry.strikes > 0) as Entry[];
  }

  #set(entry: Entry): void {
    const key = keyOf(entry.service, entry.part);
    this.#entries.delete(key);
    this.#entries.set(key, entry);
    const [oldest] = this.#entries.keys();
    if (this.#entries.size > MAXIMUM_ENTRIES && oldest !== undefined) this.#entries.delete(oldest);
    this.#countRequests();
  }

  /** Counts once for each change, as every request asks for the number. */
  #countRequests(): void {
    this.#requestCount = [...this.#entries.values()].filter(
      ({ part, strikes }) => strikes > 0 && kindOf(part) === 'request',
    ).length;
  }
}
