import type { Grant } from '../../protocol/peer/PeerMessage.ts';
import type { RequestOutcome } from '../../state/RequestOutcome.ts';

/** A request that this process is the home of, as far as scheduling needs to know it. */
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
  readonly receivedAt: number;
  readonly deadlineAt: number;
}

/** Where a request is on its way; `ended` is final. */
export type RequestState =
  /** Its account's quota has been asked for. */
  | { readonly _tag: 'limited' }
  | { readonly _tag: 'waiting'; readonly scheduler: string; readonly sentAt: number }
  /** No scheduler could be reached; tried again at the next tick. */
  | { readonly _tag: 'unplaced' }
  | { readonly _tag: 'dispatched'; readonly grant: Grant; readonly dispatchedAt: number }
  | { readonly _tag: 'suspended'; readonly grant: Grant; readonly dispatchedAt: number }
  | { readonly _tag: 'ended'; readonly outcome: RequestOutcome };

/** A request with its state and what was tried for it so far. */
export interface RequestRecord {
  readonly request: HomeRequest;
  state: RequestState;
  /** Set once another member may hold a reservation for it: from then on this process must not grant it to itself. */
  reservedElsewhere: boolean;
  /** Endpoints that refused it a connection. */
  avoid: readonly string[];
  callerLeft: boolean;
  firstTokenAt: number | undefined;
}
