import type { Logger } from 'pino';
import type { EndpointLimits } from '../../coordination/gateway/index.ts';
import type { StatedLimit } from '../../protocol/gateway/index.ts';
import type { EndpointRecord } from '../../state/gateway/index.ts';
import { endpointStartOf } from './endpointStartOf.ts';

/** Collaborators of an endpoint limit monitor. */
export interface EndpointLimitMonitorOptions {
  readonly limits: EndpointLimits;
  readonly logger: Logger;
  /** Present time in ms, monotonic. */
  readonly now: () => number;
}

/** Follows the rates of requests that endpoints state in their answers. */
export class EndpointLimitMonitor {
  readonly #options: EndpointLimitMonitorOptions;

  constructor(options: EndpointLimitMonitorOptions) {
    this.#options = options;
  }

  /**
   * Records what an answer of an endpoint said about its limit.
   *
   * @param record - the endpoint
   * @param limit - the limit that it stated
   * @param sentAt - when the request was sent, in ms, monotonic
   */
  observe(record: EndpointRecord, limit: StatedLimit, sentAt: number): void {
    if (limit._tag === 'unreadable') {
      this.#options.logger.warn({ endpoint: record.id }, 'endpoint states an unreadable limit');
      return;
    }
    const requestsPerSecond = limit._tag === 'stated' ? limit.requestsPerSecond : undefined;
    const { limits, logger, now } = this.#options;
    const changed = limits.observe({
      endpoint: endpointStartOf(record),
      requestsPerSecond,
      sentAt,
      answeredAt: now(),
    });
    if (!changed) return;
    const { id, service, address } = record;
    logger.info({ service, endpoint: id, address, requestsPerSecond }, 'endpoint limit changed');
  }

  /** Forgets limits of endpoints that are gone. Call it periodically. */
  tick(): void {
    this.#options.limits.evict(this.#options.now());
  }
}
