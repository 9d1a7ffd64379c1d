import type { Logger } from 'pino';
import { EndpointReach } from '../../../coordination/gateway/index.ts';
import type { EndpointRecord } from '../../../state/gateway/index.ts';
import type { ConnectionPool } from '../../../transport/http/index.ts';
import type { GatewayMetrics } from '../GatewayMetrics.ts';

/** What a failed connection means: the endpoint is at fault, or this gateway reaches none at all. */
export type ReachVerdict = 'reaching' | 'isolated';

/** Collaborators of a reach monitor. */
export interface ReachMonitorOptions {
  readonly pool: Pick<ConnectionPool, 'connect' | 'release'>;
  /** Returns all endpoints that are ready. */
  readonly listEndpoints: () => readonly EndpointRecord[];
  /** Returns the id of an endpoint that has kept a request waiting in silence; undefined if none has. */
  readonly findSilentEndpoint: (now: number) => string | undefined;
  /** Called when this gateway ceases to reach endpoints, or reaches some again. */
  readonly onChanged: (isIsolated: boolean) => void;
  readonly metrics: GatewayMetrics;
  readonly logger: Logger;
  /** Present time in ms, monotonic. */
  readonly now: () => number;
}

/** A tick that is later than this shows that the process stood still, so that its timeouts tell nothing. */
const STALL_MS = 150;

/**
 * Finds out whether this gateway reaches endpoints. Nothing is checked as long as they answer; a failed
 * connection or a common silence makes it open connections to others. No request is sent for it.
 */
export class ReachMonitor {
  readonly #options: ReachMonitorOptions;

  readonly #reach = new EndpointReach();

  /** Callers that wait for the check in progress. */
  #waiting: ((verdict: ReachVerdict) => void)[] = [];

  #isChecking = false;

  #tickedAt: number;

  #stalledAt = Number.NEGATIVE_INFINITY;

  constructor(options: ReachMonitorOptions) {
    this.#options = options;
    this.#tickedAt = options.now();
  }

  /** Whether this gateway reaches no endpoint, as far as it knows. */
  get isIsolated(): boolean {
    return this.#reach.isIsolated;
  }

  /** Records that bytes arrived from an endpoint. */
  recordBytes(): void {
    this.#reach.recordBytes(this.#options.now());
  }

  /**
   * Tells whether an endpoint that couldn't be reached is at fault. Checks that are asked for while another
   * is in progress share its verdict.
   *
   * @param suspect - id of the endpoint
   * @param onVerdict - called once, possibly before this call returns
   */
  check(suspect: string, onVerdict: (verdict: ReachVerdict) => void): void {
    if (this.isIsolated) {
      onVerdict('isolated');
      return;
    }
    this.#waiting.push(onVerdict);
    this.#startCheck(suspect);
  }

  /** Looks for silence, and whether endpoints are reached again. Call it periodically. */
  tick(): void {
    const now = this.#options.now();
    if (now - this.#tickedAt > STALL_MS) this.#stalledAt = now;
    this.#tickedAt = now;
    if (this.#isChecking) return;
    if (this.#reach.isRecheckDue(now)) {
      this.#startCheck(undefined);
      return;
    }
    if (!this.#reach.isSilent(now)) return;
    const silent = this.#options.findSilentEndpoint(now);
    if (silent !== undefined) this.#startCheck(undefined, silent);
  }

  /**
   * Opens connections to some endpoints.
   *
   * @param suspect - id of an endpoint that is left out because a connection to it failed
   * @param silent - id of an endpoint that is tried first
   * @param mayRepeat - whether the check is repeated if the process stood still meanwhile
   */
  #startCheck(suspect: string | undefined, silent?: string, mayRepeat = true): void {
    if (this.#isChecking) return;
    const { now, listEndpoints } = this.#options;
    const records = listEndpoints();
    const first = records.filter(({ id }) => id === silent);
    const targets = first.length > 0 ? first : this.#reach.selectTargets(records, suspect);
    const startedAt = now();
    this.#isChecking = true;
    if (targets.length === 0) {
      this.#settle(true, targets);
      return;
    }
    let failures = 0;
    let isSettled = false;
    targets.forEach(({ address }) => {
      const url = `http://${address}`;
      this.#options.pool.connect(url, true, (outcome) => {
        if (outcome._tag === 'connected') {
          this.#options.pool.release(url, outcome.socket);
          if (!isSettled) this.#settle(true, targets);
          isSettled = true;
          return;
        }
        failures += 1;
        if (failures < targets.length || isSettled) return;
        isSettled = true;
        this.#onUnreached(targets, startedAt, silent, mayRepeat);
      });
    });
  }

  #onUnreached(
    targets: readonly EndpointRecord[],
    startedAt: number,
    silent: string | undefined,
    mayRepeat: boolean,
  ): void {
    const wasStalled =
      this.#stalledAt >= startedAt || this.#options.now() - this.#tickedAt > STALL_MS;
    const isRepeated = wasStalled && mayRepeat;
    if (!isRepeated && silent === undefined) {
      this.#settle(false, targets);
      return;
    }
    // The silent endpoint may have failed alone, and timeouts of a process that stood still tell nothing.
    this.#isChecking = false;
    this.#startCheck(silent, undefined, silent !== undefined);
  }

  #settle(isReached: boolean, targets: readonly EndpointRecord[]): void {
    const { now, logger, onChanged, metrics } = this.#options;
    this.#isChecking = false;
    const { isolatedSince } = this.#reach;
    const change = this.#reach.recordCheck(isReached, now());
    const checked = targets.map(({ id }) => id);
    switch (change) {
      case 'none':
        break;
      case 'isolated':
        metrics.countIsolation();
        logger.warn({ checked }, 'no endpoint is reached');
        onChanged(true);
        break;
      case 'regained':
        logger.info(
          { checked, afterMs: Math.round(now() - (isolatedSince ?? now())) },
          'endpoints are reached again',
        );
        onChanged(false);
        break;
      default:
        change satisfies never;
    }
    const waiting = this.#waiting.splice(0);
    waiting.forEach((onVerdict) => onVerdict(this.isIsolated ? 'isolated' : 'reaching'));
  }
}
