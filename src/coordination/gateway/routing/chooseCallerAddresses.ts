import { createHash } from 'node:crypto';
import type { Member } from '../../../state/Member.ts';

/** Where a caller is, as far as it says. */
export interface CallerLocation {
  readonly failureDomain?: string | undefined;
  readonly region?: string | undefined;
}

/** Whom an answer to a caller may name. */
export interface AddressCandidates {
  /** Members that accept requests. */
  readonly serving: readonly Member[];
  /** Members that died recently without leaving. */
  readonly recentlyLost: readonly Member[];
}

/** Most addresses in an answer. */
const MAXIMUM_ADDRESSES = 64;
/** Fewest, if there are as many members: a caller goes on while several of them are lost. */
const MINIMUM_ADDRESSES = 16;
/** How much more often a member of the caller's failure domain is named than another one of its strength. */
const SAME_DOMAIN_WEIGHT = 1.5;
/** How much more often a member of the caller's region is named than one of another region. */
const SAME_REGION_WEIGHT = 8;
/** Part of the answers in which the strongest members are named at most, so that all are named in proportion. */
const ROOM_BELOW_ALL = 0.75;
/** Bytes of the hash of an address; 6 bytes fit a safe integer. */
const HASH_BYTES = 6;

/** Returns a number that depends on nothing but the address. */
const hashOf = (address: string): number =>
  createHash('sha1').update(address).digest().readUIntBE(0, HASH_BYTES);

/** Spreads members evenly over the numbers from 0 to 1, in an order that members which come and go don't change. */
const spreadEvenly = (members: readonly Member[]) =>
  members
    .map((member) => ({ member, hash: hashOf(member.callerAddress) }))
    .sort((first, second) => first.hash - second.hash)
    .map(({ member }, index) => ({ member, position: (index + 0.5) / members.length }));

/** Returns the place of the process among the members of its failure domain, from 0 to 1, by which their choices differ. */
const placeOf = (members: readonly Member[], answeredBy: string): number => {
  const own = members.find(({ peerAddress }) => peerAddress === answeredBy);
  const peers = members.filter(({ failureDomain }) => failureDomain === own?.failureDomain);
  const before = peers.filter(({ peerAddress }) => peerAddress < answeredBy).length;
  return before / Math.max(1, peers.length);
};

const strengthOf = ({ strength }: Member): number => Math.max(Number.EPSILON, strength ?? 1);

const selectHealthy = (members: readonly Member[]): readonly Member[] => {
  const reaching = members.filter(({ isolated }) => isolated !== true);
  const preferred = reaching.length > 0 ? reaching : members;
  const alive = preferred.filter(({ status }) => status === 'alive');
  return alive.length > 0 ? alive : preferred;
};

/**
 * Chooses the addresses that a caller may send requests to. Callers spread their connections evenly over the addresses
 * that they are given, so that stronger members are named in more answers, by weighted sampling. The samples are
 * shifted by the place of the process that answers, so that the choices of all of them name each member as often as it is
 * strong, and each stays nearly the same while members come and go.
 *
 * If more members were lost recently than are serving, this process is probably the one that is cut off, and its callers
 * may still reach the lost members, so that these are named too. Members that reach no endpoint, or are suspected, are
 * left out while there are others.
 *
 * @param candidates - the members
 * @param caller - where the caller is
 * @param answeredBy - peer address of this process
 * @returns distinct addresses, `IP:PORT` each, at most `MAXIMUM_ADDRESSES`
 */
export const chooseCallerAddresses = (
  { serving, recentlyLost }: AddressCandidates,
  caller: CallerLocation,
  answeredBy: string,
): readonly string[] => {
  const healthy = selectHealthy(serving);
  const isCutOff = recentlyLost.length > serving.length;
  const members = isCutOff ? [...healthy, ...recentlyLost] : healthy;
  const place = placeOf(serving, answeredBy);
  const weightOf = (member: Member): number =>
    strengthOf(member) *
    (member.failureDomain === caller.failureDomain ? SAME_DOMAIN_WEIGHT : 1) *
    (caller.region === undefined || member.region === caller.region ? SAME_REGION_WEIGHT : 1);
  const weighted = spreadEvenly(members).map(({ member, position }) => ({
    callerAddress: member.callerAddress,
    weight: weightOf(member),
    // Of (0, 1], as the logarithm needs.
    fraction: 1 - ((position + place) % 1),
  }));
  const total = weighted.reduce((sum, { weight }) => sum + weight, 0);
  const greatest = weighted.reduce((most, { weight }) => Math.max(most, weight), 0);
  // With more addresses the strongest members would be in every answer, and still get less than their part.
  const wanted = Math.max(
    MINIMUM_ADDRESSES,
    Math.floor((ROOM_BELOW_ALL * total) / Math.max(greatest, Number.EPSILON)),
  );
  const chosen = weighted
    .map(({ callerAddress, weight, fraction }) => ({
      callerAddress,
      order: -Math.log(fraction) / weight,
    }))
    .sort((first, second) => first.order - second.order)
    .map(({ callerAddress }) => callerAddress);
  return [...new Set(chosen)].slice(0, Math.min(MAXIMUM_ADDRESSES, wanted));
};
