import type { PlacementTicket } from '../../protocol/peer/Placement.ts';
import type { EndpointRecord } from '../../state/gateway/index.ts';
import { EndpointCondition } from './EndpointCondition.ts';
import { EngineEstimate } from './EngineEstimate.ts';

/** A request that holds a slot. */
export interface RunningPlacement {
  readonly ticket: PlacementTicket;
  /** Incarnation of the gateway that sent it. */
  readonly owner: string;
  readonly grantedAt: number;
  /** Prompt tokens that the engine had to read before the first token of this request. */
  readonly tokensToRead: number;
  started: boolean;
}

/** One engine as the scheduler sees it. */
export class EngineLoad {
  record: EndpointRecord;

  readonly running = new Map<string, RunningPlacement>();

  estimate = new EngineEstimate();

  condition = new EndpointCondition();

  /** When the prompts granted so far are expected to be read. */
  #readUntil = Number.NEGATIVE_INFINITY;

  constructor(record: EndpointRecord) {
    this.record = record;
  }

  /** Takes over a newer record; another start of the same id begins with nothing learned. */
  updateRecord(record: EndpointRecord): void {
    if (record.bornAt !== this.record.bornAt) {
      this.estimate = new EngineEstimate();
      this.condition = new EndpointCondition();
    }
    this.record = record;
  }

  /**
   * Prompt tokens that the engine still has to read: prompts are read one after another.
   *
   * @param now - present time in ms
   * @returns tokens granted and not yet read, as expected
   */
  tokensUnread(now: number): number {
    return Math.max(0, this.#readUntil - now) / this.estimate.readMsPerToken;
  }

  /** Adds a request that gets a slot now. */
  grant(placement: RunningPlacement): void {
    this.running.set(placement.ticket.id, placement);
    const readMs = placement.ticket.promptTokens * this.estimate.readMsPerToken;
    this.#readUntil = Math.max(this.#readUntil, placement.grantedAt) + readMs;
  }

  /** Notes the first token of a request; once none waits for its own, nothing is left to read. */
  recordFirstToken(id: string, now: number): void {
    const placement = this.running.get(id);
    if (placement === undefined) return;
    placement.started = true;
    this.#settleReading(now);
  }

  /** Frees a slot. */
  release(id: string, now: number): void {
    this.running.delete(id);
    this.#settleReading(now);
  }

  #settleReading(now: number): void {
    if ([...this.running.values()].every(({ started }) => started)) this.#readUntil = now;
  }

  /** Requests whose tokens a long prompt would delay. */
  streaming(): number {
    let count = 0;
    this.running.forEach(({ started }) => {
      if (started) count += 1;
    });
    return count;
  }
}
