import type { Member } from '../../state/Member.ts';

/** Transmissions of each update per doubling of the number of members. */
const TRANSMISSIONS_PER_SIZE_DOUBLING = 3;

/**
 * Time for which an update is disseminated though views agree: until then some members may still suspect one that has
 * refuted the suspicion.
 */
const SETTLED_RETENTION_MS = 2_000;

interface PendingUpdate {
  readonly member: Member;
  /** When it was added, in ms. */
  readonly addedAt: number;
  readonly transmissions: number;
}

/**
 * Membership updates to be piggybacked on probes and acknowledgements. Each update is sent a number
 * of times that grows with the logarithm of the number of members, the least sent ones first, so
 * that the size of a message stays bounded.
 */
export class UpdateQueue {
  private readonly pending = new Map<string, PendingUpdate>();

  /**
   * Adds an update, which replaces an earlier one of the same incarnation.
   *
   * @param member - the record to disseminate
   * @param now - current time in ms
   */
  add(member: Member, now: number): void {
    this.pending.set(member.incarnation, { member, addedAt: now, transmissions: 0 });
  }

  /**
   * Removes an update that needn't be disseminated, because the other members receive it as well.
   *
   * @param incarnation - incarnation of the member in the update
   */
  remove(incarnation: string): void {
    this.pending.delete(incarnation);
  }

  /**
   * Removes updates that all members have, because views agree.
   *
   * @param now - current time in ms
   */
  settle(now: number): void {
    this.pending.forEach(({ member, addedAt }, incarnation) => {
      const hasJoined = member.status === 'alive' && member.revision === 0;
      if (hasJoined || now - addedAt >= SETTLED_RETENTION_MS) this.pending.delete(incarnation);
    });
  }

  /**
   * Selects the updates for one message and counts their transmission.
   *
   * @param count - maximum number of updates
   * @param memberCount - number of known members, which determines how often each update is sent
   * @returns the records to send
   */
  take(count: number, memberCount: number): readonly Member[] {
    const maximumTransmissions =
      TRANSMISSIONS_PER_SIZE_DOUBLING * Math.ceil(Math.log2(memberCount + 1));
    const selected = [...this.pending.values()]
      .sort((a, b) => a.transmissions - b.transmissions)
      .slice(0, count);
    selected.forEach((update) => {
      const { incarnation } = update.member;
      const transmissions = update.transmissions + 1;
      if (transmissions >= maximumTransmissions) this.pending.delete(incarnation);
      else this.pending.set(incarnation, { ...update, transmissions });
    });
    return selected.map(({ member }) => member);
  }
}
