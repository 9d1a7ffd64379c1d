import type { Logger } from 'pino';
import type { EndpointLimits, LimitObservation } from '../../../coordination/gateway/index.ts';
import type { EndpointStatement } from '../../../protocol/gateway/index.ts';
import type { PeerMessage } from '../../../protocol/peer/PeerMessage.ts';
import { endpointStartOf, type EndpointRecord } from '../../../state/gateway/index.ts';
import type { PeerGroup } from '../PeerGroup.ts';
import { SchedulerExchange } from './SchedulerExchange.ts';

/** Collaborators of an endpoint limit monitor. */
export interface EndpointLimitMonitorOptions {
  /** Returns the peer group, which is created later than the monitor. */
  readonly group: () => PeerGroup;
  readonly limits: EndpointLimits;
  /** Called when an endpoint begins or ceases to be limited, or has another limit. */
  readonly onChanged: () => void;
  readonly logger: Logger;
  /** Present time in ms, monotonic. */
  readonly now: () => number;
}

/** Interval at which a limit that stays the same is confirmed to the scheduler. */
const CONFIRMATION_INTERVAL_MS = 500;
/** Minimum interval between two messages of the scheduler to all, as a limit may change with each answer. */
const RELAY_INTERVAL_MS = 200;
/** Most limits in one message, the newest ones. */
const MAXIMUM_LIMITS_PER_MESSAGE = 256;

interface LimitReport extends LimitObservation {
  readonly at: number;
}

const toReport = (observation: LimitObservation): LimitReport => ({
  ...observation,
  at: observation.answeredAt,
});

/**
 * Follows the rates of requests and of rejections that endpoints state in their answers. Each gateway reports what its own
 * answers said to the scheduler, which counts the requests of all and tells all the limits.
 */
export class EndpointLimitMonitor {
  readonly #options: EndpointLimitMonitorOptions;

  readonly #exchange: SchedulerExchange<LimitReport>;

  /** Observations that are to be sent, the newest of each endpoint. */
  readonly #unsent = new Map<string, LimitObservation>();

  readonly #reportedAt = new Map<string, number>();

  #relayedAt = Number.NEGATIVE_INFINITY;

  constructor(options: EndpointLimitMonitorOptions) {
    this.#options = options;
    const encode = (observations: readonly LimitObservation[], now: number): PeerMessage => ({
      _tag: 'endpointLimits',
      limits: observations
        .slice(-MAXIMUM_LIMITS_PER_MESSAGE)
        .map(({ endpoint, requestsPerSecond, rejectionsPerSecond, sentAt, answeredAt }) => ({
          endpoint,
          ...(requestsPerSecond !== undefined && { requestsPerSecond }),
          ...(rejectionsPerSecond !== undefined && { rejectionsPerSecond }),
          sentAgeMs: now - sentAt,
          answeredAgeMs: now - answeredAt,
        })),
    });
    this.#exchange = new SchedulerExchange<LimitReport>({
      group: options.group,
      now: options.now,
      encodeReports: encode,
      encodeVerdicts: (now) => {
        const observations = options.limits.list();
        return observations.length === 0 ? undefined : encode(observations, now);
      },
    });
  }

  /**
   * Records what an answer of an endpoint said about the requests that it bears.
   *
   * @param record - the endpoint
   * @param statements - what it stated
   * @param isSigned - whether the endpoint itself gave the answer, so that what it doesn't state has ended
   * @param sentAt - when the request was sent, in ms, monotonic
   */
  observe(
    record: EndpointRecord,
    statements: readonly EndpointStatement[],
    isSigned: boolean,
    sentAt: number,
  ): void {
    const { limits, logger, now } = this.#options;
    const answeredAt = now();
    const endpoint = endpointStartOf(record);
    const stated: { requestsPerSecond?: number; rejectionsPerSecond?: number } = {};
    statements.forEach((statement) => {
      switch (statement._tag) {
        case 'limit':
          stated.requestsPerSecond = statement.requestsPerSecond;
          return;
        case 'brittle':
          stated.rejectionsPerSecond = statement.rejectionsPerSecond;
          return;
        case 'unreadable':
        case 'rest':
        case 'leaving':
          return;
        default:
          statement satisfies never;
      }
    });
    const statesBound = Object.keys(stated).length > 0;
    if (!statesBound && (!isSigned || statements.some(({ _tag }) => _tag === 'unreadable'))) return;
    const observation = { endpoint, requestsPerSecond: undefined, ...stated, sentAt, answeredAt };
    const changed = limits.observe(observation, answeredAt);
    if (changed) {
      const { id, service, address } = record;
      logger.info({ service, endpoint: id, address, ...stated }, 'endpoint limit changed');
      this.#options.onChanged();
    }
    const confirms = statesBound && !this.#exchange.isScheduler;
    if (changed || (confirms && this.#isConfirmationDue(endpoint, answeredAt)))
      this.#unsent.set(endpoint, observation);
  }

  /**
   * Processes the messages of this protocol; others are ignored.
   *
   * @param message - the decoded message
   */
  handle(message: PeerMessage): void {
    if (message._tag !== 'endpointLimits') return;
    const now = this.#options.now();
    const changed = message.limits
      .map(({ endpoint, requestsPerSecond, rejectionsPerSecond, sentAgeMs, answeredAgeMs }) => ({
        endpoint,
        requestsPerSecond,
        rejectionsPerSecond,
        sentAt: now - sentAgeMs,
        answeredAt: now - answeredAgeMs,
      }))
      .filter((observation) => this.#options.limits.observe(observation, now));
    if (changed.length === 0) return;
    changed.forEach(({ endpoint, requestsPerSecond, rejectionsPerSecond }) =>
      this.#options.logger.info(
        { endpoint, requestsPerSecond, rejectionsPerSecond },
        'endpoint limit learned',
      ),
    );
    if (this.#exchange.isScheduler)
      changed.forEach((observation) => this.#unsent.set(observation.endpoint, observation));
    this.#options.onChanged();
  }

  /** Sends what is due, and forgets limits of endpoints that are gone. Call it periodically. */
  tick(): void {
    const now = this.#options.now();
    this.#sendUnsent(now);
    this.#exchange.tick();
    this.#options.limits.evict(now);
    this.#reportedAt.forEach((at, endpoint) => {
      if (now - at > CONFIRMATION_INTERVAL_MS) this.#reportedAt.delete(endpoint);
    });
  }

  #sendUnsent(now: number): void {
    const { isScheduler } = this.#exchange;
    if (this.#unsent.size === 0 || (isScheduler && now - this.#relayedAt < RELAY_INTERVAL_MS))
      return;
    const reports = [...this.#unsent.values()].map(toReport);
    this.#unsent.clear();
    reports.forEach(({ endpoint }) => this.#reportedAt.set(endpoint, now));
    if (isScheduler) {
      this.#relayedAt = now;
      this.#exchange.relay(reports);
    } else this.#exchange.report(reports);
  }

  #isConfirmationDue(endpoint: string, now: number): boolean {
    const reportedAt = this.#reportedAt.get(endpoint) ?? Number.NEGATIVE_INFINITY;
    return now - reportedAt >= CONFIRMATION_INTERVAL_MS;
  }
}
