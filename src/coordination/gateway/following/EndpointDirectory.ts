import type { EndpointRecord } from '../../../state/gateway/index.ts';
import { retainUntil } from './retainUntil.ts';
import type { Outage } from './StoreContact.ts';

/** An endpoint's entry in the directory. */
interface DirectoryEntry {
  readonly record: EndpointRecord;
  /** When the store is known to have listed it last, in ms; set if it no longer does and the entry is kept in use. */
  listedAt?: number | undefined;
}

/** A change of one endpoint in the directory. */
export type EndpointChange =
  | { readonly _tag: 'added'; readonly record: EndpointRecord }
  | { readonly _tag: 'draining'; readonly record: EndpointRecord }
  /** The store lists the same start of the endpoint as ready again, after it had listed it as draining. */
  | { readonly _tag: 'readyAgain'; readonly record: EndpointRecord }
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
 * missing entry means that the endpoint has left.
 */
export class EndpointDirectory {
  readonly #entries = new Map<string, DirectoryEntry>();

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
   * @returns the change; empty if the endpoint was neither added nor changed its state
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
    if (record.state === 'ready' && previous.record.state === 'draining') {
      return [{ _tag: 'readyAgain', record }];
    }
    return [];
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
