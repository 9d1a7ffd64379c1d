import { RunningLogMean } from '../../scheduling/RunningLogMean.ts';

/** Assumed until the first samples, which replace it within a few requests. */
const INITIAL_FACTOR = 2;

/** By how much cold engines are slower than the estimates of their speed, which hold for warm ones. */
export class ColdSlowdown {
  readonly #logRatio = new RunningLogMean();

  /** Time that a cold engine takes, relative to a warm one; at least 1. */
  get factor(): number {
    return Math.max(1, INITIAL_FACTOR * Math.exp(this.#logRatio.value));
  }

  /**
   * Records a time to first token of a cold engine.
   *
   * @param firstTokenMs - the measured time, in ms
   * @param expectedMs - time that is expected of the engine while it is warm, in ms
   */
  recordFirstToken(firstTokenMs: number, expectedMs: number): void {
    if (firstTokenMs <= 0 || expectedMs <= 0) return;
    this.#logRatio.observe(Math.log(firstTokenMs / expectedMs / INITIAL_FACTOR), 1);
  }
}
