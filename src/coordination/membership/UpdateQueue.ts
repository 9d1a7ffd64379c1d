import type { Member } from '../../state/Member.ts';

/** Transmissions of each update per doubling of the number of members. */
const TRANSMISSIONS_PER_SIZE_DOUBLING = 3;

interface PendingUpdate {
  readonly member: Member;
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
   */
  add(member: Member): void {
    this.pending.set(member.incarnation, { member, transmissions: 0 });
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
    selected.forEach(({ member, transmissions }) => {
      if (transmissions + 1 >= maximumTransmissions) this.pending.delete(member.incarnation);
      else this.pending.set(member.incarnation, { member, transmissions: transmissions + 1 });
    });
    return selected.map(({ member }) => member);
  }
}
