import { createHash } from 'node:crypto';
import type { Member } from '../../state/Member.ts';

const WEIGHT_BYTES = 6;

const rendezvousWeight = (key: string, incarnation: string): number =>
  createHash('sha1')
    .update(key)
    .update('\0')
    .update(incarnation)
    .digest()
    .readUIntBE(0, WEIGHT_BYTES);

/**
 * Orders members for a key by rendezvous hashing: every process with the same view gets the same
 * order, and a member that comes or goes moves only the keys that it wins.
 *
 * @param key - what is to be owned, such as `pool/summaries`
 * @param members - the members to choose from
 * @returns the members, the owner first
 */
export const rankMembers = (key: string, members: readonly Member[]): readonly Member[] =>
  members
    .map((member) => ({ member, weight: rendezvousWeight(key, member.incarnation) }))
    .sort((a, b) => b.weight - a.weight || (a.member.incarnation < b.member.incarnation ? -1 : 1))
    .map(({ member }) => member);
