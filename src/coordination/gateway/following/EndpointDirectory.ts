import { endpointStartOf, type EndpointRecord } from '../../../state/gateway/index.ts';
import { LEAVING_RETENTION_MS } from '../reach/EndpointExclusions.ts';
import { retainUntil } from './retainUntil.ts';
import type { Outage } from './StoreContact.ts';

/**
 * Time for which a start of an endpoint that drained isn't taken back, as for one that said itself that it leaves. The
 * store may carry out an earlier heartbeat of it seconds later.
 */
const DRAINED_RETENTION_MS = LEAVING_RETENTION_MS;

/**
 * Time for which a start of an endpoint isn't used that was removed and is listed again by an older copy of the store. The
 * store removes the entry by then if its endpoint is gone and writes no more.
 */
const COPIED_RETENTION_MS = 6_000;

/** Starts of endpoints that drained, and others that were removed, of which so many each are remembered. */
const MAXIMUM_REMEMBERED = 4_096;

/** An endpoint's entry in the directory. */
interface DirectoryEntry {
  readonly record: EndpointRecord;
  /** Whether the store lists it as ready although this start of it drained or was removed, so that it stays out of use. */
  readonly isReadyAgain: boolean;
  /** When the store is known to have listed it last, in ms; set if it no longer does and the entry is kept in use. */
  listedAt?: number | undefined;
}

const dropOldest = (starts: Set<string> | Map<string, number>): void => {
  const [oldest] = starts.keys();
  if (starts.size > MAXIMUM_REMEMBERED && oldest !== undefined) starts.delete(oldest);
};

/** Remembers a time, as the latest of its map. */
const remember = (times: Map<string, number>, start: string, at: number): void => {
  times.delete(start);
  times.set(start, at);
  dropOldest(times);
};

/** A change of one endpoint in the directory. */
export type EndpointChange =
  | { readonly _tag: 'added'; readonly record: EndpointRecord }
  | { readonly _tag: 'draining'; readonly record: EndpointRecord }
  /** The store lists the endpoint as ready, after it had listed the same start of it as draining; it stays out of use. */
  | { readonly _tag: 'readyAgain'; readonly record: EndpointRecord }
  /** An older copy of the store lists the endpoint, which was removed since; it stays out of use for a while. */
  | { readonly _tag: 'copied'; readonly record: EndpointRecord }
  /** The store no longer lists the entry, which was last known to be listed at `listedAt`; it is kept until `until`, in ms. */
  | {
      readonly _tag: 'missing';
      readonly record: EndpointRecord;
      readonly listedAt: number;
      readonly until: number;
    }
  | { readonly _tag: 'removed'; readonly record: EndpointRecord };

/**
 * The endpoints that the store lists. An entry that goes missing in an outage of the store, or
 * shortly after, is kept until its endpoint has had time to register again. At any other time a
 * missing entry means that the endpoint has left. One that drained has left for good, until it starts again.
 */
export class EndpointDirectory {
  readonly #entries = new Map<string, DirectoryEntry>();

  /** When starts of endpoints were last listed as draining, in ms, the oldest first. */
  readonly #drainedAt = new Map<string, number>();

  /** Starts of endpoints that the store removed while there was no outage. */
  readonly #removed = new Set<string>();

  /** When starts of endpoints that it had removed were listed again by an older copy of the store, in ms. */
  readonly #copiedAt = new Map<string, number>();

  readonly #isUsable: (record: EndpointRecord) => boolean;

  /**
   * @param isUsable - whether requests may be sent to an endpoint now, as far as its failure domain is concerned; asked
   *   at each sending
   */
  constructor(isUsable: (record: EndpointRecord) => boolean = () => true) {
    this.#isUsable = isUsable;
  }

  /** Number of entries that the store no longer lists and that are kept in use. */
  get missingCount(): number {
    return [...this.#entries.values()].filter(({ listedAt }) => listedAt !== undefined).length;
  }

  /**
   * Adds or updates one entry. An endpoint that restarted under the same id counts as
   * added. An entry that was marked as missing no longer is.
   *
   * @param record - the entry's current contents
   * @param now - current time, in ms
   * @param isFromCopy - whether the entry is known only from an older copy of the store; a start of an endpoint that was
   *   removed since has left for good
   * @returns the change; empty if the endpoint was neither added nor changed its state
   */
  put(record: EndpointRecord, now: number, isFromCopy = false): EndpointChange[] {
    const previous = this.#entries.get(record.id);
    const start = endpointStartOf(record);
    if (!isFromCopy) {
      this.#removed.delete(start);
      this.#copiedAt.delete(start);
    }
    if (record.state === 'draining') remember(this.#drainedAt, start, now);
    else if (this.#removed.has(start)) {
      remember(this.#copiedAt, start, now);
      const draining = { ...record, state: 'draining' } as const;
      this.#entries.set(record.id, { record: draining, isReadyAgain: true });
      return [{ _tag: 'copied', record }];
    } else if (this.#hasDrained(start, now)) {
      const draining = { ...record, state: 'draining' } as const;
      this.#entries.set(record.id, { record: draining, isReadyAgain: true });
      return previous?.isReadyAgain === true ? [] : [{ _tag: 'readyAgain', record }];
    }
    this.#entries.set(record.id, { record, isReadyAgain: false });
    if (previous === undefined || previous.record.bornAt !== record.bornAt) {
      return [{ _tag: 'added', record }];
    }
    if (record.state !== previous.record.state) {
      return [{ _tag: record.state === 'draining' ? 'draining' : 'added', record }];
    }
    return [];
  }

  #hasDrained(start: string, now: number): boolean {
    const drainedAt = this.#drainedAt.get(start);
    return drainedAt !== undefined && now - drainedAt <= DRAINED_RETENTION_MS;
  }

  #isCopied(start: string, listedAt: number): boolean {
    const copiedAt = this.#copiedAt.get(start);
    return copiedAt !== undefined && listedAt - copiedAt <= COPIED_RETENTION_MS;
  }

  /**
   * Handles an entry that the store no longer lists: removes it, or marks it as missing if it may have expired in an
   * outage. A draining endpoint is removed in either case.
   *
   * @param id - the endpoint's id
   * @param listedAt - last moment at which the store is known to have listed the entry, in ms
   * @param outage - the last outage of the store that the group knows of, if any
   * @param now - current time, in ms
   * @returns the change; empty if the entry is unknown or was marked before
   */
  remove(id: string, listedAt: number, outage: Outage | undefined, now: number): EndpointChange[] {
    const entry = this.#entries.get(id);
    if (entry === undefined) return [];
    const until = retainUntil(listedAt, outage);
    if (until > now && entry.record.state === 'ready') {
      if (entry.listedAt !== undefined) return [];
      entry.listedAt = listedAt;
      return [{ _tag: 'missing', record: entry.record, listedAt, until }];
    }
    this.#entries.delete(id);
    if (until <= now) {
      this.#removed.add(endpointStartOf(entry.record));
      dropOldest(this.#removed);
    }
    return [{ _tag: 'removed', record: entry.record }];
  }

  /**
   * Removes the missing entries that need not be kept any longer, or needn't have been: that the store was available may
   * become known later.
   *
   * @param outage - the last outage of the store that the group knows of, if any
   * @param now - current time, in ms
   * @returns the removed endpoints
   */
  removeMissing(outage: Outage | undefined, now: number): EndpointChange[] {
    return [...this.#entries.values()]
      .filter(({ listedAt }) => listedAt !== undefined && retainUntil(listedAt, outage) <= now)
      .map(({ record }) => {
        this.#entries.delete(record.id);
        return { _tag: 'removed', record };
      });
  }

  /**
   * Takes the endpoints back that the store has listed as ready for long since they drained, or since only a copy listed
   * them: only one that runs does.
   *
   * @param now - current time, in ms
   * @param listedAt - last moment at which the store is known to have listed the endpoints, in ms
   * @returns the endpoints that are in use again
   */
  takeBack(now: number, listedAt: number): EndpointChange[] {
    return [...this.#entries.values()]
      .filter(({ record, isReadyAgain }) => {
        const start = endpointStartOf(record);
        return isReadyAgain && !this.#hasDrained(start, now) && !this.#isCopied(start, listedAt);
      })
      .flatMap(({ record }) => this.put({ ...record, state: 'ready' }, now));
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
    return this.#entries.get(id)?.listedAt !== undefined;
  }

  /** Whether an endpoint is listed and hasn't said that it leaves, so that it should run. */
  isExpectedToRun(id: string): boolean {
    return this.#entries.get(id)?.record.state === 'ready';
  }
}
