import * as Schema from 'effect/Schema';
import { makeJsonDecoder } from '../makeJsonDecoder.ts';

const Count = Schema.Int.check(Schema.isBetween({ minimum: 0, maximum: 1_000 }));

/** What a gateway tells the peer to which it forwards a request, besides the request itself. */
export const ForwardEnvelope = Schema.Struct({
  /** Incarnation of the gateway that got the request from its caller. */
  from: Schema.NonEmptyString,
  /** Number of this forwarding of the request, which keeps the ids of its tickets apart. */
  forwarding: Count,
  /** Time until the answer must be complete. */
  remainingMs: Schema.Finite,
  /** Time that the caller has waited in earlier requests for the same answer. */
  waitedBeforeMs: Schema.Finite,
  /** Attempts in which an endpoint may have executed the request. */
  executions: Count,
  /** Ids of endpoints that did not serve the request. */
  avoid: Schema.Array(Schema.String).check(Schema.isMaxLength(16)),
  /** Whether the request was charged to its quota. */
  isCharged: Schema.Boolean,
  /** Whether the request counts in the sender's budget of retries. */
  isCounted: Schema.Boolean,
  /** Whether the caller has part of the answer. */
  answerBegun: Schema.Boolean,
  /** Version of the configuration that routed it; an older one must not. */
  configurationVersion: Schema.Finite,
  /** Id of the last event that the caller has of a stream. */
  lastEventId: Schema.optionalKey(Schema.String),
});
export type ForwardEnvelope = typeof ForwardEnvelope.Type;

/** Header of a forwarded request that holds the envelope and its proof. */
export const FORWARD_HEADER = 'x-gateway-forward';

/** Whether an element of alternating header names and values is part of a line that holds an envelope. */
export const isForwardLine = (lines: readonly string[], index: number): boolean =>
  lines[index - (index % 2)]?.toLowerCase() === FORWARD_HEADER;

const decode = makeJsonDecoder(ForwardEnvelope);

/** Encodes an envelope as text that a header may hold. */
export const encodeForwardEnvelope = (envelope: ForwardEnvelope): string =>
  Buffer.from(JSON.stringify(envelope)).toString('base64url');

/**
 * Decodes an envelope.
 *
 * @param text - text from a header
 * @returns the envelope, or undefined if the text holds none
 */
export const decodeForwardEnvelope = (text: string): ForwardEnvelope | undefined =>
  decode(Buffer.from(text, 'base64url').toString());
