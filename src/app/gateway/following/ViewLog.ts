import type { Logger } from 'pino';
import type { EndpointChange, ViewKind } from '../../../coordination/gateway/index.ts';
import { formatPosition } from '../../../protocol/gateway/index.ts';
import type { StoreChangeSource, StoreWatch } from './StoreWatch.ts';
import type { OutagePhase, ViewAge } from './StoreSubscription.ts';

/** Age of the view that is logged, with the reason: what the promises leave is then short. */
const OLD_VIEW_MS = 1_500;

/** Changes of endpoints that are logged one by one; more at once are logged as their number. */
const MAXIMUM_LOGGED_CHANGES = 8;

/** How a change of an endpoint became known, or which time has run out. */
export type EndpointChangeSource = StoreChangeSource | 'graceExpired' | 'drainExpired';

/** What speaks for and against an outage of the store. */
export interface OutageEvidence {
  /** Number of missing entries that are kept in use. */
  readonly missing: number;
  /** Time since the store last confirmed the view of this process, in ms. */
  readonly ageMs: number;
  /** Time since the store last answered any member, as far as this process has heard, in ms. */
  readonly answeredMsAgo: number;
}

/** Logs how the view of the store changes. */
export class ViewLog {
  readonly #logger: Logger;

  readonly #watches: Readonly<Record<ViewKind, StoreWatch>>;

  #isOldReported = false;

  #reportedPhase: OutagePhase = 'none';

  constructor(logger: Logger, watches: Readonly<Record<ViewKind, StoreWatch>>) {
    this.#logger = logger;
    this.#watches = watches;
  }

  /** Logs that the view has become old, with what it waits for, or that it no longer is. */
  recordAge(view: ViewAge, details: { readonly watcher: string; readonly relies: boolean }): void {
    const isOld = Number.isFinite(view.ageMs) && view.ageMs > OLD_VIEW_MS;
    if (isOld === this.#isOldReported) return;
    this.#isOldReported = isOld;
    const { configuration, endpoints } = this.#watches;
    const phases = { configuration: configuration.phase, endpoints: endpoints.phase };
    this.#logger.info({ ...view, isOld, ...details, phases }, 'store view age');
  }

  /** Logs a change of the phase of an outage, with what speaks for and against one. */
  recordOutage(phase: OutagePhase, evidence: OutageEvidence): void {
    if (phase === this.#reportedPhase) return;
    const before = this.#reportedPhase;
    this.#reportedPhase = phase;
    this.#logger.info({ phase, before, ...evidence }, 'store outage');
  }

  /** Logs that the objects of a kind were listed. */
  recordList(kind: ViewKind, objects: number): void {
    const revision = formatPosition(this.#watches[kind].revision);
    this.#logger.info({ kind, revision, objects }, 'store listed');
  }

  /** Logs changes of endpoints, and how they became known. */
  recordEndpoints(
    changes: readonly EndpointChange[],
    source: EndpointChangeSource,
    now: number,
  ): void {
    const revision = formatPosition(this.#watches.endpoints.revision);
    if (changes.length > MAXIMUM_LOGGED_CHANGES) {
      const counts = { added: 0, draining: 0, readyAgain: 0, copied: 0, missing: 0, removed: 0 };
      changes.forEach(({ _tag }) => {
        counts[_tag] += 1;
      });
      this.#logger.info({ ...counts, source, revision }, 'endpoints changed');
      return;
    }
    changes.forEach((change) => {
      const { record } = change;
      this.#logger.info(
        {
          endpoint: record.id,
          address: record.address,
          service: record.service,
          failureDomain: record.failureDomain,
          version: record.version,
          change: change._tag,
          source,
          revision,
          ...(change._tag === 'missing' && {
            listedMsAgo: Math.round(now - change.listedAt),
            keptMs: Math.round(change.until - now),
          }),
        },
        'endpoint changed',
      );
    });
  }
}
