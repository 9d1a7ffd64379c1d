import type { PlacementTicket } from '../../../protocol/peer/GatewayMessages.ts';

/** Recent use of one account. */
interface AccountUse {
  /** Decayed engine time of its granted requests, in ms. */
  engineMs: number;
  /** Decayed number of its requests. */
  requests: number;
  /** Decayed number of its granted requests. */
  grants: number;
  /** Quota relative to that of the other accounts; undefined if it has none. */
  weight: number | undefined;
}

/** Recent use of the accounts of one rank at one service. */
interface RankUse {
  readonly accounts: Map<string, AccountUse>;
  /** When the use was last decayed, in ms. */
  decayedAt: number;
}

/** Time constant of the exponential decay: a burst of some seconds counts in full, an earlier one no longer. */
const DECAY_TIME_CONSTANT_MS = 5_000;
/**
 * An account is above its share from this multiple of it: below, the order by priority and value serves more
 * callers. At 1.5 the load patterns with a hot account earn up to 0.015 of the value less, at 2.5 the other accounts
 * get little of what the hot one takes.
 */
const SHARE_MARGIN = 2;
/**
 * An account with a lower grant ratio relative to the others doesn't yield. One that is served less than a quarter
 * as often as the rest counts as starved.
 */
const MINIMUM_RELATIVE_GRANT_RATIO = 0.4;
/** Accounts of a rank that are remembered; the one with the least use is forgotten first. */
const MAXIMUM_ACCOUNTS = 256;
/** Decayed number of requests below which an account is forgotten. */
const MINIMUM_REQUESTS = 0.05;

const rankOf = ({ service, accountPriority }: PlacementTicket): string =>
  `${accountPriority}/${service}`;

const accountOf = ({ account }: PlacementTicket): string => account ?? '';

const sumOf = (uses: readonly AccountUse[], pick: (use: AccountUse) => number): number =>
  uses.reduce((sum, use) => sum + pick(use), 0);

/** Decays the use of a rank to the current time and forgets accounts without recent requests. */
const decay = (rank: RankUse, now: number): void => {
  if (now <= rank.decayedAt) return;
  const { accounts, decayedAt } = rank;
  const factor = Math.exp(-(now - decayedAt) / DECAY_TIME_CONSTANT_MS);
  const decayed = rank;
  decayed.decayedAt = now;
  accounts.forEach((account, name) => {
    const use = account;
    use.engineMs *= factor;
    use.requests *= factor;
    use.grants *= factor;
    if (use.requests < MINIMUM_REQUESTS) accounts.delete(name);
  });
};

/** Lists the accounts that use more than their shares and don't starve. */
const findAbove = (accounts: ReadonlyMap<string, AccountUse>): ReadonlySet<string> => {
  const uses = [...accounts.values()];
  const known = uses.flatMap(({ weight }) => (weight === undefined ? [] : [weight]));
  const meanWeight =
    known.length === 0 ? 1 : known.reduce((sum, weight) => sum + weight, 0) / known.length;
  const weightOf = ({ weight }: AccountUse): number => weight ?? meanWeight;
  const allWeight = sumOf(uses, weightOf);
  const allEngineMs = sumOf(uses, ({ engineMs }) => engineMs);
  const allRequests = sumOf(uses, ({ requests }) => requests);
  const allGrants = sumOf(uses, ({ grants }) => grants);
  const isAbove = (use: AccountUse): boolean => {
    const shareMs = (allEngineMs * weightOf(use)) / allWeight;
    const otherRatio = (allGrants - use.grants) / Math.max(1, allRequests - use.requests);
    const isStarving = use.grants < use.requests * otherRatio * MINIMUM_RELATIVE_GRANT_RATIO;
    return use.engineMs > shareMs * SHARE_MARGIN && !isStarving;
  };
  return new Set([...accounts].filter(([, use]) => isAbove(use)).map(([name]) => name));
};

/**
 * Engine time that the accounts of each rank have used in the last seconds, compared with their shares by quota.
 * Under contention the requests of an account above its share yield to those of others.
 */
export class AccountShares {
  readonly #ranks = new Map<string, RankUse>();

  /**
   * Counts a request.
   *
   * @param ticket - the request
   * @param now - current time, in ms
   */
  recordRequest(ticket: PlacementTicket, now: number): void {
    const use = this.#useOf(ticket, now);
    use.requests += 1;
    use.weight = ticket.accountWeight;
  }

  /**
   * Counts a granted slot.
   *
   * @param ticket - the request
   * @param engineTimeMs - engine time that it is expected to use, in ms
   * @param now - current time, in ms
   */
  recordGrant(ticket: PlacementTicket, engineTimeMs: number, now: number): void {
    const use = this.#useOf(ticket, now);
    use.grants += 1;
    use.engineMs += engineTimeMs;
  }

  /**
   * Finds the accounts above their shares.
   *
   * @param now - current time, in ms
   * @returns whether the account of a ticket is above its share
   */
  findAboveShare(now: number): (ticket: PlacementTicket) => boolean {
    const above = new Map<string, ReadonlySet<string>>();
    this.#ranks.forEach((rank, key) => {
      decay(rank, now);
      above.set(key, findAbove(rank.accounts));
    });
    return (ticket) => above.get(rankOf(ticket))?.has(accountOf(ticket)) ?? false;
  }

  #useOf(ticket: PlacementTicket, now: number): AccountUse {
    const rank = this.#ranks.get(rankOf(ticket)) ?? { accounts: new Map(), decayedAt: now };
    this.#ranks.set(rankOf(ticket), rank);
    decay(rank, now);
    const { accounts } = rank;
    const known = accounts.get(accountOf(ticket));
    if (known !== undefined) return known;
    if (accounts.size >= MAXIMUM_ACCOUNTS) {
      const [least] = [...accounts].sort(([, a], [, b]) => a.requests - b.requests);
      if (least !== undefined) accounts.delete(least[0]);
    }
    const use = { engineMs: 0, requests: 0, grants: 0, weight: ticket.accountWeight };
    accounts.set(accountOf(ticket), use);
    return use;
  }
}
