import { Packr } from 'msgpackr';
import * as Result from 'effect/Result';
import * as Schema from 'effect/Schema';
import { PEER_PROTOCOL_VERSION, PeerEnvelope } from './PeerMessage.ts';
import type { PeerMessage } from './PeerMessage.ts';

/** Upper limit of an encoded message; a configuration can be up to a megabyte. */
export const MAXIMUM_MESSAGE_BYTES = 2 * 1024 * 1024;

// Records are off because they need state that both ends of a link share.
const packr = new Packr({ useRecords: false, mapsAsObjects: true, int64AsType: 'number' });
const decode = Schema.decodeUnknownResult(PeerEnvelope);

/**
 * Encodes a message to a peer in MessagePack, with the protocol version and the sender.
 *
 * @param from - incarnation of the sender
 * @param message - the message
 * @returns the encoded message, or undefined if it exceeds `MAXIMUM_MESSAGE_BYTES` or is nested too deeply to encode
 */
export const encodePeerMessage = (from: string, message: PeerMessage): Buffer | undefined => {
  try {
    const bytes = packr.pack({ version: PEER_PROTOCOL_VERSION, from, message });
    return bytes.length <= MAXIMUM_MESSAGE_BYTES ? bytes : undefined;
  } catch (error) {
    if (error instanceof RangeError) return undefined;
    throw error;
  }
};

/**
 * Decodes a message from a peer. Never throws.
 *
 * @param bytes - bytes as received
 * @returns the message with its sender, or undefined if the bytes aren't a valid message of this
 *   protocol version or exceed `MAXIMUM_MESSAGE_BYTES`
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
