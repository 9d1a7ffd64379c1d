import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';

const NONCE_BYTES = 16;
const PROOF_BYTES = 32;

/**
 * What a proof is for: either end of a link, or a forwarded request. Keeps a proof from being sent back as
 * the other end's.
 */
export type PeerRole = 'caller' | 'listener' | 'forwarder';

/** Makes a nonce, in hex. */
export const makeNonce = (): string => randomBytes(NONCE_BYTES).toString('hex');

/**
 * Proves knowledge of the shared secret for one link.
 *
 * @param secret - the shared secret
 * @param role - the end that proves
 * @param callerNonce - nonce of the end that opened the link
 * @param listenerNonce - nonce of the other end
 * @returns the proof in hex
 */
export const makeProof = (
  secret: string,
  role: PeerRole,
  callerNonce: string,
  listenerNonce: string,
): string =>
  createHmac('sha256', secret).update(`${role}|${callerNonce}|${listenerNonce}`).digest('hex');

/**
 * Checks a proof in constant time.
 *
 * @param expected - what `makeProof` gives
 * @param presented - what the other end sent
 */
export const isProof = (expected: string, presented: string): boolean => {
  const given = Buffer.from(presented, 'hex');
  return given.length === PROOF_BYTES && timingSafeEqual(Buffer.from(expected, 'hex'), given);
};
