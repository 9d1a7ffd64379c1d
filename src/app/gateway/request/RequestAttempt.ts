import type { AnswerFraming } from '../../../transport/http/index.ts';
import type { ViewAge } from '../following/StoreSubscription.ts';

/**
 * Progress of an attempt, in order; `streamEnded`, `answered`, `notRun`, `notSent`, `broken` or `unserved`
 * is the last event.
 */
export type AttemptEvent =
  /** Complete events of a successful stream, or what follows the last one at its end. */
  | { readonly _tag: 'streamed'; readonly bytes: Uint8Array; readonly lastEventId?: string }
  | { readonly _tag: 'streamEnded' }
  | { readonly _tag: 'answered'; readonly body: Uint8Array }
  /** The request was certainly not executed; `arrived` tells whether the endpoint received it. */
  | { readonly _tag: 'notRun'; readonly arrived: boolean; readonly detail: string }
  /** The process was paused before it sent the request, so that the permission to do so may have expired. */
  | { readonly _tag: 'notSent' }
  /** The request may have been executed, and no complete answer arrived. */
  | {
      readonly _tag: 'broken';
      readonly detail: string;
      /** Whether the connection was lost, so that the endpoint may have crashed. */
      readonly connectionLost: boolean;
    }
  /** A peer tried to have the request served, and gave it up. */
  | {
      readonly _tag: 'unserved';
      readonly mayHaveRun: boolean;
      readonly status: number;
      readonly retryAfterMs: number;
    };

/** The moment at which a request was written to an endpoint. */
export interface AttemptWriting {
  /** Time since the endpoint was chosen, in ms. */
  readonly afterMs: number;
  /** Whether the store listed the endpoint, as far as this process knew. */
  readonly listing: 'listed' | 'missing' | 'gone';
}

/** One sending of a request: to an endpoint, or to a peer that sends it on. */
export interface RequestAttempt {
  readonly kind: 'endpoint' | 'peer';
  /** Id of the endpoint, or incarnation of the peer. */
  readonly target: string;
  /** How old the view of the store was at the sending to an endpoint; undefined for a peer, which has its own. */
  readonly viewAge: ViewAge | undefined;
  /** What the directory and the clock said when the request was written; undefined before, and for a peer. */
  readonly writing: AttemptWriting | undefined;
  /** Whether the attempt has ended or was cancelled. */
  readonly ended: boolean;
  /** Whether the request was written to a connection, so that it may have arrived. */
  readonly written: boolean;
  /** When the last bytes arrived, or when it was sent; in ms, monotonic. */
  readonly heardAt: number;
  /** HTTP status of the answer; 0 until its head arrives. */
  readonly status: number;
  /** Header lines of the answer: alternating names and values. */
  readonly headerLines: readonly string[];
  /** How the end of the answer is marked; undefined until its head arrives. */
  readonly framing: AnswerFraming | undefined;
  /** What was received of a stream, for the log. */
  readonly streamProgress: { readonly events: number; readonly unfinishedBytes: number };
  /** Sends the request. Call it once. */
  start(): void;
  /** Aborts the exchange; no event follows. */
  cancel(): void;
  /** Stops reading the answer until `resume`, because the caller reads too slowly. */
  pause(): void;
  /** Continues to read the answer. */
  resume(): void;
}
