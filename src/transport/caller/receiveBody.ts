import type { IncomingMessage } from 'node:http';
import { ByteCollector } from '../http/index.ts';

/** What receiving a body gave. */
export type BodyOutcome =
  | { readonly _tag: 'received'; readonly body: Uint8Array }
  | { readonly _tag: 'tooLarge' }
  /** The caller left before its end. */
  | { readonly _tag: 'left' };

/**
 * Collects a request's body. How long that may take is the server's business.
 *
 * @param request - the request
 * @param maximumBytes - most that is collected
 * @param onOutcome - told once
 */
export const receiveBody = (
  request: IncomingMessage,
  maximumBytes: number,
  onOutcome: (outcome: BodyOutcome) => void,
): void => {
  if (Number(request.headers['content-length'] ?? 0) > maximumBytes) {
    onOutcome({ _tag: 'tooLarge' });
    return;
  }
  let settled = false;
  const collected = new ByteCollector();
  const settle = (outcome: BodyOutcome): void => {
    if (settled) return;
    settled = true;
    onOutcome(outcome);
  };
  request.on('data', (chunk: Buffer) => {
    if (settled) return;
    if (collected.size + chunk.length > maximumBytes) settle({ _tag: 'tooLarge' });
    else collected.append(chunk);
  });
  request.on('end', () => settle({ _tag: 'received', body: collected.take() }));
  request.on('error', () => settle({ _tag: 'left' }));
  request.on('close', () => settle({ _tag: 'left' }));
};
