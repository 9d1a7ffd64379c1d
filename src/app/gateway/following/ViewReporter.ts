import type { ViewFreshness, ViewKind } from '../../../coordination/gateway/index.ts';
import type { PeerMessage } from '../../../protocol/peer/PeerMessage.ts';
import type { PeerGroup } from '../PeerGroup.ts';
import type { StoreWatch } from './StoreWatch.ts';

/** What is reported, and to whom. */
export interface ViewReporterOptions {
  readonly group: Pick<PeerGroup, 'sameDomainPeers' | 'send' | 'broadcast'>;
  readonly watches: Readonly<Record<ViewKind, StoreWatch>>;
  readonly freshness: ViewFreshness;
}

/** Longest time between reports to the members of the failure domain. */
const DOMAIN_INTERVAL_MS = 400;
/** Shortest time between reports that the store has confirmed the view again. */
const CONFIRMATION_INTERVAL_MS = 100;
/** Interval of reports to all members, which are also sent at once after each change. */
const BROADCAST_INTERVAL_MS = 1_600;

/** Reports to peers what this process knows of the store, and since when. */
export class ViewReporter {
  readonly #options: ViewReporterOptions;

  #broadcastSentAt = Number.NEGATIVE_INFINITY;

  #sentAt = Number.NEGATIVE_INFINITY;

  /** When the store had confirmed the view as the last report said, in ms. */
  #reportedConfirmationAt = Number.NEGATIVE_INFINITY;

  constructor(options: ViewReporterOptions) {
    this.#options = options;
  }

  /**
   * Sends a report if one is due: to the failure domain at the short interval and after each confirmation, to all
   * members at the long interval. Call it periodically.
   *
   * @param now - present time in ms, monotonic
   */
  sendWhenDue(now: number): void {
    const hasNews = this.#options.freshness.oldest.at > this.#reportedConfirmationAt;
    const intervalMs = hasNews ? CONFIRMATION_INTERVAL_MS : DOMAIN_INTERVAL_MS;
    if (now - this.#sentAt < intervalMs) return;
    if (now - this.#broadcastSentAt >= BROADCAST_INTERVAL_MS) {
      this.sendToAll(now);
      return;
    }
    const { group } = this.#options;
    const report = this.#makeReport(now);
    group.sameDomainPeers().forEach(({ incarnation }) => group.send(incarnation, report));
  }

  /**
   * Sends a report to all members at once.
   *
   * @param now - present time in ms, monotonic
   */
  sendToAll(now: number): void {
    this.#broadcastSentAt = now;
    this.#options.group.broadcast(this.#makeReport(now));
  }

  #makeReport(now: number): PeerMessage {
    const { configuration, endpoints } = this.#options.watches;
    const confirmedAt = this.#options.freshness.oldest.at;
    this.#sentAt = now;
    this.#reportedConfirmationAt = confirmedAt;
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
    };
  }
}
