import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import { Counter, Gauge, Registry } from 'prom-client';
import { PlacementMetrics } from './placement/PlacementMetrics.ts';

const PERCENTILES = [50, 95, 99];
/** Higher latencies are recorded as this value. */
const HIGHEST_LATENCY_MS = 600_000;

const ROLLOUT_STEPS = ['unread', 'unordered', 'trial', 'cutover', 'completed', 'rolledBack'];

/** Values that are sampled when the metrics are rendered. */
export interface GatewayGauges {
  /** 0 until the first configuration is in force. */
  readonly configurationVersion: number;
  /** Gateways that are alive, this one included. */
  readonly members: number;
  /** Pending placement tickets of this process. */
  readonly waiting: number;
  /** Slots that this process holds at model engines. */
  readonly running: number;
  readonly droppedLogLines: number;
  /** Endpoints that the store no longer lists and that are kept in use around an outage. */
  readonly missingEndpoints: number;
  /** 1 during an outage of the store and the grace time after it, else 0. */
  readonly storeOutage: number;
  readonly storeEra: number;
  /** Prompt parts whose requests aren't sent to engines. */
  readonly quarantinedParts: number;
  /** Requests that aren't sent to endpoints because they crash them. */
  readonly quarantinedRequests: number;
  /** Endpoints that state a limit to the rate of their requests. */
  readonly limitedEndpoints: number;
  /** Failure domains that are drained; 0 if absent. */
  readonly domainDrains?: number;
  /** Capped endpoints that are taken as cold; 0 if absent. */
  readonly coldEndpoints?: number;
  /** Endpoints that want no requests of this process for now. */
  readonly excludedEndpoints: number;
  /** 1 while this process reaches no endpoint, else 0. */
  readonly isolated: number;
}

/** Counters, gauges and latency percentiles of a gateway, rendered as Prometheus text. */
export class GatewayMetrics {
  readonly #registry = new Registry();

  readonly #requests = new Counter({
    name: 'corianderwick_gateway_requests_total',
    help: 'Requests by route and how they ended.',
    labelNames: ['route', 'outcome', 'status'],
    registers: [this.#registry],
  });

  readonly #attempts = new Counter({
    name: 'corianderwick_gateway_attempts_total',
    help: 'Requests sent to endpoints by service and what came of it.',
    labelNames: ['service', 'result'],
    registers: [this.#registry],
  });

  readonly #pauses = new Counter({
    name: 'corianderwick_gateway_pauses_total',
    help: 'Times that the process was paused, or that its clocks disagreed.',
    registers: [this.#registry],
  });

  readonly #versionRequests = new Counter({
    name: 'corianderwick_gateway_version_requests_total',
    help: 'Requests sent to endpoints of services with two versions, by version and outcome.',
    labelNames: ['service', 'version', 'outcome'],
    registers: [this.#registry],
  });

  readonly #rolloutSteps = new Gauge({
    name: 'corianderwick_gateway_rollout_step',
    help: 'Whether a step of a roll-out is in force at this process.',
    labelNames: ['service', 'step'],
    registers: [this.#registry],
  });

  readonly #storeCalls = new Counter({
    name: 'corianderwick_gateway_store_calls_total',
    help: 'Calls to the store by kind of call.',
    labelNames: ['call'],
    registers: [this.#registry],
  });

  readonly #unusableEntries = new Counter({
    name: 'corianderwick_gateway_unusable_entries_total',
    help: 'Objects of the store that could not be used, or not as a whole, by kind.',
    labelNames: ['kind'],
    registers: [this.#registry],
  });

  readonly #relays = new Counter({
    name: 'corianderwick_gateway_store_relays_total',
    help: 'Relayed messages with changes of the store by kind of object and what became of them.',
    labelNames: ['kind', 'result'],
    registers: [this.#registry],
  });

  readonly #placements = new Counter({
    name: 'corianderwick_gateway_placements_total',
    help: 'Decisions of this process as the scheduler of model engines.',
    labelNames: ['route', 'decision'],
    registers: [this.#registry],
  });

  /** Decisions by account, priority and engine group. */
  readonly placements = new PlacementMetrics(this.#registry);

  readonly #capDelays = new Counter({
    name: 'corianderwick_gateway_cap_delays_total',
    help: 'Requests that this process delayed as the scheduler because endpoints were at their caps, by service.',
    labelNames: ['service'],
    registers: [this.#registry],
  });

  readonly #endpointCrashes = new Counter({
    name: 'corianderwick_gateway_endpoint_crashes_total',
    help: 'Crashes of endpoints that runs of this process met, by service.',
    labelNames: ['service'],
    registers: [this.#registry],
  });

  readonly #isolations = new Counter({
    name: 'corianderwick_gateway_isolations_total',
    help: 'Times that this process ceased to reach any endpoint.',
    registers: [this.#registry],
  });

  readonly #forwardings = new Counter({
    name: 'corianderwick_gateway_forwardings_total',
    help: 'Requests forwarded between gateways by direction and what came of it.',
    labelNames: ['direction', 'result'],
    registers: [this.#registry],
  });

  readonly #hedges = new Counter({
    name: 'corianderwick_gateway_hedges_total',
    help: 'Second copies of slow requests by route and what came of them, or which limit rejected them.',
    labelNames: ['route', 'result', 'limit'],
    registers: [this.#registry],
  });

  readonly #latencyHistograms = new Map<string, Histogram>();

  readonly #latencyGauge = new Gauge({
    name: 'corianderwick_gateway_latency_ms',
    help: 'Time from a request to its first byte, by route and quantile.',
    labelNames: ['route', 'quantile'],
    registers: [this.#registry],
  });

  readonly #viewAges = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_LATENCY_MS,
    numberOfSignificantValueDigits: 2,
  });

  readonly #viewAgeGauge = new Gauge({
    name: 'corianderwick_gateway_view_age_ms',
    help: 'Age of the view of the store at each sending to an endpoint, by quantile; 100 is the greatest.',
    labelNames: ['quantile'],
    registers: [this.#registry],
  });

  readonly #gauges = {
    configurationVersion: this.#makeGauge('configuration_version', 'Configuration in force.'),
    members: this.#makeGauge('members', 'Gateways believed alive.'),
    waiting: this.#makeGauge('waiting', 'Requests that wait for a slot in this process.'),
    running: this.#makeGauge('running', 'Requests that this process has at endpoints.'),
    droppedLogLines: this.#makeGauge('dropped_log_lines', 'Log lines dropped since the start.'),
    missingEndpoints: this.#makeGauge(
      'missing_endpoints',
      'Endpoints that the store no longer lists and that are kept in use around an outage.',
    ),
    quarantinedParts: this.#makeGauge(
      'quarantined_parts',
      'Prompt parts whose requests are refused because they crash engines.',
    ),
    quarantinedRequests: this.#makeGauge(
      'quarantined_requests',
      'Requests that are refused because they crash endpoints.',
    ),
    limitedEndpoints: this.#makeGauge(
      'limited_endpoints',
      'Endpoints that state a limit to the rate of their requests.',
    ),
    domainDrains: this.#makeGauge(
      'domain_drains',
      'Failure domains to whose endpoints nothing is sent.',
    ),
    coldEndpoints: this.#makeGauge(
      'cold_endpoints',
      'Endpoints that are taken as cold and get fewer requests.',
    ),
    excludedEndpoints: this.#makeGauge(
      'excluded_endpoints',
      'Endpoints that want no requests of this process for now.',
    ),
    isolated: this.#makeGauge('isolated', 'Whether this process reaches no endpoint.'),
    storeOutage: this.#makeGauge('store_outage', 'Whether missing endpoints are kept in use.'),
    storeEra: this.#makeGauge('store_era', 'Rises when the store comes back from an older copy.'),
  };

  /**
   * Counts a request that got its final answer.
   *
   * @param route - name of the route; empty if the request matched none
   * @param outcome - how the request ended
   * @param status - HTTP status of the answer; 0 if none was completed
   */
  countRequest(route: string, outcome: string, status: number): void {
    this.#requests.inc({ route, outcome, status });
  }

  /**
   * Counts an attempt to send a request to an endpoint.
   *
   * @param service - name of the endpoint's service
   * @param result - outcome of the attempt
   */
  countAttempt(service: string, result: string): void {
    this.#attempts.inc({ service, result });
  }

  /** Counts a pause of the process. */
  countPause(): void {
    this.#pauses.inc();
  }

  /** Counts the end of a request to a version of a service that has two. */
  countVersionRequest(service: string, version: string, outcome: string): void {
    this.#versionRequests.inc({ service, version, outcome });
  }

  /** Records the step of a roll-out that is in force for a service. */
  setRolloutStep(service: string, step: string): void {
    ROLLOUT_STEPS.forEach((name) =>
      this.#rolloutSteps.set({ service, step: name }, name === step ? 1 : 0),
    );
  }

  /** Counts a call to the store by its kind. */
  countStoreCall(call: string): void {
    this.#storeCalls.inc({ call });
  }

  /** Counts an object of the store that can't be used, or not as a whole. */
  countUnusableEntry(kind: string): void {
    this.#unusableEntries.inc({ kind });
  }

  /** Counts a message of relayed changes: `applied`, or `gap` if changes before them are missing. */
  countRelay(kind: string, result: string): void {
    this.#relays.inc({ kind, result });
  }

  /** Counts a decision of the local scheduler: `grant` or the reason of the refusal. */
  countPlacement(route: string, decision: string): void {
    this.#placements.inc({ route, decision });
  }

  /** Counts a request that the local scheduler delayed because endpoints were at their caps. */
  countCapDelay(service: string): void {
    this.#capDelays.inc({ service });
  }

  /** Counts a crash of an endpoint that runs of this process met. */
  countEndpointCrash(service: string): void {
    this.#endpointCrashes.inc({ service });
  }

  /** Counts that this process ceased to reach any endpoint. */
  countIsolation(): void {
    this.#isolations.inc();
  }

  /** Counts a request that was forwarded to a peer (`sent`) or by one (`received`). */
  countForwarding(direction: 'sent' | 'received', result: string): void {
    this.#forwardings.inc({ direction, result });
  }

  /**
   * Counts what came of a second copy of a slow request.
   *
   * @param route - name of the route
   * @param result - `sent`; of those `won` or `wasted`; `cancelled` for each copy that was cancelled because the other
   *   one answered first; `rejected` if a limit forbade it
   * @param limit - the limit that forbade it
   */
  countHedge(
    route: string,
    result: 'sent' | 'won' | 'wasted' | 'cancelled' | 'rejected',
    limit = '',
  ): void {
    this.#hedges.inc({ route, result, limit });
  }

  /** Records the time in ms from the arrival of a request to the first byte of its answer. */
  recordFirstByteLatency(route: string, latencyMs: number): void {
    const histogram =
      this.#latencyHistograms.get(route) ??
      build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: HIGHEST_LATENCY_MS,
        numberOfSignificantValueDigits: 2,
      });
    this.#latencyHistograms.set(route, histogram);
    histogram.recordValue(Math.max(1, Math.min(HIGHEST_LATENCY_MS, latencyMs)));
  }

  /** Records the age in ms of the view of the store by which a request is sent to an endpoint. */
  recordViewAge(ageMs: number): void {
    this.#viewAges.recordValue(Math.round(Math.max(1, Math.min(HIGHEST_LATENCY_MS, ageMs))));
  }

  /**
   * Renders all metrics as Prometheus text.
   *
   * @param gauges - present values of the gauges
   * @returns the text of the metrics page
   */
  render(gauges: GatewayGauges): Promise<string> {
    this.#gauges.configurationVersion.set(gauges.configurationVersion);
    this.#gauges.members.set(gauges.members);
    this.#gauges.waiting.set(gauges.waiting);
    this.#gauges.running.set(gauges.running);
    this.#gauges.droppedLogLines.set(gauges.droppedLogLines);
    this.#gauges.missingEndpoints.set(gauges.missingEndpoints);
    this.#gauges.storeOutage.set(gauges.storeOutage);
    this.#gauges.storeEra.set(gauges.storeEra);
    this.#gauges.quarantinedParts.set(gauges.quarantinedParts);
    this.#gauges.quarantinedRequests.set(gauges.quarantinedRequests);
    this.#gauges.limitedEndpoints.set(gauges.limitedEndpoints);
    this.#gauges.domainDrains.set(gauges.domainDrains ?? 0);
    this.#gauges.coldEndpoints.set(gauges.coldEndpoints ?? 0);
    this.#gauges.excludedEndpoints.set(gauges.excludedEndpoints);
    this.#gauges.isolated.set(gauges.isolated);
    this.#latencyHistograms.forEach((histogram, route) => {
      PERCENTILES.forEach((quantile) => {
        this.#latencyGauge.set({ route, quantile }, histogram.getValueAtPercentile(quantile));
      });
    });
    [...PERCENTILES, 100].forEach((quantile) =>
      this.#viewAgeGauge.set({ quantile }, this.#viewAges.getValueAtPercentile(quantile)),
    );
    return this.#registry.metrics();
  }

  #makeGauge(name: string, help: string): Gauge {
    return new Gauge({ name: `corianderwick_gateway_${name}`, help, registers: [this.#registry] });
  }
}
