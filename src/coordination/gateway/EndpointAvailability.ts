import type { PlacementResult } from '../../protocol/peer/Placement.ts';

const FIRST_PAUSE_MS = 400;
const FIRST_REFUSED_PAUSE_MS = 50;
const LONGEST_REFUSED_PAUSE_MS = 400;
const FIRST_FAILED_PAUSE_MS = 200;
/** Failures in a row that are no chance where an endpoint fails some of its requests. */
const FAILURES_BEFORE_PAUSE = 4;
const LONGEST_PAUSE_MS = 3_000;
/** Weight of the newest sign in the failure rate. */
const LEARNING_RATE = 0.2;

/** Whether an endpoint can be reached, and how often it fails what it is sent. */
export class EndpointCondition {
  #failureRate = 0;

  #unreachableInRow = 0;

  #refusedInRow = 0;

  #failedInRow = 0;

  #pausedUntil = Number.NEGATIVE_INFINITY;

  #failingUntil = Number.NEGATIVE_INFINITY;

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
        this.#failedInRow = 0;
        return;
      case 'failed':
        this.#reached(1);
        this.#failed(now);
        return;
      case 'unreachable':
        this.#missed(now);
        return;
      case 'turnedAway':
        this.#refused(now);
        return;
      case 'cancelled':
      case 'unused':
        return;
      default:
        outcome satisfies never;
    }
  }

  /** Tells whether it has not just failed several requests in a row; one that has is a last resort. */
  isTrusted(now: number): boolean {
    return now >= this.#failingUntil;
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
    this.#refusedInRow = 0;
  }

  /** One that fails whatever it gets has room all the time, and is tried seldom until it serves again. */
  #failed(now: number): void {
    this.#failedInRow += 1;
    const beyond = this.#failedInRow - FAILURES_BEFORE_PAUSE;
    if (beyond < 0) return;
    this.#failingUntil = now + Math.min(LONGEST_PAUSE_MS, FIRST_FAILED_PAUSE_MS * 2 ** beyond);
  }

  /** An endpoint that turns requests away at once always has room, and must not draw all of them. */
  #refused(now: number): void {
    const pauseMs = Math.min(
      LONGEST_REFUSED_PAUSE_MS,
      FIRST_REFUSED_PAUSE_MS * 2 ** this.#refusedInRow,
    );
    this.#refusedInRow += 1;
    this.#pausedUntil = now + pauseMs;
  }

  #missed(now: number): void {
    this.#failureRate += LEARNING_RATE * (1 - this.#failureRate);
    const pauseMs = Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** this.#unreachableInRow);
    this.#unreachableInRow += 1;
    this.#pausedUntil = now + pauseMs;
  }
}
