/** Bounds of the retries to one service, over all processes together. */
export interface RetryBudgetOptions {
  /** Retries allowed per request within a window. */
  readonly ratio: number;
  /** Retries allowed in addition to the ratio, per window. */
  readonly slack: number;
  /** Length of the sliding window, in ms. */
  readonly windowMs: number;
}

/** Times of the requests and retries within the window, in ms and ascending. */
interface ServiceHistory {
  readonly requests: number[];
  readonly retries: number[];
}

/**
 * Fraction of the budget that is used; the rest covers differences between the processes' counts.
 */
const USABLE_FRACTION = 0.8;

const evictBefore = (times: number[], earliest: number): void => {
  let count = 0;
  while (count < times.length && (times[count] ?? 0) < earliest) count += 1;
  if (count > 0) times.splice(0, count);
};

/**
 * Limits the retries of one process so that the sum over all processes stays within the bounds: each
 * process allows the ratio of its own requests and an equal part of the slack.
 */
export class RetryBudget {
  readonly #options: RetryBudgetOptions;

  /** When the slack may be used, in ms. */
  readonly #slackFrom: number;

  readonly #services = new Map<string, ServiceHistory>();

  /**
   * @param options - the bounds
   * @param restartedAt - when this process started, in ms, if a process before it may have used the slack of the same
   *   window; undefined if there was none
   */
  constructor(options: RetryBudgetOptions, restartedAt: number | undefined) {
    this.#options = options;
    this.#slackFrom =
      restartedAt === undefined ? Number.NEGATIVE_INFINITY : restartedAt + options.windowMs;
  }

  /** Counts a caller's request to a service. */
  recordRequest(service: string, now: number): void {
    this.#history(service, now).requests.push(now);
  }

  /**
   * Takes one retry from the budget if it allows one.
   *
   * @param service - the service that the retry is sent to
   * @param memberCount - number of processes that share the slack
   * @param now - current time, in ms
   * @returns whether the retry is allowed; a retry that isn't allowed is not counted
   */
  tryRetry(service: string, memberCount: number, now: number): boolean {
    const { ratio, slack } = this.#options;
    const { requests, retries } = this.#history(service, now);
    const slackShare = now < this.#slackFrom ? 0 : slack / Math.max(1, memberCount);
    const allowed = USABLE_FRACTION * (ratio * requests.length + slackShare);
    if (retries.length + 1 > allowed) return false;
    retries.push(now);
    return true;
  }

  /** Forgets all requests, after a time that the clock didn't count; retries still count. */
  forgetRequests(): void {
    this.#services.forEach(({ requests }) => requests.splice(0));
  }

  #history(service: string, now: number): ServiceHistory {
    const history = this.#services.get(service) ?? { requests: [], retries: [] };
    this.#services.set(service, history);
    evictBefore(history.requests, now - this.#options.windowMs);
    evictBefore(history.retries, now - this.#options.windowMs);
    return history;
  }
}
