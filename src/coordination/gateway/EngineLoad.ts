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

  constructor(record: EndpointRecord) {
    this.record = record;
  }

  /** Takes over a newer record; another start of the same id begins with nothing learned. */
  update(record: EndpointRecord): void {
    if (record.bornAt !== this.record.bornAt) {
      this.estimate = new EngineEstimate();
      this.condition = new EndpointCondition();
    }
    this.record = record;
  }

  /** Prompt tokens granted to the engine whose first token hasn't come. */
  tokensUnread(): number {
    let tokens = 0;
    this.running.forEach((placement) => {
      if (!placement.started) tokens += placement.ticket.promptTokens;
    });
    return tokens;
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
