import type { PeerMessage } from '../../../protocol/peer/PeerMessage.ts';
import type { PeerGroup } from '../PeerGroup.ts';

/** Encoding and collaborators of an exchange. */
export interface SchedulerExchangeOptions<Report> {
  /** Returns the peer group, which is created later than the exchange. */
  readonly group: () => PeerGroup;
  /** Present time in ms, monotonic. */
  readonly now: () => number;
  /** Makes the message that carries reports. */
  readonly encodeReports: (reports: readonly Report[], now: number) => PeerMessage;
  /** Makes the message that carries all verdicts; undefined if there are none. */
  readonly encodeVerdicts: (now: number) => PeerMessage | undefined;
}

/** Reports are sent again, in case that a link or the scheduler failed. */
const RESEND_INTERVAL_MS = 1_000;
const RESEND_PERIOD_MS = 5_000;
/** Time for which own reports are kept for the next scheduler. */
const OWN_REPORT_RETENTION_MS = 60_000;
const MAXIMUM_OWN_REPORTS = 256;
/** Interval at which the scheduler sends its verdicts to some of the members in turn. */
const REFRESH_INTERVAL_MS = 1_000;
/** Members of one turn, so that the traffic doesn't grow with the group. */
const REFRESH_MEMBERS = 64;
const MAXIMUM_REPORTS_PER_MESSAGE = 64;

/**
 * Carries what gateways observe to the scheduler, and what the scheduler makes of it to all gateways.
 * A successor of the scheduler gets the reports of the last minute from each gateway.
 */
export class SchedulerExchange<Report extends { readonly at: number }> {
  readonly #options: SchedulerExchangeOptions<Report>;

  #ownReports: Report[] = [];

  #toRelay: Report[] = [];

  #scheduler = '';

  #resentAt = Number.NEGATIVE_INFINITY;

  #refreshedAt = Number.NEGATIVE_INFINITY;

  /** Index of the member that the next refresh begins with. */
  #nextMember = 0;

  constructor(options: SchedulerExchangeOptions<Report>) {
    this.#options = options;
  }

  /** Whether this process is the scheduler. */
  get isScheduler(): boolean {
    const group = this.#options.group();
    return group.leader() === group.incarnation;
  }

  /** Reports what this process observed to the scheduler, now and again for some seconds. */
  report(reports: readonly Report[]): void {
    this.#ownReports.push(...reports);
    this.#sendToScheduler(reports, this.#options.now());
  }

  /** As the scheduler, sends reports to all others at the next tick, so that a successor knows them. */
  relay(reports: readonly Report[]): void {
    this.#toRelay.push(...reports);
  }

  /** Sends the verdicts to all others. */
  broadcast(): void {
    const message = this.#options.encodeVerdicts(this.#options.now());
    if (message !== undefined) this.#options.group().broadcast(message);
  }

  /** Sends the verdicts to a gateway that may not know them yet. */
  welcome(incarnation: string): void {
    const message = this.#options.encodeVerdicts(this.#options.now());
    if (message !== undefined) this.#options.group().send(incarnation, message);
  }

  /** Follows a change of the scheduler and sends what is due. Call it periodically. */
  tick(): void {
    const now = this.#options.now();
    const scheduler = this.#options.group().leader();
    if (scheduler !== this.#scheduler) {
      this.#scheduler = scheduler;
      this.#sendToScheduler(this.#ownReports, now);
      if (!this.isScheduler) this.welcome(scheduler);
    }
    if (this.isScheduler) this.#tickScheduler(now);
    else this.#resend(now);
  }

  #tickScheduler(now: number): void {
    const group = this.#options.group();
    if (this.#toRelay.length > 0) {
      const reports = this.#toRelay.splice(0, MAXIMUM_REPORTS_PER_MESSAGE);
      group.broadcast(this.#options.encodeReports(reports, now));
    }
    if (now - this.#refreshedAt < REFRESH_INTERVAL_MS) return;
    this.#refreshedAt = now;
    if (this.#options.encodeVerdicts(now) === undefined) return;
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
    this.#sendToScheduler(
      this.#ownReports.filter(({ at }) => now - at <= RESEND_PERIOD_MS),
      now,
    );
  }

  #sendToScheduler(reports: readonly Report[], now: number): void {
    if (reports.length === 0 || this.isScheduler) return;
    const group = this.#options.group();
    const scheduler = group.leader();
    for (let start = 0; start < reports.length; start += MAXIMUM_REPORTS_PER_MESSAGE) {
      const batch = reports.slice(start, start + MAXIMUM_REPORTS_PER_MESSAGE);
      group.send(scheduler, this.#options.encodeReports(batch, now));
    }
  }
}
