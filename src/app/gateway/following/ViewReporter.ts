import type { StoreContact, ViewFreshness, ViewKind } from '../../../coordination/gateway/index.ts';
import type { PeerMessage } from '../../../protocol/peer/PeerMessage.ts';
import type { PeerGroup } from '../PeerGroup.ts';
import { reportContact } from './reportContact.ts';
import type { StoreWatch } from './StoreWatch.ts';

/** What is reported, and to whom. */
export interface ViewReporterOptions {
  readonly group: Pick<
    PeerGroup,
    'incarnation' | 'sameDomainPeers' | 'liveMembers' | 'otherStoreCallers' | 'send' | 'broadcast'
  >;
  readonly watches: Readonly<Record<ViewKind, StoreWatch>>;
  readonly freshness: ViewFreshness;
  readonly contact: StoreContact;
}

/** Longest time between reports to the members of the failure domain. */
const DOMAIN_INTERVAL_MS = 400;
/** Shortest time between reports that the store has confirmed the view again. */
const CONFIRMATION_INTERVAL_MS = 100;
/** Interval of reports to members of other failure domains, which also get one soon after a change. */
const BROADCAST_INTERVAL_MS = 1_600;
/** Most members of other failure domains that get such a report in turn. */
const BROADCAST_MEMBERS = 16;

/** Reports to peers what this process knows of the store, and since when. */
export class ViewReporter {
  readonly #options: ViewReporterOptions;

  #broadcastSentAt = Number.NEGATIVE_INFINITY;

  #sentAt = Number.NEGATIVE_INFINITY;

  /** Whether a change that was relayed is to be reported. */
  #isChangeDue = false;

  /** Index of the member of another failure domain that gets the next report in turn. */
  #nextOther = 0;

  /** When the store had confirmed the view as the last report said, in ms. */
  #reportedConfirmationAt = Number.NEGATIVE_INFINITY;

  constructor(options: ViewReporterOptions) {
    this.#options = options;
  }

  /**
   * Sends a report if one is due: to the failure domain at the short interval and after each confirmation, to some
   * members of others at the long interval. Call it periodically.
   *
   * @param now - present time in ms, monotonic
   */
  sendWhenDue(now: number): void {
    const hasNews = this.#options.freshness.oldest.at > this.#reportedConfirmationAt;
    const intervalMs = hasNews ? CONFIRMATION_INTERVAL_MS : DOMAIN_INTERVAL_MS;
    if (now - this.#sentAt < intervalMs) return;
    this.#sendToDomain(now);
    if (now - this.#broadcastSentAt >= BROADCAST_INTERVAL_MS) this.#sendToOthers(now);
  }

  /** Has a change that was relayed reported at the next tick, so that many at once are one report. */
  reportChange(): void {
    this.#isChangeDue = true;
  }

  /**
   * Sends the report of relayed changes, if there were any. Call it periodically.
   *
   * @param now - present time in ms, monotonic
   */
  sendChange(now: number): void {
    if (!this.#isChangeDue) return;
    this.#isChangeDue = false;
    this.#sendToDomain(now);
    this.#sendToOthers(now);
  }

  /**
   * Tells the failure domain that a call of this process has confirmed the view, though another member watches the store
   * for it: that one, and others, may be refused by the store.
   *
   * @param now - present time in ms, monotonic
   */
  sendCallResult(now: number): void {
    const { at, path } = this.#options.freshness.oldest;
    if (path !== 'call' || at <= this.#reportedConfirmationAt) return;
    if (now - this.#sentAt >= CONFIRMATION_INTERVAL_MS) this.#sendToDomain(now);
  }

  /**
   * Sends a report to one member that asked for it.
   *
   * @param to - its incarnation
   * @param now - present time in ms, monotonic
   */
  sendTo(to: string, now: number): void {
    this.#options.group.send(to, this.#makeReport(now));
  }

  /**
   * Sends a report to all members at once.
   *
   * @param now - present time in ms, monotonic
   */
  sendToAll(now: number): void {
    this.#broadcastSentAt = now;
    this.#recordSending(now);
    this.#options.group.broadcast(this.#makeReport(now));
  }

  #sendToDomain(now: number): void {
    const { group } = this.#options;
    const report = this.#makeReport(now);
    this.#recordSending(now);
    group.sameDomainPeers().forEach(({ incarnation }) => group.send(incarnation, report));
  }

  /** Reports to the members that watch the store for other failure domains, and to some others in turn. */
  #sendToOthers(now: number): void {
    const { group } = this.#options;
    this.#broadcastSentAt = now;
    const report = this.#makeReport(now);
    const domain = new Set([
      group.incarnation,
      ...group.sameDomainPeers().map(({ incarnation }) => incarnation),
    ]);
    const others = group
      .liveMembers()
      .map(({ incarnation }) => incarnation)
      .filter((incarnation) => !domain.has(incarnation));
    const count = Math.min(BROADCAST_MEMBERS, others.length);
    const inTurn = Array.from(
      { length: count },
      (_, turn) => others[(this.#nextOther + turn) % others.length] as string,
    );
    this.#nextOther += count;
    new Set([...group.otherStoreCallers(), ...inTurn]).forEach((other) =>
      group.send(other, report),
    );
  }

  #recordSending(now: number): void {
    this.#sentAt = now;
    this.#reportedConfirmationAt = this.#options.freshness.oldest.at;
  }

  #makeReport(now: number): PeerMessage {
    const { configuration, endpoints } = this.#options.watches;
    const { at: confirmedAt, moment } = this.#options.freshness.oldest;
    const gaps = { configuration: configuration.gap, endpoints: endpoints.gap };
    return {
      _tag: 'storeWatcherAlive',
      reached: configuration.reached && endpoints.reached,
      configurationRevision: configuration.lastChangeRevision,
      endpointsRevision: endpoints.lastChangeRevision,
      completeSince: {
        configuration: configuration.completeSince,
        endpoints: endpoints.completeSince,
      },
      ...(Number.isFinite(confirmedAt) ? { confirmedMsAgo: Math.max(0, now - confirmedAt) } : {}),
      ...(moment !== undefined && { confirmedAt: moment }),
      gaps,
      ...reportContact(this.#options.contact, now),
    };
  }
}
