import type { Grant } from '../../protocol/peer/PeerMessage.ts';
import type { RequestOutcome } from '../../state/RequestOutcome.ts';

/** A request whose home is this process, with what scheduling needs to know of it. */
export interface HomeRequest {
  readonly id: string;
  readonly account: string;
  readonly tierRank: number;
  readonly pool: string;
  readonly route: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly idempotent: boolean;
  readonly suspendable: boolean;
  readonly prefixes: readonly string[];
  /** Monotonic time, ms. */
  readonly receivedAt: number;
  /** Monotonic time, ms. */
  readonly deadlineAt: number;
}

/** Lifecycle state of a request; `ended` is final. */
export type RequestState =
  /** The request waits for quota of its account. */
  | { readonly _tag: 'limited' }
  /** The request is reserved with a scheduler and waits for its grant. */
  | { readonly _tag: 'waiting'; readonly scheduler: string; readonly sentAt: number }
  /** No scheduler is reachable; the reservation is retried at the next tick. */
  | { readonly _tag: 'unplaced' }
  | { readonly _tag: 'dispatched'; readonly grant: Grant; readonly dispatchedAt: number }
  | { readonly _tag: 'suspended'; readonly grant: Grant; readonly dispatchedAt: number }
  | { readonly _tag: 'ended'; readonly outcome: RequestOutcome };

/** A request with its state and the history that later placements depend on. */
export interface RequestRecord {
  readonly request: HomeRequest;
  state: RequestState;
  /** Set once another member may hold its reservation; this process must then never grant it to itself. */
  reservedElsewhere: boolean;
  /** Endpoints that refused a connection for it; later placements avoid them. */
  avoid: readonly string[];
  callerLeft: boolean;
  /** Monotonic time of the first token or byte of the answer, ms. */
  firstTokenAt: number | undefined;
}
