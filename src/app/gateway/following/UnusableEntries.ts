import type { Logger } from 'pino';
import type { ViewKind } from '../../../coordination/gateway/index.ts';
import type { StoreObject, WireAdapter } from '../../../protocol/gateway/index.ts';

/** Collaborators of the record of unusable entries. */
export interface UnusableEntriesOptions {
  readonly wire: Pick<WireAdapter, 'findFaults'>;
  readonly logger: Logger;
  /** Called once for each object that can't be used, or not as a whole. */
  readonly onUnusable: (kind: ViewKind) => void;
}

const MAXIMUM_NAMES = 1_024;
/** Faults of one object that are logged, and the length of each: an object may be as large as its writer likes. */
const MAXIMUM_FAULTS = 8;
const MAXIMUM_FAULT_LENGTH = 300;

/** Names each object of the store that can't be used once in the log, with the reason, and counts it. */
export class UnusableEntries {
  readonly #options: UnusableEntriesOptions;

  /** Objects that were named, by kind and name, the oldest first. */
  readonly #named = new Set<string>();

  constructor(options: UnusableEntriesOptions) {
    this.#options = options;
  }

  /**
   * Records an object as it stands in the store, if it has faults.
   *
   * @param kind - its kind
   * @param object - the object
   */
  record(kind: ViewKind, { name, revision, spec, fault }: StoreObject): void {
    const { wire, logger, onUnusable } = this.#options;
    const key = `${kind} ${name}`;
    if (this.#named.has(key)) return;
    const faults = fault === undefined ? wire.findFaults(kind, spec) : [fault];
    if (faults.length === 0) return;
    this.#named.add(key);
    const [oldest] = this.#named;
    if (this.#named.size > MAXIMUM_NAMES && oldest !== undefined) this.#named.delete(oldest);
    onUnusable(kind);
    const reasons = faults
      .slice(0, MAXIMUM_FAULTS)
      .map((reason) => reason.slice(0, MAXIMUM_FAULT_LENGTH));
    logger.warn({ kind, name, revision, faults: faults.length, reasons }, 'entry not usable');
  }

  /** Forgets an object that is gone or sound, so that it is named again if it turns unusable once more. */
  forget(kind: ViewKind, name: string): void {
    this.#named.delete(`${kind} ${name}`);
  }
}
