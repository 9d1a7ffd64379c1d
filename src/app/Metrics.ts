import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import { Counter, Gauge, Registry } from 'prom-client';
import type { Decision } from '../state/Decision.ts';

const QUANTILES = [50, 95, 99];
const HIGHEST_MS = 3_600_000;

const createHistogram = (): Histogram =>
  build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_MS,
    numberOfSignificantValueDigits: 2,
  });

/** What the process holds at the time of a scrape. */
export interface GaugeValues {
  readonly requests: number;
  readonly members: number;
  readonly rollNumber: number;
  readonly sentBytes: number;
  readonly receivedBytes: number;
}

/** Counts decisions and times answers, and renders them as Prometheus text. */
export class Metrics {
  readonly #registry = new Registry();

  readonly #outcomes = new Counter({
    name: 'corianderwick_requests_total',
    help: 'Ended requests by tier and outcome.',
    labelNames: ['tier', 'outcome', 'reason'],
    registers: [this.#registry],
  });

  readonly #placements = new Counter({
    name: 'corianderwick_placements_total',
    help: 'Requests placed by this process as a pool scheduler.',
    labelNames: ['pool', 'version'],
    registers: [this.#registry],
  });

  readonly #messages = new Counter({
    name: 'corianderwick_peer_messages_total',
    help: 'Messages to and from peers by kind.',
    labelNames: ['message', 'direction'],
    registers: [this.#registry],
  });

  readonly #latency = new Map<number, Histogram>();

  readonly #latencyGauge = new Gauge({
    name: 'corianderwick_request_duration_ms',
    help: 'Time from receipt to the end of the answer, by tier and quantile.',
    labelNames: ['tier', 'quantile'],
    registers: [this.#registry],
  });

  readonly #gauges = {
    requests: this.#gauge('corianderwick_requests', 'Requests held, waiting or running.'),
    members: this.#gauge('corianderwick_members', 'Entries that this process believes alive.'),
    rollNumber: this.#gauge('corianderwick_roll_number', 'Roll number in force.'),
    sentBytes: this.#gauge('corianderwick_peer_sent_bytes', 'Bytes sent to peers since the start.'),
    receivedBytes: this.#gauge('corianderwick_peer_received_bytes', 'Bytes received from peers.'),
  };

  /**
   * Counts a decision.
   *
   * @param decision - any decision; only some are counted
   */
  record(decision: Decision): void {
    if (decision._tag === 'placed') {
      this.#placements.inc({ pool: decision.pool, version: decision.version });
    }
    if (decision._tag !== 'ended') return;
    const { outcome, tier, totalMs } = decision;
    const reason = outcome._tag === 'completed' ? '' : outcome.reason;
    this.#outcomes.inc({ tier, outcome: outcome._tag, reason });
    if (outcome._tag === 'completed') this.#histogram(tier).recordValue(Math.max(1, totalMs));
  }

  /**
   * Counts a message between this process and a peer.
   *
   * @param message - kind of message
   * @param direction - seen from this process
   */
  countMessage(message: string, direction: 'sent' | 'received'): void {
    this.#messages.inc({ message, direction });
  }

  /**
   * Renders all metrics.
   *
   * @param gauges - present values of what the process holds
   * @returns Prometheus text
   */
  async render(gauges: GaugeValues): Promise<string> {
    this.#gauges.requests.set(gauges.requests);
    this.#gauges.members.set(gauges.members);
    this.#gauges.rollNumber.set(gauges.rollNumber);
    this.#gauges.sentBytes.set(gauges.sentBytes);
    this.#gauges.receivedBytes.set(gauges.receivedBytes);
    this.#latency.forEach((histogram, tier) => {
      QUANTILES.forEach((quantile) => {
        this.#latencyGauge.set({ tier, quantile }, histogram.getValueAtPercentile(quantile));
      });
    });
    return this.#registry.metrics();
  }

  #gauge(name: string, help: string): Gauge {
    return new Gauge({ name, help, registers: [this.#registry] });
  }

  #histogram(tier: number): Histogram {
    const known = this.#latency.get(tier);
    if (known !== undefined) return known;
    const histogram = createHistogram();
    this.#latency.set(tier, histogram);
    return histogram;
  }
}
