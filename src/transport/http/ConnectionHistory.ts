/** What a connection had carried before a request. */
export interface ConnectionUse {
  /** Number of earlier requests. */
  readonly earlierRequests: number;
  /** Whether one of them had the same id. */
  readonly isRepeated: boolean;
}

/** With ids of 16 characters this is 6 kB; a new connection for each 128 requests hardly costs anything. */
const MAXIMUM_REQUESTS = 128;
/** Callers choose the length of their ids. */
const MAXIMUM_ID_CHARACTERS = 8_192;

/**
 * The requests that one connection has carried. A server may send the copy of an answer at any later time, and the id in
 * it tells nothing where the same request is under way again. So a connection must carry no id twice.
 */
export class ConnectionHistory {
  readonly #ids = new Set<string>();

  #requests = 0;

  #idCharacters = 0;

  /**
   * Records a request that is about to be sent.
   *
   * @param id - its id; undefined if it has none
   * @returns what the connection had carried before it
   */
  record(id: string | undefined): ConnectionUse {
    const use = { earlierRequests: this.#requests, isRepeated: this.has(id) };
    this.#requests += 1;
    if (id !== undefined && !use.isRepeated) {
      this.#ids.add(id);
      this.#idCharacters += id.length;
    }
    return use;
  }

  /** Whether the connection has carried as many requests as are recorded, so that it must not carry more. */
  get isFull(): boolean {
    return this.#requests >= MAXIMUM_REQUESTS || this.#idCharacters >= MAXIMUM_ID_CHARACTERS;
  }

  /** Whether the connection has carried a request with an id. */
  has(id: string | undefined): boolean {
    return id !== undefined && this.#ids.has(id);
  }
}
