import type { PlacementTicket } from '../../../protocol/peer/GatewayMessages.ts';
import type { EndpointRecord } from '../../../state/gateway/index.ts';
import { EndpointAvailability } from './EndpointAvailability.ts';
import { EngineSpeed } from './EngineSpeed.ts';

/** A request that holds a slot. */
export interface RunningPlacement {
  readonly ticket: PlacementTicket;
  /** Incarnation of the gateway that sent it. */
  readonly owner: string;
  /** When the slot was granted, in ms. */
  readonly grantedAt: number;
  /** Prompt tokens that the engine had to process before this request's first token. */
  readonly prefillTokens: number;
  /** Whether the first token has arrived. */
  started: boolean;
}

/**
 * The scheduler's state of one engine: running requests, speed, availability and queued prefill.
 */
export class EngineLoad {
  /** The engine's current record in the store. */
  record: EndpointRecord;

  /** Requests that hold a slot, by ticket id. */
  readonly running = new Map<string, RunningPlacement>();

  /** Speed since the engine's last start. */
  speed = new EngineSpeed();

  /** Availability since the engine's last start. */
  availability = new EndpointAvailability();

  /** When the prefill of all granted requests is expected to end, in ms. */
  #prefillUntil = Number.NEGATIVE_INFINITY;

  constructor(record: EndpointRecord) {
    this.record = record;
  }

  /**
   * Replaces the record. After a restart of the engine its speed and availability are reset.
   *
   * @param record - the engine's current record
   */
  updateRecord(record: EndpointRecord): void {
    if (record.bornAt !== this.record.bornAt) {
      this.speed = new EngineSpeed();
      this.availability = new EndpointAvailability();
    }
    this.record = record;
  }

  /**
   * Estimates the prompt tokens that a new request has to wait for; an engine processes prompts one
   * after another.
   *
   * @param now - current time, in ms
   * @returns tokens of granted requests whose prefill isn't expected to have ended
   */
  pendingPrefillTokens(now: number): number {
    return Math.max(0, this.#prefillUntil - now) / this.speed.prefillMsPerToken;
  }

  /**
   * Assigns a slot to a request and adds its prompt to the pending prefill.
   *
   * @param placement - the request that gets the slot
   */
  grant(placement: RunningPlacement): void {
    this.running.set(placement.ticket.id, placement);
    const prefillMs = placement.ticket.promptTokens * this.speed.prefillMsPerToken;
    this.#prefillUntil = Math.max(this.#prefillUntil, placement.grantedAt) + prefillMs;
  }

  /**
   * Records the first token of a request.
   *
   * @param id - the ticket's id; an unknown one is ignored
   * @param now - current time, in ms
   */
  recordFirstToken(id: string, now: number): void {
    const placement = this.running.get(id);
    if (placement === undefined) return;
    placement.started = true;
    this.#clearFinishedPrefill(now);
  }

  /**
   * Releases the slot of a request.
   *
   * @param id - the ticket's id; an unknown one is ignored
   * @param now - current time, in ms
   */
  release(id: string, now: number): void {
    this.running.delete(id);
    this.#clearFinishedPrefill(now);
  }

  /** No prefill is pending once every running request has its first token. */
  #clearFinishedPrefill(now: number): void {
    if ([...this.running.values()].every(({ started }) => started)) this.#prefillUntil = now;
  }

  /** Counts the requests in decode, which a long prefill would stall. */
  decodingRequestCount(): number {
    let count = 0;
    this.running.forEach(({ started }) => {
      if (started) count += 1;
    });
    return count;
  }
}
