import type { Logger } from 'pino';
import {
  CrashAttribution,
  PartQuarantine,
  type QuarantineDecision,
} from '../../coordination/gateway/index.ts';
import type { CrashReport, QuarantinedPart } from '../../protocol/peer/GatewayMessages.ts';
import type { PeerMessage } from '../../protocol/peer/PeerMessage.ts';
import type { GatewayMetrics } from './GatewayMetrics.ts';
import type { PeerGroup } from './PeerGroup.ts';

/** A run whose connection broke before or shortly after the answer began. */
export interface BrokenRun {
  /** Id of the placement ticket. */
  readonly id: string;
  readonly service: string;
  /** One start of an engine. */
  readonly engine: string;
  /** `IP:PORT` of the engine. */
  readonly address: string;
  /** Ids of the shared parts of its prompt. */
  readonly parts: readonly string[];
}

/** Collaborators of an engine crash monitor. */
export interface EngineCrashMonitorOptions {
  /** Returns the peer group, which is created later than the monitor. */
  readonly group: () => PeerGroup;
  /** Calls back with whether an engine accepts a connection at `IP:PORT`. */
  readonly checkEngine: (address: string, onChecked: (accepts: boolean) => void) => void;
  readonly metrics: GatewayMetrics;
  readonly logger: Logger;
  /** Present time in ms, monotonic. */
  readonly now: () => number;
}

/** A crashing engine may close its connections a little earlier than its port. */
const CHECK_DELAY_MS = 30;
/** Reports are sent again, in case that a link or the scheduler failed. */
const RESEND_INTERVAL_MS = 1_000;
const RESEND_PERIOD_MS = 5_000;
/** Time for which own reports are kept for the next scheduler. */
const OWN_REPORT_RETENTION_MS = 60_000;
const MAXIMUM_OWN_REPORTS = 256;
/** Interval at which the scheduler sends the quarantined parts to some of the members in turn. */
const REFRESH_INTERVAL_MS = 1_000;
/** Members of one turn, so that the traffic doesn't grow with the group. */
const REFRESH_MEMBERS = 64;
const MAXIMUM_REPORTS_PER_MESSAGE = 64;

interface OwnReport extends Omit<CrashReport, 'ageMs'> {
  readonly at: number;
}

/**
 * Finds the prompt parts that crash engines, and keeps their requests from the engines. Each gateway
 * reports the crashes that its own runs met to the scheduler. The scheduler relays them to all, so that
 * its successor knows them, and decides which parts are quarantined. A gateway that schedules alone
 * decides by what it knows.
 */
export class EngineCrashMonitor {
  readonly #options: EngineCrashMonitorOptions;

  readonly #quarantine = new PartQuarantine();

  readonly #attributions = new Map<string, CrashAttribution>();

  /** Broken runs of engines that are being checked, by the engine. */
  readonly #unchecked = new Map<string, BrokenRun[]>();

  #ownReports: OwnReport[] = [];

  #toRelay: CrashReport[] = [];

  #leader = '';

  #resentAt = Number.NEGATIVE_INFINITY;

  #refreshedAt = Number.NEGATIVE_INFINITY;

  /** Index of the member that the next refresh begins with. */
  #nextMember = 0;

  constructor(options: EngineCrashMonitorOptions) {
    this.#options = options;
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
      this.#broadcastQuarantine(now);
    }
    return decision;
  }

  /** Records that an engine completed an answer to a request with these parts. */
  recordServed(service: string, engine: string, parts: readonly string[]): void {
    const at = this.#options.now();
    this.#attributionOf(service).recordServed({ engine, parts, at });
  }

  /** Checks whether the engine of a broken run has crashed, and reports that. */
  observeBrokenRun(run: BrokenRun): void {
    const waiting = this.#unchecked.get(run.engine);
    if (waiting !== undefined) {
      waiting.push(run);
      return;
    }
    const runs = [run];
    const at = this.#options.now();
    this.#unchecked.set(run.engine, runs);
    setTimeout(() => {
      this.#options.checkEngine(run.address, (accepts) => {
        this.#unchecked.delete(run.engine);
        if (!accepts) this.#reportCrash(runs, at);
      });
    }, CHECK_DELAY_MS);
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
        this.#record(message.reports, now);
        return;
      case 'quarantinedParts':
        this.#logChanges(this.#quarantine.merge(message.parts, now));
        break;
      default:
    }
  }

  /** Sends the quarantined parts to a gateway that may not know them yet. */
  welcome(incarnation: string): void {
    const parts = this.#quarantine.list(this.#options.now());
    if (parts.length > 0)
      this.#options.group().send(incarnation, { _tag: 'quarantinedParts', parts });
  }

  /** Follows a change of the scheduler, sends what is due, and decides. Call it periodically. */
  tick(): void {
    const now = this.#options.now();
    const group = this.#options.group();
    const leader = group.leader();
    if (leader !== this.#leader) {
      this.#leader = leader;
      this.#sendToLeader(this.#ownReports, now);
      this.welcome(leader);
    }
    if (leader === group.incarnation) this.#tickLeader(now);
    else this.#resend(now);
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
          this.#broadcastQuarantine(now);
        });
    });
  }

  #tickLeader(now: number): void {
    if (this.#toRelay.length > 0) {
      const reports = this.#toRelay.splice(0, MAXIMUM_REPORTS_PER_MESSAGE);
      this.#options.group().broadcast({ _tag: 'crashReports', reports });
    }
    if (now - this.#refreshedAt < REFRESH_INTERVAL_MS) return;
    this.#refreshedAt = now;
    if (this.#quarantine.size === 0) return;
    const group = this.#options.group();
    const members = group.liveMembers();
    const count = Math.min(REFRESH_MEMBERS, members.length);
    for (let turn = 0; turn < count; turn += 1) {
      const member = members[(this.#nextMember + turn) % members.length];
      if (member !== undefined && member.incarnation !== group.incarnation)
        this.welcome(member.incarnation);
    }
    this.#nextMember += count;
  }

  #resend(now: number): void {
    if (now - this.#resentAt < RESEND_INTERVAL_MS) return;
    this.#resentAt = now;
    this.#ownReports = this.#ownReports
      .filter(({ at }) => now - at <= OWN_REPORT_RETENTION_MS)
      .slice(-MAXIMUM_OWN_REPORTS);
    const recent = this.#ownReports.filter(({ at }) => now - at <= RESEND_PERIOD_MS);
    this.#sendToLeader(recent, now);
  }

  #reportCrash(runs: readonly BrokenRun[], at: number): void {
    const now = this.#options.now();
    const [first] = runs;
    if (first === undefined) return;
    const { service, engine, address } = first;
    this.#options.metrics.countEngineCrash(service);
    this.#options.logger.warn(
      { service, engine, address, runs: runs.map(({ id, parts }) => ({ id, parts })) },
      'engine crashed',
    );
    const reports = runs.map(({ id, parts }) => ({ id, service, engine, parts, at }));
    this.#ownReports.push(...reports);
    this.#sendToLeader(reports, now);
    this.#record(
      reports.map(({ at: crashedAt, ...report }) => ({ ...report, ageMs: now - crashedAt })),
      now,
    );
  }

  #record(reports: readonly CrashReport[], now: number): void {
    const fresh = reports.filter(({ service, ageMs, ...run }) =>
      this.#attributionOf(service).recordCrashedRun({ ...run, at: now - ageMs }, now),
    );
    const group = this.#options.group();
    if (fresh.length === 0 || group.leader() !== group.incarnation) return;
    this.#toRelay.push(...fresh);
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
        this.#broadcastQuarantine(now);
      });
  }

  /** An answer to a request with a quarantined part shows that the part is sound. */
  #releaseServed(now: number): void {
    this.#attributions.forEach((attribution, service) => {
      attribution.settleServed(now).forEach((part) => {
        if (!this.#quarantine.release(service, part, now)) return;
        this.#options.logger.info({ service, part }, 'prompt part released');
        this.#broadcastQuarantine(now);
      });
    });
  }

  #sendToLeader(reports: readonly OwnReport[], now: number): void {
    const group = this.#options.group();
    const leader = group.leader();
    if (reports.length === 0 || leader === group.incarnation) return;
    const message: PeerMessage = {
      _tag: 'crashReports',
      reports: reports
        .slice(-MAXIMUM_REPORTS_PER_MESSAGE)
        .map(({ at, ...report }) => ({ ...report, ageMs: now - at })),
    };
    group.send(leader, message);
  }

  #broadcastQuarantine(now: number): void {
    this.#options
      .group()
      .broadcast({ _tag: 'quarantinedParts', parts: this.#quarantine.list(now) });
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
