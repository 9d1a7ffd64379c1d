import { request as httpRequest } from 'node:http';
import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http';

/** An answer that was read to its end. */
export interface Exchange {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
}

/** What to send. */
export interface ExchangeRequest {
  readonly method?: string;
  readonly headers?: OutgoingHttpHeaders;
  readonly body?: unknown;
  readonly timeoutMs?: number;
}

/**
 * Sends one request on a connection of its own.
 *
 * @param url - where to
 * @param request - method, headers and a value to send as JSON
 * @returns the whole answer; the promise is rejected where the connection broke before its end
 */
export const exchange = (url: string, request: ExchangeRequest = {}): Promise<Exchange> =>
  new Promise((resolve, reject) => {
    const body = request.body === undefined ? undefined : JSON.stringify(request.body);
    const sent = httpRequest(
      url,
      {
        method: request.method ?? (body === undefined ? 'GET' : 'POST'),
        headers: request.headers ?? {},
        agent: false,
        timeout: request.timeoutMs ?? 10_000,
      },
      (response) => {
        const parts: Buffer[] = [];
        response.on('data', (part: Buffer) => parts.push(part));
        response.on('error', reject);
        response.on('end', () =>
          resolve({
            status: response.statusCode ?? 0,
            headers: response.headers,
            body: Buffer.concat(parts).toString('utf8'),
          }),
        );
      },
    );
    sent.on('timeout', () => sent.destroy(new Error(`no answer from ${url}`)));
    sent.on('error', reject);
    sent.end(body);
  });
