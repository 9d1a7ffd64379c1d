import type { Logger } from 'pino';
import { EndpointExclusions, type EndpointExclusion } from '../../../coordination/gateway/index.ts';
import type { EndpointStatement } from '../../../protocol/gateway/index.ts';
import type { PlacementTicket } from '../../../protocol/peer/GatewayMessages.ts';
import type { PeerMessage } from '../../../protocol/peer/PeerMessage.ts';
import { endpointStartOf, type EndpointRecord } from '../../../state/gateway/index.ts';
import type { PeerGroup } from '../PeerGroup.ts';

/** Collaborators of an exclusion monitor. */
export interface ExclusionMonitorOptions {
  /** Returns the peer group, which is created later than the monitor. */
  readonly group: () => Pick<PeerGroup, 'broadcast'>;
  readonly logger: Logger;
  /** Present time in ms, monotonic. */
  readonly now: () => number;
}

/**
 * Follows what endpoints say to this gateway alone, that they want rest from it, and what they say to any gateway, that
 * they leave.
 */
export class ExclusionMonitor {
  readonly #options: ExclusionMonitorOptions;

  readonly #exclusions = new EndpointExclusions();

  constructor(options: ExclusionMonitorOptions) {
    this.#options = options;
  }

  /** Number of endpoints to which this gateway sends no requests for now. */
  get count(): number {
    return this.#exclusions.count(this.#options.now());
  }

  /**
   * Records what an endpoint stated in an answer.
   *
   * @param record - the endpoint
   * @param statements - what it stated
   */
  observe(record: EndpointRecord, statements: readonly EndpointStatement[]): void {
    const { logger } = this.#options;
    const now = this.#options.now();
    const start = endpointStartOf(record);
    const endpoint = record.id;
    statements.forEach((statement) => {
      switch (statement._tag) {
        case 'rest':
          this.#exclusions.recordRest(start, statement.forMs, now);
          logger.info({ endpoint, forMs: statement.forMs }, 'endpoint wants rest');
          return;
        case 'leaving':
          if (!this.#exclusions.recordLeaving(start, now)) return;
          logger.info({ endpoint, address: record.address }, 'endpoint says that it leaves');
          this.#options.group().broadcast({ _tag: 'endpointsLeaving', endpoints: [start] });
          return;
        case 'unreadable':
          logger.warn({ endpoint, header: statement.name }, 'endpoint states something unreadable');
          return;
        case 'limit':
        case 'brittle':
          return;
        default:
          statement satisfies never;
      }
    });
  }

  /**
   * Tells all gateways that an endpoint leaves, though the store lists it as ready: some may not have seen it drain.
   *
   * @param record - the endpoint
   */
  reportDrained(record: EndpointRecord): void {
    const start = endpointStartOf(record);
    if (this.#exclusions.recordLeaving(start, this.#options.now()))
      this.#options.group().broadcast({ _tag: 'endpointsLeaving', endpoints: [start] });
  }

  /**
   * Processes what peers have heard of leaving endpoints; other messages are ignored.
   *
   * @param message - the decoded message
   */
  handle(message: PeerMessage): void {
    if (message._tag !== 'endpointsLeaving') return;
    const { logger, now } = this.#options;
    message.endpoints
      .filter((start) => this.#exclusions.recordLeaving(start, now()))
      .forEach((start) => logger.info({ start }, 'endpoint leaves, as a peer says'));
  }

  /** Returns why this gateway must not send requests to an endpoint; undefined if it may. */
  find(record: EndpointRecord): EndpointExclusion | undefined {
    if (this.#exclusions.isEmpty) return undefined;
    return this.#exclusions.find(endpointStartOf(record), this.#options.now());
  }

  /** Returns the endpoints to which this gateway may send requests. */
  selectIncluded(records: readonly EndpointRecord[]): readonly EndpointRecord[] {
    if (this.#exclusions.isEmpty) return records;
    return records.filter((record) => this.find(record) === undefined);
  }

  /** Returns the shortest time in ms to the end of a rest of these endpoints; undefined if none is at rest. */
  msUntilRested(records: readonly EndpointRecord[]): number | undefined {
    const now = this.#options.now();
    const restMs = records
      .map((record) => this.find(record))
      .flatMap((exclusion) => (exclusion?._tag === 'resting' ? [exclusion.until - now] : []));
    return restMs.length === 0 ? undefined : Math.min(...restMs);
  }

  /** Lists the excluded ones of some endpoints, in the form in which tickets carry them. */
  listExcluded(records: readonly EndpointRecord[]): NonNullable<PlacementTicket['excluded']> {
    if (this.#exclusions.isEmpty) return [];
    const now = this.#options.now();
    return records.flatMap((record) => {
      const exclusion = this.find(record);
      if (exclusion === undefined) return [];
      return exclusion._tag === 'leaving'
        ? [{ endpoint: record.id }]
        : [{ endpoint: record.id, forMs: exclusion.until - now }];
    });
  }
}
