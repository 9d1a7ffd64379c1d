/** How much a service may be burdened with repeats. */
export interface RetryBudgetOptions {
  /** Repeats allowed as a share of the requests of a window. */
  readonly ratio: number;
  /** Repeats allowed besides, in a window, by all processes together. */
  readonly slack: number;
  readonly windowMs: number;
}

interface ServiceHistory {
  readonly requests: number[];
  readonly retries: number[];
}

/** Keeps room for what other processes count a little differently. */
const USED_SHARE = 0.8;

const dropBefore = (times: number[], limit: number): void => {
  let count = 0;
  while (count < times.length && (times[count] ?? 0) < limit) count += 1;
  if (count > 0) times.splice(0, count);
};

/**
 * Bounds repeats by one process so that the sum over all keeps the bound: each allows a share of its
 * own requests, and an equal part of the slack.
 */
export class RetryBudget {
  readonly #options: RetryBudgetOptions;

  readonly #services = new Map<string, ServiceHistory>();

  constructor(options: RetryBudgetOptions) {
    this.#options = options;
  }

  /** Counts a request of a caller. */
  countRequest(service: string, now: number): void {
    this.#history(service, now).requests.push(now);
  }

  /**
   * Takes leave to send a request once more.
   *
   * @param service - where it would go
   * @param members - processes that share the slack
   * @param now - present time in ms
   * @returns whether it may be sent; it is counted then
   */
  tryRepeat(service: string, members: number, now: number): boolean {
    const { ratio, slack } = this.#options;
    const { requests, retries: repeats } = this.#history(service, now);
    const allowed = USED_SHARE * (ratio * requests.length + slack / Math.max(1, members));
    if (repeats.length + 1 > allowed) return false;
    repeats.push(now);
    return true;
  }

  #history(service: string, now: number): ServiceHistory {
    const history = this.#services.get(service) ?? { requests: [], retries: [] };
    this.#services.set(service, history);
    dropBefore(history.requests, now - this.#options.windowMs);
    dropBefore(history.retries, now - this.#options.windowMs);
    return history;
  }
}
