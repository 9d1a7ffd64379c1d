import type {
  NotRunReason,
  RequestStatus,
  UnknownOutcomeReason,
} from '../../state/RequestOutcome.ts';

/** A caller's request, checked as far as that is possible without configuration. */
export interface CallerRequest {
  /** Undefined where the caller left the minting to the entry. */
  readonly id: string | undefined;
  /** Account key as presented; never logged. */
  readonly accountKey: string;
  readonly method: string;
  /** Path with query, such as `/v1/chat/completions` or `/services/holds/42`. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly remainingMs: number | undefined;
  readonly idempotent: boolean | undefined;
  /** Set where another entry passed the request on: it isn't passed on again. */
  readonly forwarded: boolean;
}

/** A refusal of the request as it stands; it was not run, unless its outcome is left unsaid. */
export interface CallerError {
  /** Set where a request of the same id may have run, so that "not run" must not be said of the id. */
  readonly outcomeOmitted?: true;
  readonly status: number;
  /** Stable, for programs. */
  readonly code: string;
  readonly message: string;
}

/** Where an answer goes. `head` comes before parts; exactly one of `end`, `cut`, `refuse`, `tellNotRun` and `tellUnknown` comes last. */
export interface CallerResponse {
  /** The request's id, told in every answer's head. */
  readonly setRequestId: (id: string) => void;
  readonly sendHead: (status: number, headers: Readonly<Record<string, string>>) => void;
  readonly sendPart: (bytes: Uint8Array) => void;
  readonly sendEvent: (data: string, index: number) => void;
  readonly end: () => void;
  /** Breaks the answer off so that its reader can't take it for whole. */
  readonly abort: (reason: UnknownOutcomeReason) => void;
  readonly sendError: (error: CallerError) => void;
  readonly sendNotRun: (reason: NotRunReason, retryAfterMs: number) => void;
  readonly sendUnknownOutcome: (reason: UnknownOutcomeReason) => void;
  /** Whether the head has gone out. */
  readonly isHeadSent: () => boolean;
  /** Called once if the caller leaves before the end. */
  readonly onDisconnect: (handler: () => void) => void;
}

/** One address that a caller may use, with the prefix of the ids that it owns. */
export interface EntryAddress {
  readonly address: string;
  readonly failureDomain: string;
  readonly requestIdPrefix: string;
}

/** What the caller-facing server asks of the layers below. */
export interface CallerService {
  readonly listEntries: () => {
    readonly entries: readonly EntryAddress[];
    readonly keepForMs: number;
  };
  readonly serve: (request: CallerRequest, answer: CallerResponse) => void;
  readonly findStatus: (id: string, key: string) => Promise<RequestStatus | undefined>;
  readonly isReady: () => boolean;
  readonly renderMetrics: () => Promise<string>;
  /** Models that the account of the key may use, or undefined where the key is unknown. */
  readonly listModels: (key: string) => readonly string[] | undefined;
  readonly drain: () => void;
}
