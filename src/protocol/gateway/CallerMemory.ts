/** Memory that one request or answer of a caller takes. */
export interface CallerHolding {
  /**
   * Records how much memory it takes now.
   *
   * @param bytes - all of its memory, in bytes
   * @param now - present time in ms, monotonic
   */
  readonly resize: (bytes: number, now: number) => void;
  /** Records that it can't be given up any more, because an endpoint may run the request. */
  readonly settle: () => void;
  /** Records that it takes no memory any more. */
  readonly release: () => void;
}

/** Limits the memory that the requests of callers, and answers that they don't read, take together. */
export interface CallerMemory {
  /**
   * Begins to hold a request or an answer.
   *
   * @param now - present time in ms, monotonic
   * @param onYield - called if it has to be given up; nothing of it is counted any more then
   */
  readonly open: (now: number, onYield: () => void) => CallerHolding;
}
