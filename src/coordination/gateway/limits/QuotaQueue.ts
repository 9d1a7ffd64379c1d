import type { Account } from '../../../state/gateway/index.ts';
import type { QuotaLimiter } from './QuotaLimiter.ts';

/** A request that takes units of its account's quota. */
export interface QuotaRequest {
  readonly id: string;
  /** Incarnation of the gateway that received it. */
  readonly owner: string;
  readonly account: Account;
  /** Tokens or requests, according to the quota's unit. */
  readonly units: number;
  /** Fraction of the quota that this process may grant, from 0 to 1. */
  readonly share: number;
  /** Time left to its deadline, in ms. */
  readonly remainingMs: number;
}

/** What becomes of a request that asks for units. */
export type QuotaAdmission =
  | { readonly _tag: 'charged' }
  /** It is charged as soon as the requests ahead of it are. */
  | { readonly _tag: 'queued' }
  /** `waitMs`: time until the quota would allow it. */
  | { readonly _tag: 'refused'; readonly waitMs: number };

interface Queued<Request extends QuotaRequest> {
  readonly request: Request;
  readonly arrivedAt: number;
}

/** A charged request that had to wait. */
export interface ReleasedRequest<Request extends QuotaRequest> {
  readonly request: Request;
  /** When it asked for its units, in ms. */
  readonly arrivedAt: number;
}

/**
 * Longest wait for the requests ahead. Targets of streams begin at about 400 ms, so that a request that waited can
 * still be on time at a free engine.
 */
const MAXIMUM_WAIT_MS = 300;
/** Part of the time left that a request may wait for its own units, which grow with its size. */
const MAXIMUM_REMAINING_SHARE = 1 / 8;

/**
 * Queues the requests of each account, in order of arrival, for units that its quota allows within moments. Without the
 * queue a bucket that is nearly empty refuses large requests while small ones take all that is refilled, and refuses all
 * requests in the moments after its reset, although the account is within its rate.
 */
export class QuotaQueue<Request extends QuotaRequest> {
  readonly #limiter: QuotaLimiter;

  readonly #queues = new Map<string, Queued<Request>[]>();

  constructor(limiter: QuotaLimiter) {
    this.#limiter = limiter;
  }

  /**
   * Charges a request, queues it, or refuses it if the requests ahead of it use up the quota for too long.
   *
   * @param request - the request; one without a limit is charged at once
   * @param now - present time in ms, monotonic
   */
  offer(request: Request, now: number): QuotaAdmission {
    const { account, units, share, remainingMs } = request;
    const queue = this.#queues.get(account.name) ?? [];
    if (queue.length === 0 && this.#limiter.take(account, units, share, now) === 0)
      return { _tag: 'charged' };
    const ahead = queue.reduce((sum, { request: other }) => sum + other.units, 0);
    const untilTurnMs = this.#limiter.msUntilAvailable(account, ahead, share, now);
    const waitMs = this.#limiter.msUntilAvailable(account, ahead + units, share, now);
    if (untilTurnMs > MAXIMUM_WAIT_MS || waitMs > remainingMs * MAXIMUM_REMAINING_SHARE)
      return { _tag: 'refused', waitMs };
    queue.push({ request, arrivedAt: now });
    this.#queues.set(account.name, queue);
    return { _tag: 'queued' };
  }

  /**
   * Charges the requests whose units are available now.
   *
   * @param now - present time in ms, monotonic
   * @returns the charged requests in order of arrival, by account
   */
  release(now: number): ReleasedRequest<Request>[] {
    const released: ReleasedRequest<Request>[] = [];
    this.#queues.forEach((queue, name) => {
      const blockedAt = queue.findIndex(
        ({ request: { account, units, share } }) =>
          this.#limiter.take(account, units, share, now) > 0,
      );
      released.push(...queue.splice(0, blockedAt < 0 ? queue.length : blockedAt));
      if (queue.length === 0) this.#queues.delete(name);
    });
    return released;
  }

  /** Whether a request waits. */
  has(id: string): boolean {
    return [...this.#queues.values()].some((queue) =>
      queue.some(({ request }) => request.id === id),
    );
  }

  /** Number of waiting requests. */
  get size(): number {
    return [...this.#queues.values()].reduce((sum, queue) => sum + queue.length, 0);
  }

  /** The waiting requests. */
  get requests(): readonly Request[] {
    return [...this.#queues.values()].flatMap((queue) => queue.map(({ request }) => request));
  }

  /** Removes the waiting requests that aren't to be kept. */
  retain(isKept: (request: Request) => boolean): void {
    this.#queues.forEach((queue, name) => {
      const kept = queue.filter(({ request }) => isKept(request));
      if (kept.length === 0) this.#queues.delete(name);
      else this.#queues.set(name, kept);
    });
  }
}
