/** What a connection had carried before a request. */
export interface ConnectionUse {
  /** Number of earlier requests. */
  readonly earlierRequests: number;
  /** Whether one of them had the same id. */
  readonly isRepeated: boolean;
}

/** The requests that one connection has carried. */
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

  /** Whether the connection has carried a request with an id. */
  has(id: string | undefined): boolean {
    return id !== undefined && this.#ids.has(id);
  }
}
