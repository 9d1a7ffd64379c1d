import type { PlacementResult } from '../../protocol/peer/Placement.ts';

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
   * Learns from one request. What its gateway gave up says nothing of the endpoint.
   *
   * @param outcome - how the request ended
   * @param now - present time in ms
   */
  learn(outcome: PlacementResult['outcome'], now: number): void {
    switch (outcome) {
      case 'served':
        this.#reached(0);
        return;
      case 'failed':
        this.#reached(1);
        return;
      case 'unreachable':
        this.#missed(now);
        return;
      case 'turnedAway':
      case 'cancelled':
      case 'unused':
        return;
      default:
        outcome satisfies never;
    }
  }

  /** Tells whether requests may be sent to it now. */
  isReachable(now: number): boolean {
    return now >= this.#pausedUntil;
  }

  /** Share of recent requests that failed, from 0 to 1. */
  get failureRate(): number {
    return this.#failureRate;
  }

  #reached(failure: 0 | 1): void {
    this.#failureRate += LEARNING_RATE * (failure - this.#failureRate);
    this.#unreachableInRow = 0;
  }

  #missed(now: number): void {
    this.#failureRate += LEARNING_RATE * (1 - this.#failureRate);
    const pauseMs = Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** this.#unreachableInRow);
    this.#unreachableInRow += 1;
    this.#pausedUntil = now + pauseMs;
  }
}
