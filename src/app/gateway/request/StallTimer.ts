import type { Route } from '../../../state/gateway/index.ts';

/** Shortest time without an event that counts as a stall. */
const MINIMUM_LIMIT_MS = 2_000;
/** Pauses between events are spread around their target; the first event waits for a slot and the prompt as well. */
const TARGETS = 4;
const GAPS = 8;

/**
 * Returns the time without an event after which a stream counts as stalled. It is the time for which callers wait, so
 * that a slow stream isn't cut while its caller still wants it. A route that declares no pause has the limit of its
 * deadline only.
 *
 * @param route - the route, with its target for the first event and for the pauses
 * @returns the time in ms
 */
export const stallLimitMs = ({
  targetLatencyMs,
  targetGapMs,
}: Pick<Route, 'targetLatencyMs' | 'targetGapMs'>): number =>
  Math.max(MINIMUM_LIMIT_MS, TARGETS * targetLatencyMs, GAPS * targetGapMs);

/** Runs while a stream should bring an event. Bytes that complete no event don't restart it. */
export class StallTimer {
  readonly #limitMs: number;

  readonly #onStalled: () => void;

  #timer: NodeJS.Timeout | undefined;

  /**
   * @param limitMs - time without an event after which the stream is stalled
   * @param onStalled - called then, once
   */
  constructor(limitMs: number, onStalled: () => void) {
    this.#limitMs = limitMs;
    this.#onStalled = onStalled;
  }

  /** Starts, or starts again after an event or once the caller reads again. */
  restart(): void {
    if (this.#timer === undefined) this.#timer = setTimeout(this.#onStalled, this.#limitMs);
    else this.#timer.refresh();
  }

  /** Stops at the end of the stream, and while its caller reads too slowly. */
  stop(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
  }
}
