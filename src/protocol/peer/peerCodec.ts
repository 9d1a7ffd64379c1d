import { Packr } from 'msgpackr';
import * as Result from 'effect/Result';
import * as Schema from 'effect/Schema';
import { PEER_PROTOCOL_VERSION, PeerEnvelope } from './PeerMessage.ts';
import type { PeerMessage } from './PeerMessage.ts';

/** Most bytes that one message may take; a configuration can be up to a megabyte. */
export const MAXIMUM_MESSAGE_BYTES = 2 * 1024 * 1024;

// Plain maps only: records would need state that both ends of a link share.
const packr = new Packr({ useRecords: false, mapsAsObjects: true, int64AsType: 'number' });
const decode = Schema.decodeUnknownResult(PeerEnvelope);

/**
 * Encodes a message for the link to a peer.
 *
 * @param from - sender's incarnation
 * @param message - what to say
 * @returns bytes, or undefined where they would be too many
 */
export const encodePeerMessage = (from: string, message: PeerMessage): Buffer | undefined => {
  const bytes = packr.pack({ version: PEER_PROTOCOL_VERSION, from, message });
  return bytes.length <= MAXIMUM_MESSAGE_BYTES ? bytes : undefined;
};

/**
 * Decodes what a peer sent. Never throws.
 *
 * @param bytes - any bytes
 * @returns undefined where they are no message of this protocol version
 */
export const decodePeerMessage = (bytes: Uint8Array): PeerEnvelope | undefined => {
  if (bytes.length > MAXIMUM_MESSAGE_BYTES) return undefined;
  try {
    const result = decode(packr.unpack(bytes));
    return Result.isSuccess(result) ? result.success : undefined;
  } catch {
    return undefined;
  }
};
