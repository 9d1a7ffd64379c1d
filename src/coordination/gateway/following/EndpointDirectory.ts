import type { EndpointRecord } from '../../../state/gateway/index.ts';

/**
 * Time after an outage of the store in which missing entries are kept. Entries that expired during
 * the outage are registered again within 2 s of its end if their endpoint is alive. Together with the
 * longest delay before this process notices the end, it is over within the 3 s after which a gateway
 * counts as undisturbed.
 */
export const MISSING_ENTRY_GRACE_MS = 2_050;

/**
 * Longest time for which an entry is kept that was removed after an outage, from the last moment at which it is
 * known to have been listed. Most such endpoints have left, and none may be used for longer than 2 s after that.
 */
const REMOVED_ENTRY_RETENTION_MS = 1_800;

/**
 * Time without a confirmation of the view after which entries may have expired because the store was unavailable.
 * In a shorter one no endpoint misses enough of its heartbeats.
 */
export const EXPIRY_OUTAGE_MS = 2_000;

/** An endpoint's entry in the directory. */
interface DirectoryEntry {
  readonly record: EndpointRecord;
  /** End of its use, in ms; set if the store stopped listing the entry in or after an outage. */
  missingUntil?: number | undefined;
}

/** A change of one endpoint in the directory. */
export type EndpointChange =
  | { readonly _tag: 'added'; readonly record: EndpointRecord }
  | { readonly _tag: 'draining'; readonly record: EndpointRecord }
  /** The store no longer lists the entry, which was last known to be listed at `listedAt`; it is kept until `until`, in ms. */
  | {
      readonly _tag: 'missing';
      readonly record: EndpointRecord;
      readonly listedAt: number;
      readonly until: number;
    }
  | { readonly _tag: 'removed'; readonly record: EndpointRecord };

/** A time in which the store didn't confirm the view, so that entries may have expired; in ms. */
interface Outage {
  readonly startedAt: number;
  readonly endedAt: number;
}

/**
 * The endpoints that the store lists. An entry that goes missing in an outage of the store, or
 * shortly after, is kept until its endpoint has had time to register again. At any other time a
 * missing entry means that the endpoint has left.
 */
export class EndpointDirectory {
  readonly #entries = new Map<string, DirectoryEntry>();

  readonly #isUsable: (record: EndpointRecord) => boolean;

  #lastOutage: Outage = {
    startedAt: Number.NEGATIVE_INFINITY,
    endedAt: Number.NEGATIVE_INFINITY,
  };

  /**
   * @param isUsable - whether requests may be sent to an endpoint now, as far as its failure domain is concerned; asked
   *   at each sending
   */
  constructor(isUsable: (record: EndpointRecord) => boolean = () => true) {
    this.#isUsable = isUsable;
  }

  /**
   * Records that the store has confirmed the view, before the changes that come with that are applied. After a
   * long time without a confirmation, the grace time starts.
   *
   * @param previousAt - when it did so before, in ms; `-Infinity` if never
   * @param now - current time, in ms
   */
  recordConfirmation(previousAt: number, now: number): void {
    if (!Number.isFinite(previousAt) || now - previousAt <= EXPIRY_OUTAGE_MS) return;
    this.#lastOutage = { startedAt: previousAt, endedAt: now };
  }

  /**
   * Returns for how long missing entries are still kept after an outage.
   *
   * @param now - current time, in ms
   * @returns the remaining grace time in ms; 0 if a missing entry means that its endpoint has left
   */
  remainingGraceMs(now: number): number {
    return Math.max(0, this.#graceUntil - now);
  }

  /** Number of entries that the store no longer lists and that are kept in use. */
  get missingCount(): number {
    return [...this.#entries.values()].filter(({ missingUntil }) => missingUntil !== undefined)
      .length;
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
   * Handles an entry that the store no longer lists: removes it, or marks it as missing in the grace time after an
   * outage. A draining endpoint is removed in either case.
   *
   * @param id - the endpoint's id
   * @param listedAt - last moment at which the store is known to have listed the entry, in ms
   * @param now - current time, in ms
   * @returns the change; empty if the entry is unknown or was marked before
   */
  remove(id: string, listedAt: number, now: number): EndpointChange[] {
    const entry = this.#entries.get(id);
    if (entry === undefined) return [];
    const until = this.#retainUntil(listedAt);
    if (until > now && entry.record.state === 'ready') {
      if (entry.missingUntil !== undefined) return [];
      entry.missingUntil = until;
      return [{ _tag: 'missing', record: entry.record, listedAt, until }];
    }
    this.#entries.delete(id);
    return [{ _tag: 'removed', record: entry.record }];
  }

  /**
   * Removes the entries whose time as missing ones is over. During an outage, call it only after its end.
   *
   * @param now - current time, in ms
   * @returns the removed endpoints
   */
  removeMissing(now: number): EndpointChange[] {
    return [...this.#entries.values()]
      .filter(({ missingUntil }) => missingUntil !== undefined && now >= missingUntil)
      .map(({ record }) => {
        this.#entries.delete(record.id);
        return { _tag: 'removed', record };
      });
  }

  /** Returns until when an entry is kept that was removed after a moment at which it was listed. */
  #retainUntil(listedAt: number): number {
    const hasExpiredInOutage = listedAt <= this.#lastOutage.startedAt;
    return hasExpiredInOutage
      ? this.#graceUntil
      : Math.min(this.#graceUntil, listedAt + REMOVED_ENTRY_RETENTION_MS);
  }

  get #graceUntil(): number {
    return this.#lastOutage.endedAt + MISSING_ENTRY_GRACE_MS;
  }

  /** Lists the endpoints of a service that accept new requests. */
  listReady(service: string): EndpointRecord[] {
    return this.listAllReady().filter((record) => record.service === service);
  }

  /** Lists all endpoints, also those that don't accept new requests. */
  listAll(): EndpointRecord[] {
    return [...this.#entries.values()].map(({ record }) => record);
  }

  /** Lists the endpoints of all services that accept new requests and to which they may be sent. */
  listAllReady(): EndpointRecord[] {
    return this.listAccepting().filter(this.#isUsable);
  }

  /** Lists the endpoints of all services that accept new requests, also those of drained failure domains. */
  listAccepting(): EndpointRecord[] {
    return this.listAll().filter(({ state }) => state === 'ready');
  }

  /** Returns the versions of the software of the endpoints that accept new requests, by service. */
  listReadyVersions(): ReadonlyMap<string, ReadonlySet<string>> {
    const versions = new Map<string, Set<string>>();
    this.listAccepting().forEach(({ service, version }) => {
      const known = versions.get(service) ?? new Set();
      versions.set(service, known.add(version));
    });
    return versions;
  }

  /** Returns the endpoint with an id, or undefined if it is unknown or draining, or its failure domain is drained. */
  findReady(id: string): EndpointRecord | undefined {
    const record = this.#entries.get(id)?.record;
    return record?.state === 'ready' && this.#isUsable(record) ? record : undefined;
  }

  /** Whether an endpoint is in use although the store no longer lists it. */
  isMissing(id: string): boolean {
    return this.#entries.get(id)?.missingUntil !== undefined;
  }

  /** Whether an endpoint is listed and hasn't said that it leaves, so that it should run. */
  isExpectedToRun(id: string): boolean {
    return this.#entries.get(id)?.record.state === 'ready';
  }
}
