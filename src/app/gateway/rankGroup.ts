import type { Member } from '../../state/Member.ts';

/** Members of each failure domain that usually have the youngest view: the watcher and its deputy. */
const STORE_CALLERS_PER_DOMAIN = 2;

/** Which member does what, as it follows from the members that a process knows. */
export interface GroupRanking {
  /** Incarnation of the member that schedules for all: the strongest one, and of equals the one that started first. */
  readonly leader: string;
  /** Incarnations of the members that accept requests and aren't suspected. */
  readonly serving: ReadonlySet<string>;
  /** Incarnations of the members of the own failure domain in the order in which they call the store. */
  readonly storeCallers: readonly string[];
  /** Incarnations of the members that call the store first in each other failure domain. */
  readonly otherStoreCallers: readonly string[];
  /** The other living members of the own failure domain. */
  readonly domainPeers: readonly Member[];
  /** Number of members that are alive and not suspected. */
  readonly unsuspectedCount: number;
}

/**
 * Sorts members by strength, the strongest first; of equals, the one that started first. Suspected members are
 * left out unless none is alive.
 */
const rankByStrength = (members: readonly Member[]): readonly Member[] => {
  const alive = members.filter(({ status }) => status === 'alive');
  const candidates = alive.length > 0 ? alive : members;
  return [...candidates].sort(
    (a, b) => (b.strength ?? 0) - (a.strength ?? 0) || (a.incarnation < b.incarnation ? -1 : 1),
  );
};

/** Selects the watcher and its deputy of each failure domain. */
const selectStoreCallers = (members: readonly Member[]): readonly string[] => {
  const counts = new Map<string, number>();
  return rankByStrength(members).flatMap(({ failureDomain, incarnation }) => {
    const count = counts.get(failureDomain) ?? 0;
    counts.set(failureDomain, count + 1);
    return count < STORE_CALLERS_PER_DOMAIN ? [incarnation] : [];
  });
};

const incarnationOf = ({ incarnation }: Member): string => incarnation;

/**
 * Derives which member does what.
 *
 * @param own - the record of this process
 * @param living - the members that haven't ended
 * @returns the roles; this process has those for which nobody serves
 */
export const rankGroup = (own: Member, living: readonly Member[]): GroupRanking => {
  const accepting = living.filter(({ draining }) => !draining);
  const isNear = ({ failureDomain }: Member): boolean => failureDomain === own.failureDomain;
  const isFar = (member: Member): boolean => !isNear(member);
  const unsuspected = living.filter(({ status }) => status === 'alive');
  return {
    leader: rankByStrength(accepting)[0]?.incarnation ?? own.incarnation,
    serving: new Set(unsuspected.filter(({ draining }) => !draining).map(incarnationOf)),
    storeCallers: rankByStrength(accepting.filter(isNear)).map(incarnationOf),
    otherStoreCallers: selectStoreCallers(accepting.filter(isFar)),
    domainPeers: living.filter(
      (member) => isNear(member) && member.incarnation !== own.incarnation,
    ),
    unsuspectedCount: unsuspected.length,
  };
};
