import type {
  NotRunReason,
  RequestStatus,
  UnknownOutcomeReason,
} from '../../state/RequestOutcome.ts';

/** A caller's request after the checks that need no configuration. */
export interface CallerRequest {
  /** Undefined if the caller sent no request id; the entry then creates one. */
  readonly id: string | undefined;
  /** API key of the client account as the caller sent it; never logged. */
  readonly accountKey: string;
  readonly method: string;
  /** Path with query, such as `/v1/chat/completions` or `/services/holds/42`. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Time left until the caller's deadline, in ms; undefined if the caller set none. */
  readonly remainingMs: number | undefined;
  /** Whether the caller declared the request idempotent; undefined if it didn't say. */
  readonly idempotent: boolean | undefined;
  /** Whether another entry forwarded the request; a forwarded request isn't forwarded again. */
  readonly forwarded: boolean;
}

/** An error caused by the caller's request. The request was not run, unless `outcomeOmitted` is set. */
export interface CallerError {
  /** Set if an earlier request with the same id may have run, so that the response must not state "not run". */
  readonly outcomeOmitted?: true;
  readonly status: number;
  /** Stable, machine-readable error code. */
  readonly code: string;
  readonly message: string;
}

/**
 * Writes the response to a caller. `sendHead` precedes parts and events; the last call is exactly one
 * of `end`, `abort`, `sendError`, `sendNotRun` and `sendUnknownOutcome`.
 */
export interface CallerResponse {
  /** Sets the request id that the head of every response carries. */
  readonly setRequestId: (id: string) => void;
  readonly sendHead: (status: number, headers: Readonly<Record<string, string>>) => void;
  readonly sendPart: (bytes: Uint8Array) => void;
  /** Sends one server-sent event; `index` is its position in the stream. */
  readonly sendEvent: (data: string, index: number) => void;
  readonly end: () => void;
  /** Aborts the response in a way that the caller can't mistake for a complete one. */
  readonly abort: (reason: UnknownOutcomeReason) => void;
  readonly sendError: (error: CallerError) => void;
  /** Reports that the request was not run; `retryAfterMs` is the suggested delay before a retry. */
  readonly sendNotRun: (reason: NotRunReason, retryAfterMs: number) => void;
  /** Reports that the request may have run. */
  readonly sendUnknownOutcome: (reason: UnknownOutcomeReason) => void;
  /** Whether the response head has been sent. */
  readonly isHeadSent: () => boolean;
  /** Registers a handler that is called once if the caller disconnects before the response ends. */
  readonly onDisconnect: (handler: () => void) => void;
}

/** An entry that callers may use, with the prefix of the request ids that it owns. */
export interface EntryAddress {
  /** `IP:PORT` for callers. */
  readonly address: string;
  readonly failureDomain: string;
  readonly requestIdPrefix: string;
}

/** What an entry offers its callers: requests, their status, the list of entries, models and metrics. */
export interface CallerService {
  /** Lists the entries that callers may use and for how many ms the list may be cached. */
  readonly listEntries: () => {
    readonly entries: readonly EntryAddress[];
    readonly keepForMs: number;
  };
  /** Runs a request and writes its outcome to the response. */
  readonly serve: (request: CallerRequest, response: CallerResponse) => void;
  /** Finds a request's status; undefined if the id or the account key is unknown. */
  readonly findStatus: (id: string, key: string) => Promise<RequestStatus | undefined>;
  /** Whether the entry accepts requests. */
  readonly isReady: () => boolean;
  /** Renders the metrics in the Prometheus text format. */
  readonly renderMetrics: () => Promise<string>;
  /** Lists the models that the account with this key may use; undefined if the key is unknown. */
  readonly listModels: (key: string) => readonly string[] | undefined;
  /** Stops accepting new requests and shuts down when the running ones have ended. */
  readonly drain: () => void;
}
