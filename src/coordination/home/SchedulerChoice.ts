import type { Member } from '../../state/Member.ts';
import { rankMembers } from '../membership/rankMembers.ts';

/** Time for which a member that could not be reached isn't asked again. */
const AVOID_MS = 1_000;

/** Picks the member that schedules a pool, passing over those that can't be reached from here. */
export class SchedulerSelector {
  readonly #avoidUntil = new Map<string, number>();

  readonly #ranks = new Map<string, readonly Member[]>();

  #members: readonly Member[] = [];

  /**
   * Takes over a new view of the members that may schedule.
   *
   * @param members - members that are alive or suspect and not draining, this process included
   */
  setMembers(members: readonly Member[]): void {
    this.#members = members;
    this.#ranks.clear();
  }

  /**
   * Notes that a message to a member was surely not sent.
   *
   * @param incarnation - the member
   * @param now - present monotonic time, ms
   */
  markUnreachable(incarnation: string, now: number): void {
    this.#avoidUntil.set(incarnation, now + AVOID_MS);
  }

  /**
   * Gives the member to ask for a slot.
   *
   * @param pool - the pool's name
   * @param now - present monotonic time, ms
   * @param excluded - a member that must not be chosen
   * @returns its incarnation, or undefined where there is none
   */
  choose(pool: string, now: number, excluded?: string): string | undefined {
    const ranked = this.#rank(pool).filter(({ incarnation }) => incarnation !== excluded);
    const reachable = ranked.filter(({ incarnation }) => !this.#avoided(incarnation, now));
    const best = reachable.find(({ status }) => status === 'alive') ?? reachable[0] ?? ranked[0];
    return best?.incarnation;
  }

  /**
   * Gives the members to ask about a pool's requests, the likeliest scheduler first.
   *
   * @param pool - the pool's name
   * @returns members in rendezvous order
   */
  ranked(pool: string): readonly Member[] {
    return this.#rank(pool);
  }

  #avoided(incarnation: string, now: number): boolean {
    const until = this.#avoidUntil.get(incarnation);
    if (until === undefined) return false;
    if (until > now) return true;
    this.#avoidUntil.delete(incarnation);
    return false;
  }

  #rank(pool: string): readonly Member[] {
    const known = this.#ranks.get(pool);
    if (known !== undefined) return known;
    const ranked = rankMembers(`pool/${pool}`, this.#members);
    this.#ranks.set(pool, ranked);
    return ranked;
  }
}
