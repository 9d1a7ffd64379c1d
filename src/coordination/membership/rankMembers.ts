import { createHash } from 'node:crypto';
import type { Member } from '../../state/Member.ts';

/** Bytes of the hash that form a weight; 6 bytes fit a safe integer. */
const WEIGHT_BYTES = 6;

const rendezvousWeight = (key: string, incarnation: string): number =>
  createHash('sha1')
    .update(key)
    .update('\0')
    .update(incarnation)
    .digest()
    .readUIntBE(0, WEIGHT_BYTES);

/**
 * Ranks members for a key by rendezvous hashing. Processes with the same view of the members get the
 * same ranking, and a member that joins or leaves changes the owner of only those keys for which it
 * ranks first.
 *
 * @param key - key to assign an owner to, such as `pool/summaries`
 * @param members - the members to rank
 * @returns the members in order of rank, the owner first
 */
export const rankMembers = (key: string, members: readonly Member[]): readonly Member[] =>
  members
    .map((member) => ({ member, weight: rendezvousWeight(key, member.incarnation) }))
    .sort((a, b) => b.weight - a.weight || (a.member.incarnation < b.member.incarnation ? -1 : 1))
    .map(({ member }) => member);
