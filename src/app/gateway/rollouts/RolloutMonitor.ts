import type { Logger } from 'pino';
import {
  RolloutDriver,
  type RolloutGate,
  type RolloutOutcome,
} from '../../../coordination/gateway/index.ts';
import type { StatusStore, WireAdapter } from '../../../protocol/gateway/index.ts';
import type { PeerMessage } from '../../../protocol/peer/PeerMessage.ts';
import type { RolloutReport, RolloutStep } from '../../../protocol/peer/RolloutMessages.ts';
import {
  endpointStartOf,
  type EndpointRecord,
  type GatewayBounds,
} from '../../../state/gateway/index.ts';
import type { GatewayMetrics } from '../GatewayMetrics.ts';
import type { PeerGroup } from '../PeerGroup.ts';
import { RolloutStore, type OrdersRead } from './RolloutStore.ts';
import { firstStartOf, slotsByVersion } from './versionFacts.ts';
import { VersionTraffic } from './VersionTraffic.ts';

/** Collaborators of a roll-out monitor. */
export interface RolloutMonitorOptions {
  /** Returns the peer group, which is created later than the monitor. */
  readonly group: () => PeerGroup;
  readonly gate: RolloutGate;
  /** Absent where the deployment has no roll-outs. */
  readonly bounds: GatewayBounds['rollouts'];
  readonly store: StatusStore;
  readonly wire: WireAdapter;
  readonly listEndpoints: () => readonly EndpointRecord[];
  readonly isEngineService: (service: string) => boolean;
  /** Predicts the time of a request at an engine of a service, by the estimates that the scheduler has now. */
  readonly makePrediction: (
    service: string,
  ) => (promptTokens: number, outputTokens: number) => number;
  readonly metrics: GatewayMetrics;
  readonly logger: Logger;
  /** Present time in ms, monotonic. */
  readonly now: () => number;
  /** Time of day in Unix ms. */
  readonly timeOfDay: () => number;
  readonly sleep: (ms: number) => Promise<unknown>;
}

/** How an attempt at an endpoint ended, for the evidence on its version. */
export interface AttemptEnd {
  readonly record: EndpointRecord;
  readonly route: string;
  /** `other` is no evidence about the version, for example if the endpoint did not run the request. */
  readonly outcome: 'served' | 'failed' | 'broken' | 'cancelled' | 'other';
  readonly totalMs: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** Reports that are kept for a service that this process may come to drive, and for how long. */
const MAXIMUM_EARLY_REPORTS = 512;
const EARLY_REPORT_MS = 5_000;
/**
 * Interval of the reports to the driver, and of its decisions. It is shorter while a target gets all requests, since a
 * version that is bad only then uses up the permitted exposure within about a second.
 */
const REPORT_INTERVAL_MS = 250;
const CUTOVER_REPORT_INTERVAL_MS = 100;

/**
 * Carries out canary roll-outs. Each gateway reports what it sent to the versions of a service that has two, and how
 * it ended; the scheduler drives the roll-out and notifies all gateways of what they may send.
 */
export class RolloutMonitor {
  readonly #options: RolloutMonitorOptions;

  readonly gate: RolloutGate;

  readonly #traffic = new VersionTraffic();

  readonly #store: RolloutStore;

  readonly #drivers = new Map<string, RolloutDriver>();

  /** Kind of step, and state to be written, that were logged last for each service. */
  readonly #logged = new Map<string, string>();

  /** Reports of services that this process doesn't drive yet; others may see a new driver before itself does. */
  #early: { readonly from: string; readonly report: RolloutReport; readonly at: number }[] = [];

  #leader = '';

  #reportedAt = Number.NEGATIVE_INFINITY;

  constructor(options: RolloutMonitorOptions) {
    this.#options = options;
    this.gate = options.gate;
    this.#store = new RolloutStore({
      ...options,
      onOrders: (orders, isWatched) => this.#onOrders(orders, isWatched),
    });
  }

  /** Follows the versions of the ready endpoints. Call it when they have changed. */
  updateEndpoints(): void {
    this.gate.observe(this.#options.listEndpoints(), this.#options.now());
  }

  /** Whether a request may be sent to an endpoint that was selected earlier. */
  maySend(record: EndpointRecord): boolean {
    return this.gate.maySend(record, this.#options.now());
  }

  /** Counts a request that is sent to an endpoint. */
  recordStart({ service, version }: EndpointRecord): void {
    if (this.#options.bounds !== undefined) this.#traffic.recordStart(service, version);
  }

  /** Records the end of a request to an endpoint. */
  recordEnd({ record, route, outcome, totalMs, promptTokens, outputTokens }: AttemptEnd): void {
    const { bounds, metrics, now } = this.#options;
    if (bounds === undefined) return;
    const { service, version } = record;
    this.#traffic.recordEnd(service, version);
    if (this.gate.mixedSince(service) === undefined) return;
    metrics.countVersionRequest(service, version, outcome);
    if (outcome === 'other') return;
    this.#traffic.observe(
      service,
      {
        route,
        version,
        endpoint: endpointStartOf(record),
        outcome,
        totalMs,
        promptTokens,
        outputTokens,
        ...(record.coldMs > 0 && { cold: true }),
      },
      now(),
    );
  }

  /**
   * Processes the messages of this protocol; others are ignored.
   *
   * @param from - incarnation of the sender
   * @param message - the decoded message
   */
  handle(from: string, message: PeerMessage): void {
    if (message._tag === 'rolloutReports')
      message.reports.forEach((report) => this.#observeReport(from, report));
    if (message._tag === 'rolloutSteps' && from === this.#options.group().leader())
      message.steps.forEach((step) => this.#apply(step));
  }

  /** Reports, and drives as the scheduler. Call it periodically. */
  tick(): void {
    const { bounds, now, group } = this.#options;
    if (bounds === undefined) return;
    const at = now();
    const leader = group().leader();
    const services = this.gate.mixedServices;
    if (leader !== this.#leader) {
      this.#leader = leader;
      this.#drivers.clear();
      this.#traffic.resend(at);
    }
    const isDriver = leader === group().incarnation && services.length > 0;
    this.#store.setFollowing(isDriver);
    this.#keepDrivers(isDriver ? services : [], bounds);
    const isCutover = services.some(
      (service) => this.gate.stepOf(service, at)?.step._tag === 'cutover',
    );
    const intervalMs = isCutover ? CUTOVER_REPORT_INTERVAL_MS : REPORT_INTERVAL_MS;
    if (at - this.#reportedAt < intervalMs) return;
    this.#reportedAt = at;
    this.#traffic.retain(new Set(services));
    if (services.length === 0) return;
    this.#report(services, at);
    if (isDriver) this.#drive(at);
  }

  /** Ends the calls of the store. */
  stop(): void {
    this.#store.setFollowing(false);
    this.#drivers.clear();
  }

  #keepDrivers(
    services: readonly string[],
    bounds: NonNullable<RolloutMonitorOptions['bounds']>,
  ): void {
    [...this.#drivers.keys()]
      .filter((service) => !services.includes(service))
      .forEach((service) => {
        this.#drivers.delete(service);
        this.#logged.delete(service);
        this.#options.logger.info({ service }, 'roll-out no longer driven');
      });
    services
      .filter((service) => !this.#drivers.has(service))
      .forEach((service) => {
        const { now, isEngineService, makePrediction, listEndpoints, timeOfDay } = this.#options;
        const mixedSince = this.gate.mixedSince(service) ?? now();
        const driver = new RolloutDriver({
          service,
          isEngine: isEngineService(service),
          bounds,
          mixedSince,
          startedMsAgo: (version) => {
            const startedAt = firstStartOf(listEndpoints(), service, version);
            return startedAt === undefined ? undefined : timeOfDay() - startedAt;
          },
          predictMs: makePrediction(service),
        });
        this.#drivers.set(service, driver);
        this.#early
          .filter(({ report, at }) => report.service === service && now() - at < EARLY_REPORT_MS)
          .forEach(({ from, report, at }) => driver.observeReport(from, report, at));
        this.#early = this.#early.filter(({ report }) => report.service !== service);
        this.#options.logger.info(
          {
            service,
            versions: Object.fromEntries(slotsByVersion(this.#options.listEndpoints(), service)),
            before: this.gate.baseVersion(service),
            sinceMs: Math.round(now() - mixedSince),
          },
          'service has two versions',
        );
      });
  }

  #report(services: readonly string[], now: number): void {
    const reports = services.map((service): RolloutReport => {
      const known = this.gate.stepOf(service, now);
      const step = known?.step;
      const hasAge = step?._tag === 'trial' || step?._tag === 'cutover';
      return {
        ...this.#traffic.take(service, now),
        condemned: this.gate.condemnedVersions(service),
        ...(step && { step: step._tag }),
        ...(known &&
          hasAge && {
            order: { target: step.target, ageMs: step.orderAgeMs + known.ageMs },
          }),
      };
    });
    const group = this.#options.group();
    if (this.#leader === group.incarnation)
      reports.forEach((report) => this.#observeReport(this.#leader, report));
    else group.send(this.#leader, { _tag: 'rolloutReports', reports });
  }

  #observeReport(from: string, report: RolloutReport): void {
    const at = this.#options.now();
    const driver = this.#drivers.get(report.service);
    if (driver !== undefined) driver.observeReport(from, report, at);
    else if (this.#options.bounds !== undefined)
      this.#early = [...this.#early.slice(1 - MAXIMUM_EARLY_REPORTS), { from, report, at }];
  }

  #onOrders(read: OrdersRead, isWatched: boolean): void {
    const { logger, now } = this.#options;
    const at = now();
    const services = read._tag === 'one' ? [read.service] : [...this.#drivers.keys()];
    services.forEach((service) => {
      const driver = this.#drivers.get(service);
      const order = read._tag === 'one' ? read.order : read.orders.get(service);
      const before = driver?.order;
      driver?.observeOrder(order, isWatched, at);
      if (driver === undefined || order?.revision !== before?.revision)
        logger.info({ service, order, isDriven: driver !== undefined }, 'roll-out order read');
    });
    // A judgement isn't delayed by the interval where the order was waited for.
    if (services.some((service) => this.#drivers.has(service))) this.#drive(at);
  }

  #drive(now: number): void {
    const { group, logger } = this.#options;
    const members = group()
      .liveMembers()
      .map(({ incarnation }) => incarnation);
    const steps = [...this.#drivers].map(([service, driver]) => {
      const outcome = driver.decide(
        {
          members,
          slotsByVersion: slotsByVersion(this.#options.listEndpoints(), service),
          baseVersion: this.gate.baseVersion(service),
          isStoreReached: this.#store.isReached,
        },
        now,
      );
      this.#log(service, outcome);
      if (outcome.write !== undefined) this.#store.write({ service, ...outcome.write });
      return outcome.step;
    });
    if (steps.length === 0) return;
    steps.forEach((step) => this.#apply(step));
    group().broadcast({ _tag: 'rolloutSteps', steps });
    logger.trace({ steps }, 'roll-out steps sent');
  }

  #log(
    service: string,
    { step, detail, write, orderAgeMs, sent, responses }: RolloutOutcome,
  ): void {
    const key = `${step._tag} ${write?.state ?? ''}`;
    if (this.#logged.get(service) === key) return;
    this.#logged.set(service, key);
    this.#options.logger.info(
      {
        service,
        step: step._tag,
        ...('target' in step && { target: step.target }),
        ...('share' in step && { share: step.share }),
        reason: detail,
        write: write?.state,
        orderAgeMs: orderAgeMs === undefined ? undefined : Math.round(orderAgeMs),
        sent,
        responses,
      },
      'roll-out step decided',
    );
  }

  #apply(step: RolloutStep): void {
    const { logger, metrics, now, group } = this.#options;
    const at = now();
    const before = this.gate.stepOf(step.service, at)?.step._tag;
    if (!this.gate.apply(step, at)) return;
    // What was sent without an order doesn't count. Another driver's first step comes after one of its predecessor.
    if (step._tag === 'trial' && (before === undefined || before === 'unordered'))
      this.#traffic.restartCounts(step.service);
    metrics.setRolloutStep(step.service, step._tag);
    logger.info(
      {
        service: step.service,
        step: step._tag,
        before,
        ...('target' in step && { target: step.target }),
        driver: group().leader(),
        counts: this.#traffic.countsOf(step.service),
      },
      'roll-out step in force',
    );
  }
}
