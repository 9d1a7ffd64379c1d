/** What an endpoint did with a request. */
export type EndpointSign = 'served' | 'failed' | 'unreachable';

const FIRST_PAUSE_MS = 400;
const LONGEST_PAUSE_MS = 3_000;
/** Weight of the newest sign in the failure rate. */
const LEARNING_RATE = 0.2;

/** Whether an endpoint can be reached, and how often it fails what it is sent. */
export class EndpointCondition {
  #failureRate = 0;

  #unreachableInRow = 0;

  #pausedUntil = Number.NEGATIVE_INFINITY;

  /**
   * Learns from one request.
   *
   * @param sign - what the endpoint did
   * @param now - present time in ms
   */
  learn(sign: EndpointSign, now: number): void {
    const failed = sign === 'served' ? 0 : 1;
    this.#failureRate += LEARNING_RATE * (failed - this.#failureRate);
    if (sign !== 'unreachable') {
      this.#unreachableInRow = 0;
      return;
    }
    const pauseMs = Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** this.#unreachableInRow);
    this.#unreachableInRow += 1;
    this.#pausedUntil = now + pauseMs;
  }

  /** Tells whether requests may be sent to it now. */
  isReachable(now: number): boolean {
    return now >= this.#pausedUntil;
  }

  /** Share of recent requests that failed, from 0 to 1. */
  get failureRate(): number {
    return this.#failureRate;
  }
}
