import type { Logger } from 'pino';
import {
  CrashAttribution,
  PartQuarantine,
  type QuarantineDecision,
} from '../../coordination/gateway/index.ts';
import type { CrashReport, QuarantinedPart } from '../../protocol/peer/GatewayMessages.ts';
import type { PeerMessage } from '../../protocol/peer/PeerMessage.ts';
import type { BrokenRun } from './CrashDetector.ts';
import type { PeerGroup } from './PeerGroup.ts';
import { SchedulerExchange } from './SchedulerExchange.ts';

/** Collaborators of a crash monitor. */
export interface CrashMonitorOptions {
  /** Returns the peer group, which is created later than the monitor. */
  readonly group: () => PeerGroup;
  readonly logger: Logger;
  /** Present time in ms, monotonic. */
  readonly now: () => number;
}

/** A crash report with the time of the crash in ms, monotonic. */
type TimedCrashReport = Omit<CrashReport, 'ageMs'> & { readonly at: number };

/**
 * Finds the prompt parts that crash engines, and keeps their requests from the engines. Each gateway
 * reports the crashes that its own runs met to the scheduler. The scheduler relays them to all, so that
 * its successor knows them, and decides which parts are quarantined. A gateway that schedules alone
 * decides by what it knows.
 */
export class CrashMonitor {
  readonly #options: CrashMonitorOptions;

  readonly #quarantine = new PartQuarantine();

  readonly #attributions = new Map<string, CrashAttribution>();

  readonly #exchange: SchedulerExchange<TimedCrashReport>;

  constructor(options: CrashMonitorOptions) {
    this.#options = options;
    this.#exchange = new SchedulerExchange({
      group: options.group,
      now: options.now,
      encodeReports: (reports, now) => ({
        _tag: 'crashReports',
        reports: reports.map(({ at, ...report }) => ({ ...report, ageMs: now - at })),
      }),
      encodeVerdicts: (now) => {
        const parts = this.#quarantine.list(now);
        return parts.length === 0 ? undefined : { _tag: 'quarantinedParts', parts };
      },
    });
  }

  /** Number of parts in quarantine. */
  get quarantinedCount(): number {
    return this.#quarantine.size;
  }

  /**
   * Tells whether a request must not be sent.
   *
   * @param service - the service that the request is for
   * @param parts - ids of its shared prompt parts
   * @returns the part that is in quarantine and the time to the end of its period, or undefined
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
    if (isFirst) this.#attributionOf(service).recordRequest(parts, now);
    const decision = this.#quarantine.decide(service, parts, now);
    if (decision._tag === 'trial') {
      this.#options.logger.info({ service, part: decision.part }, 'quarantined part on trial');
      this.#exchange.broadcast();
    }
    return decision;
  }

  /** Records that an engine completed an answer to a request with these parts. */
  recordServed(service: string, engine: string, parts: readonly string[]): void {
    const at = this.#options.now();
    this.#attributionOf(service).recordServed({ engine, parts, at });
  }

  /**
   * Reports runs that ended with the crash of their endpoint. Only those of engines are judged.
   *
   * @param runs - the runs, all at the same start of an endpoint
   * @param at - time of the crash in ms, monotonic
   */
  recordCrash(runs: readonly BrokenRun[], at: number): void {
    const reports = runs
      .filter(({ parts }) => parts.length > 0)
      .map(({ id, service, endpoint, parts }) => ({ id, service, engine: endpoint, parts, at }));
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
          message.reports.map(({ ageMs, ...report }) => ({ ...report, at: now - ageMs })),
          now,
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
    this.#releaseServed(now);
    this.#quarantine.evict(now);
  }

  /** Puts the parts in quarantine that crash engines, by what this process knows. */
  decideQuarantine(): void {
    const now = this.#options.now();
    this.#releaseServed(now);
    this.#attributions.forEach((attribution, service) => {
      attribution
        .findCulprits(now, (part) => this.#quarantine.has(service, part))
        .forEach(({ part, crashes, score }) => {
          const periodMs = this.#quarantine.impose(service, part, now);
          const rounded = Math.round(score * 10) / 10;
          this.#options.logger.warn(
            { service, part, crashes, score: rounded, periodMs },
            'prompt part quarantined',
          );
          this.#exchange.broadcast();
        });
    });
  }

  #record(reports: readonly TimedCrashReport[], now: number): void {
    const fresh = reports.filter(({ service, ...run }) =>
      this.#attributionOf(service).recordCrashedRun(run, now),
    );
    if (fresh.length === 0 || !this.#exchange.isScheduler) return;
    this.#exchange.relay(fresh);
    fresh.forEach(({ service, parts }) => this.#prolong(service, parts, now));
    this.decideQuarantine();
  }

  /** Another crash under a part whose period is over is the outcome of its trial. */
  #prolong(service: string, parts: readonly string[], now: number): void {
    parts
      .filter((part) => this.#quarantine.isOnTrial(service, part))
      .forEach((part) => {
        const periodMs = this.#quarantine.impose(service, part, now);
        this.#options.logger.warn({ service, part, periodMs }, 'prompt part quarantined again');
        this.#exchange.broadcast();
      });
  }

  /** An answer to a request with a quarantined part shows that the part is sound. */
  #releaseServed(now: number): void {
    this.#attributions.forEach((attribution, service) => {
      attribution.settleServed(now).forEach((part) => {
        if (!this.#quarantine.release(service, part, now)) return;
        this.#options.logger.info({ service, part }, 'prompt part released');
        this.#exchange.broadcast();
      });
    });
  }

  #logChanges(parts: readonly QuarantinedPart[]): void {
    parts.forEach(({ service, part, strikes, remainingMs }) =>
      this.#options.logger.info(
        { service, part, strikes, remainingMs: Math.round(remainingMs) },
        'quarantine learned',
      ),
    );
  }

  #attributionOf(service: string): CrashAttribution {
    const attribution = this.#attributions.get(service) ?? new CrashAttribution();
    this.#attributions.set(service, attribution);
    return attribution;
  }
}
