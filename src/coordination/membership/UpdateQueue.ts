import type { Member } from '../../state/Member.ts';

const TRANSMISSIONS_PER_DOUBLING = 3;

interface PendingUpdate {
  readonly member: Member;
  readonly transmissions: number;
}

/**
 * Membership news that still has to be piggy-backed. Each piece goes out a number of times that
 * grows with the logarithm of the fleet, the least sent first, so that messages keep their size.
 */
export class UpdateQueue {
  private readonly pending = new Map<string, PendingUpdate>();

  /**
   * Puts news in the queue; it replaces older news of the same incarnation.
   *
   * @param member - the record to spread
   */
  add(member: Member): void {
    this.pending.set(member.incarnation, { member, transmissions: 0 });
  }

  /**
   * Takes news out of the queue that everyone else has already.
   *
   * @param incarnation - whose record
   */
  drop(incarnation: string): void {
    this.pending.delete(incarnation);
  }

  /**
   * Takes the next pieces of news for one message.
   *
   * @param count - most pieces to take
   * @param fleetSize - members known, which sets how often each piece is sent
   * @returns the records to send
   */
  take(count: number, fleetSize: number): readonly Member[] {
    const limit = TRANSMISSIONS_PER_DOUBLING * Math.ceil(Math.log2(fleetSize + 1));
    const chosen = [...this.pending.values()]
      .sort((a, b) => a.transmissions - b.transmissions)
      .slice(0, count);
    chosen.forEach(({ member, transmissions: sent }) => {
      if (sent + 1 >= limit) this.pending.delete(member.incarnation);
      else this.pending.set(member.incarnation, { member, transmissions: sent + 1 });
    });
    return chosen.map(({ member }) => member);
  }
}
