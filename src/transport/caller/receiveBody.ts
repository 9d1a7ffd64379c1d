import type { IncomingMessage } from 'node:http';

/** What receiving a body gave. */
export type BodyOutcome =
  | { readonly _tag: 'received'; readonly body: Uint8Array }
  | { readonly _tag: 'tooLarge' }
  /** The caller left before its end. */
  | { readonly _tag: 'left' };

const EMPTY = new Uint8Array(0);

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
  let size = 0;
  const chunks: Buffer[] = [];
  const settle = (outcome: BodyOutcome): void => {
    if (settled) return;
    settled = true;
    onOutcome(outcome);
  };
  request.on('data', (chunk: Buffer) => {
    if (settled) return;
    size += chunk.length;
    if (size > maximumBytes) settle({ _tag: 'tooLarge' });
    else chunks.push(chunk);
  });
  request.on('end', () => {
    const [first] = chunks;
    if (!first) settle({ _tag: 'received', body: EMPTY });
    else settle({ _tag: 'received', body: chunks.length === 1 ? first : Buffer.concat(chunks) });
  });
  request.on('error', () => settle({ _tag: 'left' }));
  request.on('close', () => settle({ _tag: 'left' }));
};
