import type { Logger } from 'pino';
import type { EndpointChange, ViewKind } from '../../../coordination/gateway/index.ts';
import type { StoreChangeSource, StoreWatch } from './StoreWatch.ts';
import type { OutagePhase, ViewAge } from './StoreSubscription.ts';

/** Age of the view that is logged, with the reason: what the promises leave is then short. */
const OLD_VIEW_MS = 1_500;

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

  /** Logs a change of the phase of an outage, with the number of missing entries that are kept in use. */
  recordOutage(phase: OutagePhase, missing: number): void {
    if (phase === this.#reportedPhase) return;
    const before = this.#reportedPhase;
    this.#reportedPhase = phase;
    this.#logger.info({ phase, before, missing }, 'store outage');
  }

  /** Logs that the objects of a kind were listed. */
  recordList(kind: ViewKind, objects: number): void {
    this.#logger.info({ kind, revision: this.#watches[kind].revision, objects }, 'store listed');
  }

  /** Logs changes of endpoints, and how they became known. */
  recordEndpoints(
    changes: readonly EndpointChange[],
    source: StoreChangeSource | 'graceExpired',
  ): void {
    const { revision } = this.#watches.endpoints;
    changes.forEach(({ _tag, record }) => {
      this.#logger.info(
        {
          endpoint: record.id,
          address: record.address,
          service: record.service,
          failureDomain: record.failureDomain,
          version: record.version,
          change: _tag,
          source,
          revision,
        },
        'endpoint changed',
      );
    });
  }
}
