/** Time for which a statement of a member counts. In it, a member hears from a sample of the group. */
const STATEMENT_RETENTION_MS = 1_000;

interface Statement {
  readonly leader: string;
  readonly at: number;
}

/**
 * Estimates how large a part of the group follows each leader. While views differ, several members may take themselves
 * for the leader; each then uses only the part of the bounds of the group that its followers are of it.
 */
export class LeaderSupport {
  readonly #statements = new Map<string, Statement>();

  /**
   * Records whom a member follows.
   *
   * @param from - the member's incarnation
   * @param leader - incarnation of the member that it takes for the leader
   * @param now - current time in ms
   */
  record(from: string, leader: string, now: number): void {
    this.#statements.set(from, { leader, at: now });
  }

  /** Forgets a member that has ended. */
  remove(incarnation: string): void {
    this.#statements.delete(incarnation);
  }

  /**
   * Estimates the part of the group that follows a member, from what other members said lately.
   *
   * @param leader - the member's incarnation, which follows itself
   * @param hasEnded - whether a member is known not to be the leader any more; those that name it haven't heard of that
   * @param now - current time in ms
   * @returns a fraction from 0 to 1; 1 if nobody said anything
   */
  share(leader: string, hasEnded: (incarnation: string) => boolean, now: number): number {
    let followers = 1;
    let counted = 1;
    this.#statements.forEach((statement, from) => {
      if (now - statement.at > STATEMENT_RETENTION_MS) {
        this.#statements.delete(from);
        return;
      }
      if (hasEnded(statement.leader)) return;
      counted += 1;
      if (statement.leader === leader) followers += 1;
    });
    return followers / counted;
  }
}
