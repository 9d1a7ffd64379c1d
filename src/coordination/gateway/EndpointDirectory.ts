import type { EndpointRecord } from '../../state/gateway/index.ts';

/**
 * Time after an outage of the store in which missing entries are kept. Entries that expired during
 * the outage are registered again within 2 s of its end if their endpoint is alive. Together with the
 * longest delay before this process notices the end, it is over within the 3 s after which a gateway
 * counts as undisturbed.
 */
export const MISSING_ENTRY_GRACE_MS = 2_050;

/**
 * Longest time for which an entry is kept that was removed after the end of an outage. Most such
 * endpoints have left, and none may be used for longer than 2 s after that.
 */
const REMOVED_ENTRY_RETENTION_MS = 1_800;

/** An endpoint's entry in the directory. */
interface DirectoryEntry {
  readonly record: EndpointRecord;
  /**
   * When the store stopped listing the entry, in or after an outage; kept in use until the grace
   * time ends, or for the retention time if it was removed after the outage.
   */
  missingSince?: number | undefined;
}

/** A change of one endpoint in the directory. */
export type EndpointChange =
  | { readonly _tag: 'added'; readonly record: EndpointRecord }
  | { readonly _tag: 'draining'; readonly record: EndpointRecord }
  | { readonly _tag: 'missing'; readonly record: EndpointRecord }
  | { readonly _tag: 'removed'; readonly record: EndpointRecord };

/** Whether the store is unavailable, or was so recently that entries may still be missing. */
export type OutagePhase = 'none' | 'unavailable' | 'grace';

/**
 * The endpoints that the store lists. An entry that goes missing during an outage of the store, or
 * shortly after, is kept until its endpoint has had time to register again. At any other time a
 * missing entry means that the endpoint has left.
 */
export class EndpointDirectory {
  readonly #entries = new Map<string, DirectoryEntry>();

  #isStoreFailing = false;

  /** End of the last outage that this process saw, in ms. */
  #outageEndedAt = Number.NEGATIVE_INFINITY;

  /** End of the grace time after the last outage, in ms. */
  #graceUntil = Number.NEGATIVE_INFINITY;

  /** Records a failed call to the store, which starts an outage. */
  recordStoreFailure(): void {
    this.#isStoreFailing = true;
  }

  /**
   * Records an answer of the store, which ends an outage and starts the grace time.
   *
   * @param now - current time, in ms
   */
  recordStoreResponse(now: number): void {
    if (!this.#isStoreFailing) return;
    this.#isStoreFailing = false;
    this.#outageEndedAt = now;
    this.extendGrace(MISSING_ENTRY_GRACE_MS, now);
  }

  /**
   * Returns the phase of the present outage.
   *
   * @param now - current time, in ms
   * @returns `none` if a missing entry means that its endpoint has left
   */
  outagePhase(now: number): OutagePhase {
    if (this.#isStoreFailing) return 'unavailable';
    return now < this.#graceUntil ? 'grace' : 'none';
  }

  /**
   * Returns for how long missing entries are still kept after an outage.
   *
   * @param now - current time, in ms
   * @returns the remaining grace time in ms, the whole of it during an outage; 0 if there was none
   */
  remainingGraceMs(now: number): number {
    return this.#isStoreFailing ? MISSING_ENTRY_GRACE_MS : Math.max(0, this.#graceUntil - now);
  }

  /**
   * Takes over the grace time of another process, whose view of the store this one receives.
   *
   * @param remainingMs - the rest of that grace time, in ms
   * @param now - current time, in ms
   */
  extendGrace(remainingMs: number, now: number): void {
    this.#graceUntil = Math.max(this.#graceUntil, now + remainingMs);
  }

  /** Number of entries that the store no longer lists and that are kept in use. */
  get missingCount(): number {
    return [...this.#entries.values()].filter(({ missingSince }) => missingSince !== undefined)
      .length;
  }

  /**
   * Whether entries may be missing only because of an outage of the store.
   *
   * @param now - current time, in ms
   * @returns true during an outage and the grace time after it
   */
  isInOutageOrGrace(now: number): boolean {
    return this.outagePhase(now) !== 'none';
  }

  /**
   * Adds or updates one entry. An endpoint that restarted under the same id counts as
   * added. An entry that was marked as missing no longer is.
   *
   * @param record - the entry's current contents
   * @returns the change; empty if the endpoint was neither added nor began to drain
   */
  put(record: EndpointRecord): EndpointChange[] {
    const previous = this.#entries.get(record.id);
    this.#entries.set(record.id, { record });
    if (previous === undefined || previous.record.bornAt !== record.bornAt) {
      return [{ _tag: 'added', record }];
    }
    if (record.state === 'draining' && previous.record.state === 'ready') {
      return [{ _tag: 'draining', record }];
    }
    return [];
  }

  /**
   * Handles an entry that the store no longer lists: removes it, or marks it as missing during an
   * outage and the grace time after it. A draining endpoint is removed in either case.
   *
   * @param id - the endpoint's id
   * @param now - current time, in ms
   * @returns the change; empty if the entry is unknown or was marked before
   */
  remove(id: string, now: number): EndpointChange[] {
    const entry = this.#entries.get(id);
    if (entry === undefined) return [];
    if (this.isInOutageOrGrace(now) && entry.record.state === 'ready') {
      if (entry.missingSince !== undefined) return [];
      entry.missingSince = now;
      return [{ _tag: 'missing', record: entry.record }];
    }
    this.#entries.delete(id);
    return [{ _tag: 'removed', record: entry.record }];
  }

  /**
   * Removes the entries that are still missing at the end of the grace time after an outage, or of
   * their retention time if they were removed after the outage.
   *
   * @param now - current time, in ms
   * @returns the removed endpoints
   */
  removeMissing(now: number): EndpointChange[] {
    if (this.#isStoreFailing) return [];
    return [...this.#entries.values()]
      .filter(({ missingSince }) => missingSince !== undefined && this.#isDue(missingSince, now))
      .map(({ record }) => {
        this.#entries.delete(record.id);
        return { _tag: 'removed', record };
      });
  }

  #isDue(missingSince: number, now: number): boolean {
    const hasExpiredInOutage = missingSince <= this.#outageEndedAt;
    return hasExpiredInOutage
      ? now >= this.#outageEndedAt + MISSING_ENTRY_GRACE_MS
      : now >= Math.min(this.#graceUntil, missingSince + REMOVED_ENTRY_RETENTION_MS);
  }

  /** Lists the endpoints of a service that accept new requests. */
  listReady(service: string): EndpointRecord[] {
    return [...this.#entries.values()]
      .filter(({ record }) => record.service === service && record.state === 'ready')
      .map(({ record }) => record);
  }

  /** Lists the endpoints of all services that accept new requests. */
  listAllReady(): EndpointRecord[] {
    return [...this.#entries.values()]
      .filter(({ record }) => record.state === 'ready')
      .map(({ record }) => record);
  }

  /** Returns the versions of the software of the endpoints that accept new requests, by service. */
  listReadyVersions(): ReadonlyMap<string, ReadonlySet<string>> {
    const versions = new Map<string, Set<string>>();
    this.listAllReady().forEach(({ service, version }) => {
      const known = versions.get(service) ?? new Set();
      versions.set(service, known.add(version));
    });
    return versions;
  }

  /** Returns the endpoint with an id, or undefined if it is unknown or draining. */
  findReady(id: string): EndpointRecord | undefined {
    const record = this.#entries.get(id)?.record;
    return record?.state === 'ready' ? record : undefined;
  }
}
