/** What a connection had carried before a request. */
export interface ConnectionUse {
  /** Number of earlier requests. */
  readonly earlierRequests: number;
  /** Whether one of them had the same id. */
  readonly isRepeated: boolean;
}

/** Requests of one connection: with more, the ids of many connections would take several megabytes. */
const MAXIMUM_REQUESTS = 128;

/**
 * The requests that one connection has carried. A server may send the copy of an answer at any later time, and the id in
 * it tells nothing where the same request is under way again. So a connection must carry no id twice.
 */
export class ConnectionHistory {
  readonly #ids = new Set<string>();

  #requests = 0;

  /**
   * Records a request that is about to be sent.
   *
   * @param id - its id; undefined if it has none
   * @returns what the connection had carried before it
   */
  record(id: string | undefined): ConnectionUse {
    const use = { earlierRequests: this.#requests, isRepeated: this.has(id) };
    this.#requests += 1;
    if (id !== undefined) this.#ids.add(id);
    return use;
  }

  /** Whether the connection has carried as many requests as are kept in mind, so that it must not carry more. */
  get isFull(): boolean {
    return this.#requests >= MAXIMUM_REQUESTS;
  }

  /** Whether the connection has carried a request with an id. */
  has(id: string | undefined): boolean {
    return id !== undefined && this.#ids.has(id);
  }
}
