import type { PlacementScheduler } from '../../../coordination/gateway/index.ts';
import type { PeerMessage } from '../../../protocol/peer/PeerMessage.ts';
import type { PeerGroup } from '../PeerGroup.ts';
import type { HedgeMonitor } from './HedgeMonitor.ts';
import { listEngineSpeeds } from './listEngineSpeeds.ts';

/** Interval of the heartbeats from the leader to gateways whose tickets wait at it. */
const HEARTBEAT_INTERVAL_MS = 100;
/** Interval at which the leader sends the engine speed estimates that a successor would need. */
const ESTIMATES_INTERVAL_MS = 4_000;
/** Time after its last request or state report for which the leader remembers a gateway. */
const REQUESTER_RETENTION_MS = 1_000;

/** Messages that the leader sends at intervals: heartbeats, and estimates for its successor. */
export class SchedulerHeartbeat {
  /** Time of the last request or state report of each gateway, with its incarnation as the key. */
  readonly #requesters = new Map<string, number>();

  #heartbeatSentAt = 0;

  #estimatesSentAt = 0;

  /**
   * Records a request or state report of a gateway.
   *
   * @param incarnation - the gateway
   * @param now - present time in ms, monotonic
   * @returns whether it is the first one for a while
   */
  recordRequester(incarnation: string, now: number): boolean {
    const isNew = !this.#requesters.has(incarnation);
    this.#requesters.set(incarnation, now);
    return isNew;
  }

  /** Forgets a gateway that died or left. */
  removeRequester(incarnation: string): void {
    this.#requesters.delete(incarnation);
  }

  /**
   * Sends what is due.
   *
   * @param group - the gateways
   * @param scheduler - the leader's scheduler
   * @param waiting - gateways whose tickets wait; others don't listen for heartbeats
   * @param configurationVersion - version of the configuration in force
   * @param now - present time in ms, monotonic
   * @param hedging - estimates when requests are slow; undefined if that isn't needed
   */
  send(
    group: PeerGroup,
    scheduler: PlacementScheduler,
    waiting: ReadonlySet<string>,
    configurationVersion: number,
    now: number,
    hedging?: HedgeMonitor,
  ): void {
    if (now - this.#heartbeatSentAt >= HEARTBEAT_INTERVAL_MS) {
      this.#heartbeatSentAt = now;
      const message: PeerMessage = { _tag: 'schedulerAlive', configurationVersion };
      waiting.forEach((incarnation) => {
        if (incarnation !== group.incarnation) group.send(incarnation, message);
      });
      this.#requesters.forEach((at, incarnation) => {
        if (now - at > REQUESTER_RETENTION_MS) this.#requesters.delete(incarnation);
      });
    }
    if (now - this.#estimatesSentAt < ESTIMATES_INTERVAL_MS) return;
    this.#estimatesSentAt = now;
    const engines = listEngineSpeeds(scheduler.engines());
    const estimates = hedging?.updateEstimates(scheduler) ?? [];
    if (engines.length > 0 || estimates.length > 0)
      group.broadcast({
        _tag: 'schedulerNotes',
        engines,
        ...(estimates.length > 0 && { hedging: estimates }),
      });
  }
}
