import type { Logger } from 'pino';
import { PauseDetector, type Pause } from '../../coordination/gateway/index.ts';
import type { GatewayMetrics } from './GatewayMetrics.ts';

/** Collaborators of a pause monitor. */
export interface PauseMonitorOptions {
  /** Called after each pause, so that what expired meanwhile is dropped. */
  readonly onPaused: (pause: Pause) => void;
  /** Asks the store what has changed; resolves once it has answered or can't be reached. */
  readonly refreshView: () => Promise<void>;
  readonly metrics: GatewayMetrics;
  readonly logger: Logger;
  /** Present time in ms, monotonic. */
  readonly now: () => number;
  /** Present Unix time in ms. */
  readonly wallNow: () => number;
}

/** Time in which messages are read that peers sent during a pause. */
export const BACKLOG_MS = 100;
/** Longest time for which requests are held; after it the last known view of the store applies, as in its outages. */
const MAXIMUM_HOLD_MS = 1_000;

/**
 * Holds requests back after a pause of the process, until messages that arrived meanwhile have been read and the store
 * has confirmed the view. What was granted before or during the pause may have expired.
 */
export class PauseMonitor {
  readonly #options: PauseMonitorOptions;

  readonly #detector = new PauseDetector();

  #held: (() => void)[] = [];

  /** Number of pauses, which distinguishes the end of a hold from that of an earlier one. */
  #pauses = 0;

  #isHolding = false;

  constructor(options: PauseMonitorOptions) {
    this.#options = options;
  }

  /**
   * Whether what was granted to this process may be used now. Call it periodically, and right before a request is
   * sent.
   *
   * @returns false after a pause, until requests aren't held any longer
   */
  check(): boolean {
    const pause = this.#detector.observe(this.#options.now(), this.#options.wallNow());
    if (pause !== undefined) this.#begin(pause);
    return !this.#isHolding;
  }

  /**
   * Holds a request back after a pause.
   *
   * @param onReleased - called once the request may go on
   * @returns false if nothing is held, so that it may go on at once
   */
  hold(onReleased: () => void): boolean {
    if (this.check()) return false;
    this.#held.push(onReleased);
    return true;
  }

  #begin(pause: Pause): void {
    const { onPaused, refreshView, metrics, logger } = this.#options;
    this.#pauses += 1;
    this.#isHolding = true;
    const number = this.#pauses;
    metrics.countPause();
    logger.warn({ ...pause }, 'process was paused; requests are held');
    onPaused(pause);
    const backlog = new Promise<void>((resolve) => {
      setTimeout(resolve, BACKLOG_MS);
    });
    const limit = setTimeout(() => this.#release(number, 'limit'), MAXIMUM_HOLD_MS);
    Promise.all([backlog, refreshView()]).then(
      () => {
        clearTimeout(limit);
        this.#release(number, 'refreshed');
      },
      (error: Error) => logger.error({ err: error }, 'view not refreshed after a pause'),
    );
  }

  #release(number: number, reason: 'refreshed' | 'limit'): void {
    if (number !== this.#pauses || !this.#isHolding) return;
    this.#isHolding = false;
    const released = this.#held;
    this.#held = [];
    this.#options.logger.info({ requests: released.length, reason }, 'held requests released');
    released.forEach((release) => release());
  }
}
