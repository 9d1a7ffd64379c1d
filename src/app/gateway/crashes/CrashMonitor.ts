import type { Logger } from 'pino';
import {
  CrashAttribution,
  CrashQuarantine,
  RequestCrashAttribution,
  type QuarantineDecision,
} from '../../../coordination/gateway/index.ts';
import type {
  CrashReport,
  QuarantinedPart,
  ServedReport,
} from '../../../protocol/peer/GatewayMessages.ts';
import type { PeerMessage } from '../../../protocol/peer/PeerMessage.ts';
import type { BrokenRun } from './CrashDetector.ts';
import type { PeerGroup } from '../PeerGroup.ts';
import { SchedulerExchange } from '../placement/SchedulerExchange.ts';

/** Collaborators of a crash monitor. */
export interface CrashMonitorOptions {
  /** Returns the peer group, which is created later than the monitor. */
  readonly group: () => PeerGroup;
  readonly logger: Logger;
  /** Present time in ms, monotonic. */
  readonly now: () => number;
}

/** A report with the time of what it is about in ms, monotonic. */
type TimedCrashReport = Omit<CrashReport, 'ageMs' | 'servedAgeMs'> & {
  readonly at: number;
  readonly servedAt?: number;
};
type TimedServedReport = Omit<ServedReport, 'ageMs'> & { readonly at: number };

/** What is known of the endpoints of one service. */
interface ServiceCrashes {
  readonly parts: CrashAttribution;
  readonly requests: RequestCrashAttribution;
  /** When this process last got a whole answer, in ms, monotonic. */
  answeredAt: number | undefined;
  /** Versions of the software that its endpoints have had. */
  versions: ReadonlySet<string>;
}

const encodeCrashes = (reports: readonly TimedCrashReport[], now: number): PeerMessage => ({
  _tag: 'crashReports',
  reports: reports.map(({ at, servedAt, ...report }) => ({
    ...report,
    ageMs: now - at,
    ...(servedAt !== undefined && { servedAgeMs: now - servedAt }),
  })),
});

const decodeCrash = (
  { ageMs, servedAgeMs, ...report }: CrashReport,
  now: number,
): TimedCrashReport => ({
  ...report,
  at: now - ageMs,
  ...(servedAgeMs !== undefined && { servedAt: now - servedAgeMs }),
});

/**
 * Finds the prompt parts and the requests that crash endpoints, and keeps them from the endpoints. Each
 * gateway reports the crashes that its own runs met to the scheduler. The scheduler relays them to all, so
 * that its successor knows them, and decides what is quarantined. A gateway that schedules alone decides by
 * what it knows.
 */
export class CrashMonitor {
  readonly #options: CrashMonitorOptions;

  readonly #quarantine = new CrashQuarantine();

  readonly #services = new Map<string, ServiceCrashes>();

  readonly #exchange: SchedulerExchange<TimedCrashReport>;

  readonly #servedExchange: SchedulerExchange<TimedServedReport>;

  constructor(options: CrashMonitorOptions) {
    this.#options = options;
    const { group, now } = options;
    this.#exchange = new SchedulerExchange<TimedCrashReport>({
      group,
      now,
      encodeReports: encodeCrashes,
      encodeVerdicts: (at) => {
        const parts = this.#quarantine.list(at);
        return parts.length === 0 ? undefined : { _tag: 'quarantinedParts', parts };
      },
    });
    this.#servedExchange = new SchedulerExchange<TimedServedReport>({
      group,
      now,
      encodeReports: (reports, sentAt) => ({
        _tag: 'servedReports',
        reports: reports.map(({ at, ...report }) => ({ ...report, ageMs: sentAt - at })),
      }),
      encodeVerdicts: () => undefined,
    });
  }

  /** Numbers of prompt parts and of requests in quarantine. */
  get quarantined(): { readonly parts: number; readonly requests: number } {
    const { size, requestCount } = this.#quarantine;
    return { parts: size - requestCount, requests: requestCount };
  }

  /**
   * Tells what the scheduler must decide a request by, besides its prompt parts.
   *
   * @param service - the service that the request is for
   * @param fingerprint - returns the request's fingerprint
   * @returns the fingerprint if the request is in quarantine, be it between two periods; otherwise nothing
   */
  quarantinedFingerprint(service: string, fingerprint: () => string): readonly string[] {
    if (this.#quarantine.requestCount === 0) return [];
    return this.#quarantine.has(service, fingerprint()) ? [fingerprint()] : [];
  }

  /** Whether a request was in flight at a crash of an endpoint, and wasn't answered since. */
  isSuspect(service: string, fingerprint: () => string): boolean {
    const requests = this.#services.get(service)?.requests;
    return requests !== undefined && requests.isWatching && requests.isSuspect(fingerprint());
  }

  /**
   * Tells whether a request must not be sent.
   *
   * @param service - the service that the request is for
   * @param parts - ids of its shared prompt parts, and its fingerprint
   * @returns the one that is in quarantine and the time to the end of its period, or undefined
   */
  findQuarantine(
    service: string,
    parts: readonly string[],
  ): { readonly part: string; readonly retryAfterMs: number } | undefined {
    return this.#quarantine.find(service, parts, this.#options.now());
  }

  /**
   * Decides whether this process, as the scheduler, may place a request.
   *
   * @param service - the service that the request is for
   * @param parts - ids of its shared prompt parts
   * @param isFirst - whether the request wasn't placed before, so that it is counted
   * @returns the decision; a trial is admitted once
   */
  decideRequest(service: string, parts: readonly string[], isFirst: boolean): QuarantineDecision {
    const now = this.#options.now();
    if (isFirst) this.#serviceOf(service).parts.recordRequest(parts, now);
    const { isScheduler } = this.#exchange;
    const decision = this.#quarantine.decide(service, parts, isScheduler, now);
    if (decision._tag === 'trial') {
      this.#options.logger.info({ service, part: decision.part }, 'quarantined part on trial');
      this.#exchange.broadcast();
    }
    return decision;
  }

  /** Records that an engine completed an answer to a request with these parts. */
  recordServed(service: string, engine: string, parts: readonly string[]): void {
    const at = this.#options.now();
    this.#serviceOf(service).parts.recordServed({ engine, parts, at });
  }

  /**
   * Records that an endpoint gave a whole answer. Others hear of it only if it tells something of a crash.
   *
   * @param service - the service of the endpoint
   * @param endpoint - the start of the endpoint
   * @param fingerprint - returns the request's fingerprint
   */
  recordAnswer(service: string, endpoint: string, fingerprint: () => string): void {
    const at = this.#options.now();
    const known = this.#serviceOf(service);
    known.answeredAt = at;
    const { requests } = known;
    if (!requests.isWatching && this.#quarantine.requestCount === 0) return;
    const isTelling =
      requests.hasCrashed(endpoint) ||
      requests.isSuspect(fingerprint()) ||
      this.#quarantine.has(service, fingerprint());
    if (!isTelling) return;
    const report = { service, engine: endpoint, fingerprint: fingerprint(), at };
    this.#servedExchange.report([report]);
    this.#recordServed([report]);
  }

  /**
   * Follows the versions of the endpoints' software: what crashed the others may not crash a new one.
   *
   * @param service - the service
   * @param versions - the versions of its endpoints
   */
  followVersions(service: string, versions: ReadonlySet<string>): void {
    const known = this.#serviceOf(service);
    const isNew = known.versions.size > 0 && [...versions].some((one) => !known.versions.has(one));
    known.versions = new Set([...known.versions, ...versions]);
    if (!isNew || !this.#exchange.isScheduler) return;
    if (this.#quarantine.expire(service, this.#options.now())) this.#exchange.broadcast();
  }

  /**
   * Reports runs that ended with the crash of their endpoint.
   *
   * @param runs - the runs, all at the same start of an endpoint
   * @param at - time of the crash in ms, monotonic
   */
  recordCrash(runs: readonly BrokenRun[], at: number): void {
    const reports = runs.map(({ id, service, endpoint, parts, fingerprint }) => {
      const servedAt = this.#serviceOf(service).answeredAt;
      const report = { id, service, engine: endpoint, parts, fingerprint, at };
      return servedAt === undefined ? report : { ...report, servedAt };
    });
    this.#exchange.report(reports);
    this.#record(reports, this.#options.now());
  }

  /**
   * Processes the messages of this protocol; others are ignored.
   *
   * @param message - the decoded message
   */
  handle(message: PeerMessage): void {
    const now = this.#options.now();
    switch (message._tag) {
      case 'crashReports':
        this.#record(
          message.reports.map((report) => decodeCrash(report, now)),
          now,
        );
        return;
      case 'servedReports':
        this.#recordServed(
          message.reports.map(({ ageMs, ...report }) => ({ ...report, at: now - ageMs })),
        );
        return;
      case 'quarantinedParts':
        this.#logChanges(this.#quarantine.merge(message.parts, now));
        break;
      default:
    }
  }

  /** Sends the quarantined parts to a gateway that may not know them yet. */
  welcome(incarnation: string): void {
    this.#exchange.welcome(incarnation);
  }

  /** Follows a change of the scheduler, sends what is due, and decides. Call it periodically. */
  tick(): void {
    const now = this.#options.now();
    this.#exchange.tick();
    this.#servedExchange.tick();
    this.#releaseServed(now);
    this.#quarantine.evict(now);
    this.#services.forEach(({ requests }) => requests.evict(now));
  }

  /** Puts in quarantine what crashes endpoints, by what this process knows. */
  decideQuarantine(): void {
    const now = this.#options.now();
    this.#releaseServed(now);
    this.#services.forEach(({ parts, requests }, service) => {
      const isKnown = (part: string): boolean => this.#quarantine.has(service, part);
      parts.findCulprits(now, isKnown).forEach(({ part, crashes, score }) => {
        const rounded = Math.round(score * 10) / 10;
        this.#impose(service, part, { crashes, score: rounded });
      });
      requests
        .findFatal(now, isKnown)
        .forEach(({ fingerprint, crashes }) => this.#impose(service, fingerprint, { crashes }));
    });
  }

  #impose(service: string, part: string, evidence: object): void {
    const periodMs = this.#quarantine.impose(service, part, this.#options.now());
    this.#options.logger.warn({ service, part, ...evidence, periodMs }, 'quarantine imposed');
    this.#exchange.broadcast();
  }

  #record(reports: readonly TimedCrashReport[], now: number): void {
    const fresh = reports.filter(({ service, ...run }) =>
      this.#serviceOf(service).parts.recordCrashedRun(run, now),
    );
    fresh.forEach(({ service, engine, fingerprint, at, servedAt }) => {
      if (fingerprint === undefined) return;
      this.#serviceOf(service).requests.recordCrash({
        endpoint: engine,
        fingerprint,
        at,
        servedAt,
      });
    });
    if (fresh.length === 0 || !this.#exchange.isScheduler) return;
    this.#exchange.relay(fresh);
    fresh.forEach(({ service, parts, fingerprint }) =>
      this.#prolong(service, fingerprint === undefined ? parts : [...parts, fingerprint]),
    );
    this.decideQuarantine();
  }

  /** Another crash under a part or a request whose period is over is the outcome of its trial. */
  #prolong(service: string, parts: readonly string[]): void {
    parts
      .filter((part) => this.#quarantine.isOnTrial(service, part))
      .forEach((part) => this.#impose(service, part, { trial: true }));
  }

  #recordServed(reports: readonly TimedServedReport[]): void {
    const fresh = reports.filter(({ service, engine, fingerprint, at }) => {
      const changed = this.#serviceOf(service).requests.recordServed(fingerprint, engine, at);
      return this.#release(service, fingerprint, at) || changed;
    });
    if (fresh.length === 0 || !this.#exchange.isScheduler) return;
    this.#servedExchange.relay(fresh);
    this.#exchange.broadcast();
  }

  /** An answer to a request with a quarantined part shows that the part is sound. */
  #releaseServed(now: number): void {
    this.#services.forEach(({ parts }, service) =>
      parts.settleServed(now).forEach((part) => {
        if (this.#release(service, part, now)) this.#exchange.broadcast();
      }),
    );
  }

  #release(service: string, part: string, servedAt: number): boolean {
    const released = this.#quarantine.release(service, part, servedAt, this.#options.now());
    if (released) this.#options.logger.info({ service, part }, 'quarantine ended');
    return released;
  }

  #logChanges(parts: readonly QuarantinedPart[]): void {
    parts.forEach(({ service, part, strikes, remainingMs }) =>
      this.#options.logger.info(
        { service, part, strikes, remainingMs: Math.round(remainingMs) },
        'quarantine learned',
      ),
    );
  }

  #serviceOf(service: string): ServiceCrashes {
    const known = this.#services.get(service);
    if (known !== undefined) return known;
    const created: ServiceCrashes = {
      parts: new CrashAttribution(),
      requests: new RequestCrashAttribution(),
      answeredAt: undefined,
      versions: new Set(),
    };
    this.#services.set(service, created);
    return created;
  }
}
