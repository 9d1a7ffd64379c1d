import type { RequestListener } from 'node:http';
import type { Logger } from 'pino';
import {
  decodeForwardEnvelope,
  isForwardLine,
  type CallerMemory,
  type ForwardEnvelope,
} from '../../../protocol/gateway/index.ts';
import type { ClientLimits } from '../../../state/gateway/index.ts';
import {
  InboundConnections,
  type InboundAnswer,
  type InboundRequest,
} from '../../../transport/gateway/index.ts';
import { isProof, makeProof } from '../../../transport/peer/index.ts';

/** What receives the forwarded requests of peers. */
export interface ForwardedReceiver {
  readonly secret: string;
  readonly limits: () => ClientLimits;
  /** Shared with the requests that callers send to this gateway. */
  readonly memory: CallerMemory;
  readonly maximumConnections: number;
  readonly onRequest: (
    inbound: InboundRequest,
    answer: InboundAnswer,
    envelope: ForwardEnvelope,
  ) => void;
  /** Told of errors that were thrown while a request was handled. */
  readonly onFault: (error: unknown) => void;
  readonly logger: Logger;
  /** Present time in ms, monotonic. */
  readonly now: () => number;
}

const STATUS_FORBIDDEN = 403;
const EMPTY_BODY = Buffer.alloc(0);
/** Size of the header that a peer adds to a caller's request. */
const ENVELOPE_BYTES = 8_192;

/** Reads and verifies the envelope of a request; undefined if no peer sent it. */
const openEnvelope = (
  { method, target, headerLines }: InboundRequest,
  secret: string,
): ForwardEnvelope | undefined => {
  const value = headerLines.find(
    (_, index) => index % 2 === 1 && isForwardLine(headerLines, index),
  );
  const [text = '', proof = ''] = (value ?? '').split('.');
  if (!isProof(makeProof(secret, 'forwarder', text, `${method} ${target}`), proof))
    return undefined;
  return decodeForwardEnvelope(text);
};

/**
 * Makes the listener for requests that peers forward.
 *
 * @param receiver - limits, and where the requests go
 * @returns a listener for the HTTP server for peers
 */
export const receiveForwarded = (receiver: ForwardedReceiver): RequestListener => {
  const { secret, limits, memory, maximumConnections, onRequest, onFault, logger, now } = receiver;
  const connections = new InboundConnections({
    now,
    memory,
    maximumConnections,
    limits: () => {
      const callerLimits = limits();
      const maximumHeaderBytes = callerLimits.maximumHeaderBytes + ENVELOPE_BYTES;
      return { ...callerLimits, maximumHeaderBytes };
    },
    onRequest: (inbound, answer) => {
      const envelope = openEnvelope(inbound, secret);
      if (envelope === undefined) {
        logger.warn({ target: inbound.target }, 'forwarded request without a proof refused');
        answer.send(STATUS_FORBIDDEN, [], EMPTY_BODY);
        return;
      }
      const { headerLines } = inbound;
      const callerLines = headerLines.filter((_, index) => !isForwardLine(headerLines, index));
      onRequest({ ...inbound, headerLines: callerLines }, answer, envelope);
    },
    onRejected: (status, reason) => logger.warn({ status, reason }, 'forwarded request rejected'),
    onFault,
  });
  return (incoming, response) => connections.onRequest(incoming, response);
};
