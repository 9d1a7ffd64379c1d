import type { IncomingHttpHeaders } from 'node:http';
import { ByteCollector } from './ByteCollector.ts';
import type { ConnectionPool } from './ConnectionPool.ts';
import { exchange } from './exchange.ts';
import type { Exchange } from './exchange.ts';

/** One small HTTP request whose answer is read as a whole. */
export interface WholeRequest {
  readonly address: string;
  /** Id that the server repeats in its answer; undefined for a request without one. */
  readonly id?: string;
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Sent as JSON where given. */
  readonly json?: unknown;
  readonly fresh: boolean;
  /** From the start of connecting to the last byte. */
  readonly timeoutMs: number;
  readonly maximumBytes: number;
}

/** What became of it. */
export type WholeOutcome =
  | {
      readonly _tag: 'answered';
      readonly status: number;
      readonly headers: IncomingHttpHeaders;
      readonly text: string;
    }
  /** No byte of it was written. */
  | { readonly _tag: 'refused'; readonly detail: string }
  /** It may have reached the server. */
  | { readonly _tag: 'lost'; readonly detail: string };

/**
 * Sends a request and collects its answer.
 *
 * @param pool - where connections come from
 * @param request - what to send
 * @param onOutcome - told once
 * @returns a handle to break it off
 */
export const requestWhole = (
  pool: ConnectionPool,
  request: WholeRequest,
  onOutcome: (outcome: WholeOutcome) => void,
): Pick<Exchange, 'abort'> => {
  let written = false;
  let settled = false;
  let timer: NodeJS.Timeout | undefined;
  let status = 0;
  let headers: IncomingHttpHeaders = {};
  let size = 0;
  const collected = new ByteCollector();
  const body = request.json === undefined ? undefined : Buffer.from(JSON.stringify(request.json));

  const finish = (outcome: WholeOutcome): void => {
    if (settled) return;
    settled = true;
    clearTimeout(timer);
    onOutcome(outcome);
  };
  const call = exchange(
    pool,
    {
      address: request.address,
      ...(request.id !== undefined && { id: request.id }),
      method: request.method,
      path: request.path,
      headers: { ...request.headers, ...(body && { 'content-type': 'application/json' }) },
      body,
      fresh: request.fresh,
      silenceMs: undefined,
    },
    (event) => {
      switch (event._tag) {
        case 'written':
          written = true;
          return;
        case 'head':
          status = event.status;
          headers = event.headers;
          return;
        case 'data':
          size += event.bytes.length;
          if (size <= request.maximumBytes) {
            collected.append(event.bytes);
            return;
          }
          // The first chunks may arrive before `exchange` has returned its handle.
          queueMicrotask(() => call.abort());
          finish({ _tag: 'lost', detail: `answer is over ${request.maximumBytes} bytes` });
          return;
        case 'ended':
          finish({
            _tag: 'answered',
            status,
            headers,
            text: collected.take().toString('utf8'),
          });
          return;
        case 'refused':
          finish(event);
          return;
        case 'broken':
          finish({ _tag: 'lost', detail: event.detail });
          return;
        default:
          event satisfies never;
      }
    },
  );
  timer = setTimeout(() => {
    call.abort();
    const detail = `no answer within ${request.timeoutMs} ms`;
    finish(written ? { _tag: 'lost', detail } : { _tag: 'refused', detail });
  }, request.timeoutMs);

  return {
    abort: () => {
      clearTimeout(timer);
      call.abort();
    },
  };
};
