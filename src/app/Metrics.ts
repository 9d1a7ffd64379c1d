import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import { Counter, Gauge, Registry } from 'prom-client';
import type { Decision } from '../state/Decision.ts';

const PERCENTILES = [50, 95, 99];
const MAXIMUM_DURATION_MS = 3_600_000;

const createHistogram = (): Histogram =>
  build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAXIMUM_DURATION_MS,
    numberOfSignificantValueDigits: 2,
  });

/** Gauge values of the process at the time of a scrape. */
export interface GaugeValues {
  readonly requests: number;
  readonly members: number;
  readonly rollNumber: number;
  readonly sentBytes: number;
  readonly receivedBytes: number;
}

/** Counts decisions and peer messages, records request durations and renders all of them as Prometheus text. */
export class Metrics {
  readonly #registry = new Registry();

  readonly #outcomeCounter = new Counter({
    name: 'corianderwick_requests_total',
    help: 'Ended requests by tier and outcome.',
    labelNames: ['tier', 'outcome', 'reason'],
    registers: [this.#registry],
  });

  readonly #placementCounter = new Counter({
    name: 'corianderwick_placements_total',
    help: 'Requests placed by this process as a pool scheduler.',
    labelNames: ['pool', 'version'],
    registers: [this.#registry],
  });

  readonly #messageCounter = new Counter({
    name: 'corianderwick_peer_messages_total',
    help: 'Messages to and from peers by kind.',
    labelNames: ['message', 'direction'],
    registers: [this.#registry],
  });

  readonly #durationHistograms = new Map<number, Histogram>();

  readonly #durationGauge = new Gauge({
    name: 'corianderwick_request_duration_ms',
    help: 'Time from receipt to the end of the answer, by tier and quantile.',
    labelNames: ['tier', 'quantile'],
    registers: [this.#registry],
  });

  readonly #gauges = {
    requests: this.#createGauge('corianderwick_requests', 'Requests held, waiting or running.'),
    members: this.#createGauge(
      'corianderwick_members',
      'Entries that this process believes alive.',
    ),
    rollNumber: this.#createGauge('corianderwick_roll_number', 'Roll number in force.'),
    sentBytes: this.#createGauge(
      'corianderwick_peer_sent_bytes',
      'Bytes sent to peers since the start.',
    ),
    receivedBytes: this.#createGauge(
      'corianderwick_peer_received_bytes',
      'Bytes received from peers.',
    ),
  };

  /**
   * Counts a placement or the end of a request, and records the duration of a completed one.
   *
   * @param decision - any decision; other kinds are ignored
   */
  record(decision: Decision): void {
    if (decision._tag === 'placed') {
      this.#placementCounter.inc({ pool: decision.pool, version: decision.version });
    }
    if (decision._tag !== 'ended') return;
    const { outcome, tier, totalMs } = decision;
    const reason = outcome._tag === 'completed' ? '' : outcome.reason;
    this.#outcomeCounter.inc({ tier, outcome: outcome._tag, reason });
    if (outcome._tag === 'completed')
      this.#findOrCreateHistogram(tier).recordValue(Math.max(1, totalMs));
  }

  /**
   * Counts a message between this process and a peer.
   *
   * @param message - kind of the message, its `_tag`
   * @param direction - direction as seen from this process
   */
  countMessage(message: string, direction: 'sent' | 'received'): void {
    this.#messageCounter.inc({ message, direction });
  }

  /**
   * Renders all metrics.
   *
   * @param gauges - present gauge values
   * @returns metrics in the Prometheus text format
   */
  async render(gauges: GaugeValues): Promise<string> {
    this.#gauges.requests.set(gauges.requests);
    this.#gauges.members.set(gauges.members);
    this.#gauges.rollNumber.set(gauges.rollNumber);
    this.#gauges.sentBytes.set(gauges.sentBytes);
    this.#gauges.receivedBytes.set(gauges.receivedBytes);
    this.#durationHistograms.forEach((histogram, tier) => {
      PERCENTILES.forEach((quantile) => {
        this.#durationGauge.set({ tier, quantile }, histogram.getValueAtPercentile(quantile));
      });
    });
    return this.#registry.metrics();
  }

  #createGauge(name: string, help: string): Gauge {
    return new Gauge({ name, help, registers: [this.#registry] });
  }

  #findOrCreateHistogram(tier: number): Histogram {
    const known = this.#durationHistograms.get(tier);
    if (known !== undefined) return known;
    const histogram = createHistogram();
    this.#durationHistograms.set(tier, histogram);
    return histogram;
  }
}
