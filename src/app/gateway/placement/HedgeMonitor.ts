import {
  FirstByteTimes,
  HedgePolicy,
  estimateHedges,
  type FirstByteReport,
  type HedgeEstimate,
  type PlacementScheduler,
  type RequestGroup,
} from '../../../coordination/gateway/index.ts';
import type { PeerMessage } from '../../../protocol/peer/PeerMessage.ts';
import type { EndpointRecord, GatewaySettings } from '../../../state/gateway/index.ts';
import type { PeerGroup } from '../PeerGroup.ts';

/** Collaborators of a hedge monitor. */
export interface HedgeMonitorOptions {
  /** Second copies as a share of the requests. */
  readonly share: number;
  /** Time over which requests are counted, in ms. */
  readonly windowMs: number;
  /** Returns the peer group, which is created later than the monitor. */
  readonly group: () => Pick<PeerGroup, 'leader' | 'incarnation'>;
  /** Lists the endpoints of a service that are ready. */
  readonly listReady: (service: string) => readonly EndpointRecord[];
  /** Present time in ms, monotonic. */
  readonly now: () => number;
}

/** Short, so that the estimates follow the load; at 7 requests a second it keeps about 150 of a group. */
const HALF_LIFE_MS = 15_000;

/**
 * Merges the times to first byte of all gateways: each reports its own to the scheduler with its tickets, and gets the
 * estimates for all with the scheduler's notes.
 */
export class HedgeMonitor {
  readonly policy: HedgePolicy;

  readonly #options: HedgeMonitorOptions;

  /** Times of this process that the scheduler doesn't have yet. */
  readonly #unreported = new FirstByteTimes(Number.POSITIVE_INFINITY);

  /** Times of all gateways; filled only while this process is the scheduler. */
  readonly #merged = new FirstByteTimes(HALF_LIFE_MS);

  constructor(options: HedgeMonitorOptions) {
    this.#options = options;
    this.policy = new HedgePolicy(options);
  }

  /** Whether there are times that the scheduler doesn't have yet. */
  get hasReport(): boolean {
    return !this.#unreported.isEmpty;
  }

  /** Records the time in ms from sending a request to its first byte. */
  record(group: RequestGroup, ms: number): void {
    (this.#isScheduler() ? this.#merged : this.#unreported).record(group, ms, this.#options.now());
  }

  /** Returns the times that are to be sent to the scheduler, and forgets them. */
  takeReport(): { readonly firstBytes?: readonly FirstByteReport[] } {
    return this.hasReport ? { firstBytes: this.#unreported.take() } : {};
  }

  /**
   * Processes the reports of other gateways and the estimates of the scheduler; other messages are ignored.
   *
   * @param from - incarnation of the sender
   * @param message - the decoded message
   */
  handle(from: string, message: PeerMessage): void {
    const now = this.#options.now();
    if (message._tag === 'placementState' && message.firstBytes !== undefined)
      this.#merged.merge(message.firstBytes, now);
    else if (message._tag === 'schedulerNotes' && from === this.#options.group().leader())
      this.policy.setEstimates(message.hedging ?? [], now);
  }

  /**
   * Estimates, as the scheduler, when requests are slow, and uses the estimates here as well.
   *
   * @param scheduler - knows which slots of model engines are occupied
   * @returns the estimates for the scheduler's notes
   */
  updateEstimates(scheduler: PlacementScheduler): readonly HedgeEstimate[] {
    const now = this.#options.now();
    this.#merged.merge(this.#unreported.take(), now);
    const occupancyOf = (service: string): number =>
      Math.max(scheduler.occupancyOf(service), this.#plainOccupancy(service, now));
    const estimates = estimateHedges(this.#merged, this.policy.share, occupancyOf, now);
    this.policy.setEstimates(estimates, now);
    return estimates;
  }

  #plainOccupancy(service: string, now: number): number {
    const slots = this.#options
      .listReady(service)
      .reduce((sum, record) => sum + Math.max(1, record.slots), 0);
    return this.#merged.meanInProgress(service, now) / Math.max(1, slots);
  }

  #isScheduler(): boolean {
    const { group } = this.#options;
    return group().leader() === group().incarnation;
  }
}

/**
 * Creates the hedge monitor of a process.
 *
 * @param settings - settings of the gateway
 * @param collaborators - group, endpoints and clock
 * @returns the monitor; undefined if no second copies are allowed
 */
export const makeHedgeMonitor = (
  { hedging, bounds }: GatewaySettings,
  collaborators: Omit<HedgeMonitorOptions, 'share' | 'windowMs'>,
): HedgeMonitor | undefined => {
  if (hedging === undefined || hedging.share === 0) return undefined;
  return new HedgeMonitor({
    ...collaborators,
    share: hedging.share,
    windowMs: bounds.retryWindowMs,
  });
};
