import type { RequestOutcome, RequestStatus } from '../../state/RequestOutcome.ts';
import type { HomeRequest, RequestRecord } from './RequestRecord.ts';

/** The requests of a home: live ones with their state, ended ones by outcome alone. */
export class RequestTable {
  readonly #live = new Map<string, RequestRecord>();

  readonly #ended = new Map<string, RequestOutcome>();

  /**
   * Takes in a new request.
   *
   * @param request - the request; its id must not be known yet
   * @returns its record
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
   * Gives a request that has not ended.
   *
   * @param id - the request's id
   * @returns its record, or undefined where it has ended or was never taken
   */
  findLive(id: string): RequestRecord | undefined {
    return this.#live.get(id);
  }

  /** @returns all requests that have not ended, oldest first */
  allLive(): readonly RequestRecord[] {
    return [...this.#live.values()];
  }

  /** @returns number of requests that have not ended */
  get size(): number {
    return this.#live.size;
  }

  /**
   * Ends a request for good.
   *
   * @param record - a live record
   * @param outcome - what became of it
   */
  end(record: RequestRecord, outcome: RequestOutcome): void {
    const ending = record;
    ending.state = { _tag: 'ended', outcome };
    this.#live.delete(record.request.id);
    this.#ended.set(record.request.id, outcome);
  }

  /**
   * Tells what is known of an id.
   *
   * @param id - a request id
   * @returns its status, or undefined where the id was never taken or is forgotten
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
   * Forgets ended requests, oldest first, until one must be kept.
   *
   * @param forgets - whether an id may be forgotten
   */
  forget(forgets: (id: string) => boolean): void {
    const ids = this.#ended.keys();
    let next = ids.next();
    while (!next.done && forgets(next.value)) {
      this.#ended.delete(next.value);
      next = ids.next();
    }
  }
}
