import type { Member } from '../../state/Member.ts';
import { rankMembers } from '../membership/rankMembers.ts';

/** Time for which an unreachable member is avoided. */
const UNREACHABLE_RETRY_MS = 1_000;

/** Selects the member that schedules a pool and avoids members that are unreachable from here. */
export class SchedulerSelector {
  readonly #unreachableUntil = new Map<string, number>();

  readonly #rankedByPool = new Map<string, readonly Member[]>();

  #members: readonly Member[] = [];

  /**
   * Replaces the members that may schedule.
   *
   * @param members - members that are alive or suspect and not draining, this process included
   */
  setMembers(members: readonly Member[]): void {
    this.#members = members;
    this.#rankedByPool.clear();
  }

  /**
   * Marks a member as unreachable, after a message to it was certainly not sent.
   *
   * @param incarnation - incarnation of the member
   * @param now - present monotonic time, ms
   */
  markUnreachable(incarnation: string, now: number): void {
    this.#unreachableUntil.set(incarnation, now + UNREACHABLE_RETRY_MS);
  }

  /**
   * Chooses the member that schedules a pool. Where all are unreachable, the first by rank is chosen.
   *
   * @param pool - the pool's name
   * @param now - present monotonic time, ms
   * @param excluded - incarnation that must not be chosen
   * @returns the member's incarnation, or undefined where there is none
   */
  choose(pool: string, now: number, excluded?: string): string | undefined {
    const ranked = this.#rank(pool).filter(({ incarnation }) => incarnation !== excluded);
    const reachable = ranked.filter(({ incarnation }) => !this.#isUnreachable(incarnation, now));
    const best = reachable.find(({ status }) => status === 'alive') ?? reachable[0] ?? ranked[0];
    return best?.incarnation;
  }

  /**
   * Ranks the members for a pool, in order of preference as its scheduler.
   *
   * @param pool - the pool's name
   * @returns members in rendezvous order
   */
  ranked(pool: string): readonly Member[] {
    return this.#rank(pool);
  }

  #isUnreachable(incarnation: string, now: number): boolean {
    const until = this.#unreachableUntil.get(incarnation);
    if (until === undefined) return false;
    if (until > now) return true;
    this.#unreachableUntil.delete(incarnation);
    return false;
  }

  #rank(pool: string): readonly Member[] {
    const known = this.#rankedByPool.get(pool);
    if (known !== undefined) return known;
    const ranked = rankMembers(`pool/${pool}`, this.#members);
    this.#rankedByPool.set(pool, ranked);
    return ranked;
  }
}
