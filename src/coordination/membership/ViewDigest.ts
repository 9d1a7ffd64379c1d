import { createHash } from 'node:crypto';
import type { Member } from '../../state/Member.ts';

/** Bytes of the hash of one record; 6 bytes fit a safe integer. */
export const RECORD_HASH_BYTES = 6;
const HASH_RANGE = 2 ** (8 * RECORD_HASH_BYTES);

/** What two members compare to learn whether their views differ. */
export interface ViewSummary {
  /** Number of live members, the sender included. */
  readonly members: number;
  /** Sum of the hashes of their records. */
  readonly hash: number;
}

/**
 * Hashes what the views of two members have to agree on. A suspicion isn't part of it, because it ends by itself.
 *
 * @param member - the record of a live member
 * @returns an integer of `RECORD_HASH_BYTES` bytes
 */
const hashRecord = ({ incarnation, revision }: Member): number =>
  createHash('sha1')
    .update(`${incarnation}\0${revision}`)
    .digest()
    .readUIntBE(0, RECORD_HASH_BYTES);

/** The live members of a view, in a form that can be compared with another view. */
export class ViewDigest {
  readonly #hashes = new Map<string, number>();

  #sum = 0;

  /** The summary to compare with that of another member. */
  get summary(): ViewSummary {
    return { members: this.#hashes.size, hash: this.#sum };
  }

  /**
   * Adds a live member, or replaces its record.
   *
   * @param member - the record
   */
  put(member: Member): void {
    this.remove(member.incarnation);
    const hash = hashRecord(member);
    this.#hashes.set(member.incarnation, hash);
    this.#sum = (this.#sum + hash) % HASH_RANGE;
  }

  /**
   * Removes a member that has ended; no effect if it isn't there.
   *
   * @param incarnation - the member's incarnation
   */
  remove(incarnation: string): void {
    const hash = this.#hashes.get(incarnation);
    if (hash === undefined) return;
    this.#hashes.delete(incarnation);
    this.#sum = (this.#sum - hash + HASH_RANGE) % HASH_RANGE;
  }

  /** Encodes the hashes of all records. */
  encode(): Uint8Array {
    return encodeHashes([...this.#hashes.values()]);
  }

  /**
   * Compares this view with that of another member.
   *
   * @param encoded - the hashes of its records, as `encode` returned them
   * @returns incarnations whose records it lacks, and hashes of its records that are unknown here
   */
  compare(encoded: Uint8Array): {
    readonly lacking: readonly string[];
    readonly unknown: readonly number[];
  } {
    const theirs = new Set(decodeHashes(encoded));
    const lacking = [...this.#hashes]
      .filter(([, hash]) => !theirs.has(hash))
      .map(([incarnation]) => incarnation);
    const own = new Set(this.#hashes.values());
    return { lacking, unknown: [...theirs].filter((hash) => !own.has(hash)) };
  }

  /**
   * Finds the members whose records have given hashes.
   *
   * @param encoded - the hashes
   * @returns their incarnations; unknown hashes are passed over
   */
  find(encoded: Uint8Array): readonly string[] {
    const wanted = new Set(decodeHashes(encoded));
    return [...this.#hashes].filter(([, hash]) => wanted.has(hash)).map(([key]) => key);
  }
}

/** Encodes hashes of records, `RECORD_HASH_BYTES` bytes each. */
export function encodeHashes(hashes: readonly number[]): Uint8Array {
  const bytes = Buffer.alloc(hashes.length * RECORD_HASH_BYTES);
  hashes.forEach((hash, index) =>
    bytes.writeUIntBE(hash, index * RECORD_HASH_BYTES, RECORD_HASH_BYTES),
  );
  return bytes;
}

/** Decodes hashes of records; an incomplete one at the end is passed over. */
export function decodeHashes(encoded: Uint8Array): readonly number[] {
  const bytes = Buffer.from(encoded.buffer, encoded.byteOffset, encoded.byteLength);
  const count = Math.floor(bytes.length / RECORD_HASH_BYTES);
  return Array.from({ length: count }, (_, index) =>
    bytes.readUIntBE(index * RECORD_HASH_BYTES, RECORD_HASH_BYTES),
  );
}
