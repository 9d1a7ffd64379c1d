import type { RequestOutcome, RequestStatus } from '../../state/RequestOutcome.ts';
import type { HomeRequest, RequestRecord } from './RequestRecord.ts';

/** Requests of a home: a full record of each that has not ended, and only the outcome of each that has. */
export class RequestTable {
  readonly #live = new Map<string, RequestRecord>();

  readonly #ended = new Map<string, RequestOutcome>();

  /**
   * Adds a new request.
   *
   * @param request - the request; its id must not be in the table yet
   * @returns the request's record
   */
  add(request: HomeRequest): RequestRecord {
    const record: RequestRecord = {
      request,
      state: { _tag: 'unplaced' },
      reservedElsewhere: false,
      avoid: [],
      callerLeft: false,
      firstTokenAt: undefined,
    };
    this.#live.set(request.id, record);
    return record;
  }

  /**
   * Finds a request that has not ended.
   *
   * @param id - the request's id
   * @returns its record, or undefined where it has ended or was never added
   */
  findLive(id: string): RequestRecord | undefined {
    return this.#live.get(id);
  }

  /** @returns records of all requests that have not ended, oldest first */
  allLive(): readonly RequestRecord[] {
    return [...this.#live.values()];
  }

  /** @returns number of requests that have not ended */
  get size(): number {
    return this.#live.size;
  }

  /**
   * Ends a request and keeps only its outcome.
   *
   * @param record - a live record
   * @param outcome - its final outcome
   */
  end(record: RequestRecord, outcome: RequestOutcome): void {
    const ending = record;
    ending.state = { _tag: 'ended', outcome };
    this.#live.delete(record.request.id);
    this.#ended.set(record.request.id, outcome);
  }

  /**
   * Gives the status of a request.
   *
   * @param id - a request id
   * @returns its status, or undefined where the id was never added or has been evicted
   */
  status(id: string): RequestStatus | undefined {
    const outcome = this.#ended.get(id);
    if (outcome !== undefined) return { _tag: 'ended', outcome };
    const record = this.#live.get(id);
    if (record === undefined) return undefined;
    const { state } = record;
    switch (state._tag) {
      case 'limited':
      case 'waiting':
      case 'unplaced':
        return { _tag: 'waiting' };
      case 'dispatched':
      case 'suspended':
        return { _tag: 'dispatched', endpoint: state.grant.endpoint };
      case 'ended':
        return { _tag: 'ended', outcome: state.outcome };
      default:
        return state satisfies never;
    }
  }

  /**
   * Evicts ended requests, oldest first, up to the first that must be retained.
   *
   * @param mayEvict - tells whether the outcome of an id may be evicted
   */
  evictEnded(mayEvict: (id: string) => boolean): void {
    const ids = this.#ended.keys();
    let next = ids.next();
    while (!next.done && mayEvict(next.value)) {
      this.#ended.delete(next.value);
      next = ids.next();
    }
  }
}
