import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { Member } from '../../state/Member.ts';
import type { Action } from '../Action.ts';
import { hasEnded, supersedes, type MemberRecord } from './MemberRecord.ts';
import { UpdateQueue } from './UpdateQueue.ts';
import { ViewDigest } from './ViewDigest.ts';

/** How long the record of an ended member is kept. */
const ENDED_RETENTION_MS = 600_000;
/**
 * How long the record of an ended member is still repeated to others. All members have received it
 * by then, and the limit keeps such records from circulating without end.
 */
const ENDED_DISSEMINATION_MS = 60_000;

const memberChangedAction = (member: Member): Action => ({
  _tag: 'decide',
  decision: { _tag: 'memberChanged', member: member.incarnation, status: member.status },
});

/** The known members, and the rules by which updates and failed probes change their records. */
export class MemberTable {
  private readonly records = new Map<string, MemberRecord>();

  private readonly updateQueue = new UpdateQueue();

  /** The live members, for comparisons with the views of others. */
  readonly digest = new ViewDigest();

  private readonly suspects = new Set<string>();

  /** Incarnations of other live members by peer address; usually one. */
  private readonly byAddress = new Map<string, Set<string>>();

  private cachedMembers:
    { readonly all: readonly Member[]; readonly live: readonly Member[] } | undefined;

  private changes = 0;

  private probeOrder: string[] = [];

  private ownIncarnationEnded = false;

  /**
   * @param ownMember - record of this process
   * @param random - generator for the order of probes and for samples
   */
  constructor(
    private ownMember: Member,
    private readonly random: RandomGenerator,
  ) {
    this.digest.put(ownMember);
  }

  /** Number of changes of the members so far, by which derived values can be kept. */
  get version(): number {
    return this.changes;
  }

  /** The record of this process. */
  self(): Member {
    return this.ownMember;
  }

  /** Returns whether peers have declared this incarnation dead, or it has left. */
  hasSelfEnded(): boolean {
    return this.ownIncarnationEnded;
  }

  /** This process and all other known members, ended ones included. */
  allMembers(): readonly Member[] {
    return this.listMembers().all;
  }

  /** The members that haven't ended, this process first unless it has left. */
  liveMembers(): readonly Member[] {
    return this.listMembers().live;
  }

  /**
   * Returns the record of a member.
   *
   * @param incarnation - the member's incarnation; may be that of this process
   * @returns the record, or undefined if the member is unknown or evicted
   */
  find(incarnation: string): Member | undefined {
    return incarnation === this.ownMember.incarnation
      ? this.ownMember
      : this.records.get(incarnation)?.member;
  }

  /**
   * Returns when this process last received a probe or a probe request from another member.
   *
   * @param incarnation - the member's incarnation
   * @returns the time in ms, or undefined if the member is unknown or evicted
   */
  lastContactAt(incarnation: string): number | undefined {
    return this.records.get(incarnation)?.lastContactAt;
  }

  /**
   * Records that a probe or a probe request from a member arrived. Contact with an ended member isn't
   * recorded.
   *
   * @param incarnation - the member's incarnation
   * @param now - current time in ms
   */
  recordContact(incarnation: string, now: number): void {
    const record = this.records.get(incarnation);
    if (record === undefined || hasEnded(record.member)) return;
    this.records.set(incarnation, { ...record, lastContactAt: now });
  }

  /**
   * Records which revision of this process's own record a member has acknowledged.
   *
   * @param incarnation - the member's incarnation
   * @param revision - the acknowledged revision
   */
  recordAcknowledgedRevision(incarnation: string, revision: number): void {
    const record = this.records.get(incarnation);
    if (record !== undefined) {
      this.records.set(incarnation, { ...record, acknowledgedRevision: revision });
    }
  }

  /**
   * Merges received updates into the table.
   *
   * @param from - the sender's incarnation
   * @param updates - the received records
   * @param now - current time in ms
   * @param disseminate - whether to pass the updates on; false for a full list of members, which
   *   other members receive as well
   * @returns the status changes to log
   */
  merge(from: string, updates: readonly Member[], now: number, disseminate = true): Action[] {
    return updates.flatMap((update) => {
      const actions = this.mergeUpdate(from, update, now);
      const isStored = this.records.get(update.incarnation)?.member === update;
      if (!disseminate && isStored && !hasEnded(update))
        this.updateQueue.remove(update.incarnation);
      return actions;
    });
  }

  /**
   * Marks an alive member as suspected.
   *
   * @param incarnation - the member's incarnation
   * @param now - current time in ms
   * @returns the status change to log, if any
   */
  markSuspect(incarnation: string, now: number): Action[] {
    const record = this.records.get(incarnation);
    if (record === undefined || record.member.status !== 'alive') return [];
    return this.storeRecord({ ...record.member, status: 'suspect' }, now);
  }

  /** Number of members that are suspected now. */
  get suspectCount(): number {
    return this.suspects.size;
  }

  /**
   * Declares dead the members whose suspicion wasn't refuted in time.
   *
   * @param now - current time in ms
   * @param suspicionMs - duration of a suspicion in ms
   * @returns the status changes to log
   */
  declareSuspectsDead(now: number, suspicionMs: number): Action[] {
    return [...this.suspects]
      .flatMap((incarnation) => this.records.get(incarnation) ?? [])
      .filter(({ updatedAt }) => now - updatedAt >= suspicionMs)
      .flatMap(({ member }) => this.storeRecord({ ...member, status: 'dead' }, now));
  }

  /**
   * Extends all suspicions.
   *
   * @param byMs - extension in ms
   */
  postponeSuspicions(byMs: number): void {
    this.suspects.forEach((incarnation) => {
      const record = this.records.get(incarnation);
      if (record !== undefined)
        this.records.set(incarnation, { ...record, updatedAt: record.updatedAt + byMs });
    });
  }

  /**
   * Declares a member dead if another incarnation at the same peer address answered its probe.
   *
   * @param target - incarnation of the probed member, or undefined where it wasn't known
   * @param answeredBy - incarnation that acknowledged the probe
   * @param now - current time in ms
   * @returns the status change to log, if any
   */
  declareDeadIfReplaced(target: string | undefined, answeredBy: string, now: number): Action[] {
    if (target === undefined || target === answeredBy) return [];
    const known = this.records.get(target)?.member;
    const answeringMember = this.find(answeredBy);
    if (known === undefined || hasEnded(known)) return [];
    if (answeringMember?.peerAddress !== known.peerAddress) return [];
    return this.storeRecord({ ...known, status: 'dead' }, now);
  }

  /**
   * Changes this process's own record, raises its revision and disseminates it.
   *
   * @param change - the changed fields; empty to refute a suspicion
   * @param now - current time in ms
   */
  updateSelf(change: Partial<Pick<Member, 'draining' | 'isolated' | 'status'>>, now: number): void {
    this.ownMember = { ...this.ownMember, ...change, revision: this.ownMember.revision + 1 };
    if (change.status === 'left') this.ownIncarnationEnded = true;
    this.recordOwnChange(now);
    this.records.forEach((record, incarnation) => {
      if (now >= record.updatedAt)
        this.records.set(incarnation, { ...record, acknowledgedRevision: -1 });
    });
  }

  /**
   * Replaces this process's incarnation; the old one becomes a member that has left.
   *
   * @param incarnation - the new incarnation
   * @param now - current time in ms
   * @returns the status changes to log
   */
  restartSelf(incarnation: string, now: number): Action[] {
    const old: Member = {
      ...this.ownMember,
      status: 'left',
      revision: this.ownMember.revision + 1,
    };
    this.ownMember = { ...this.ownMember, incarnation, status: 'alive', revision: 0 };
    this.ownIncarnationEnded = false;
    const decisions = this.storeRecord(old, now);
    this.recordOwnChange(now);
    this.records.forEach((record, key) =>
      this.records.set(key, { ...record, acknowledgedRevision: -1 }),
    );
    return [...decisions, memberChangedAction(this.ownMember)];
  }

  /** Ends the dissemination of updates that all members have, because views agree. */
  settleUpdates(now: number): void {
    this.updateQueue.settle(now);
  }

  /**
   * Evicts the records of members that ended long ago.
   *
   * @param now - current time in ms
   */
  evictEnded(now: number): void {
    this.records.forEach(({ member, updatedAt }, incarnation) => {
      if (!hasEnded(member) || now - updatedAt <= ENDED_RETENTION_MS) return;
      this.records.delete(incarnation);
      this.recordChange();
    });
  }

  /** Returns whether all other known members have left voluntarily; true where none is known. */
  allOthersLeft(): boolean {
    return [...this.records.values()].every(({ member }) => member.status === 'left');
  }

  /**
   * Filters peer addresses to those at which no live member is known.
   *
   * @param addresses - peer addresses, repetitions allowed
   * @returns the remaining addresses, each once
   */
  addressesWithoutLiveMember(addresses: readonly string[]): readonly string[] {
    const occupied = new Set(this.liveMembers().map(({ peerAddress }) => peerAddress));
    return [...new Set(addresses)].filter((address) => !occupied.has(address));
  }

  /**
   * Returns the peer addresses of members that were declared dead, not of those that left.
   *
   * @param since - earliest time of the declaration in ms, inclusive
   */
  deadMemberAddresses(since = Number.NEGATIVE_INFINITY): readonly string[] {
    return [...this.records.values()]
      .filter(({ member, updatedAt }) => member.status === 'dead' && updatedAt >= since)
      .map(({ member }) => member.peerAddress);
  }

  /**
   * Returns the records of some members that this process knows and another one lacks, chosen at random if there are
   * too many.
   *
   * @param incarnations - the members
   * @param maximum - maximum number of records
   */
  sampleRecords(incarnations: readonly string[], maximum: number): readonly Member[] {
    const chosen =
      incarnations.length > maximum ? this.shuffle(incarnations).slice(0, maximum) : incarnations;
    return chosen.flatMap((incarnation) => this.find(incarnation) ?? []);
  }

  /**
   * Returns members that share their peer address with another live one, of which only one can run.
   *
   * @param members - the members to look at
   * @returns their incarnations
   */
  findSharedAddresses(members: readonly Member[]): readonly string[] {
    const addresses = new Set(members.map(({ peerAddress }) => peerAddress));
    return [...addresses].flatMap((address) => {
      const incarnations = [...(this.byAddress.get(address) ?? [])];
      return incarnations.length > 1 ? incarnations : [];
    });
  }

  /**
   * Returns the records that are newer here than those that a member sent.
   *
   * @param updates - the received records
   */
  newerThan(updates: readonly Member[]): readonly Member[] {
    return updates.flatMap((update) => {
      const known = this.find(update.incarnation);
      return known !== undefined && supersedes(known, update) ? [known] : [];
    });
  }

  /**
   * Returns the next member to probe. Each round covers all other live members in a newly shuffled
   * order, which bounds the time between two probes of a member.
   *
   * @returns the member's incarnation, or undefined where no other live member is known
   */
  nextProbeTarget(): string | undefined {
    if (this.probeOrder.length === 0) this.probeOrder = this.shuffle(this.liveOtherIncarnations());
    const next = this.probeOrder.pop();
    if (next === undefined) return undefined;
    const member = this.find(next);
    return member === undefined || hasEnded(member) ? this.nextProbeTarget() : next;
  }

  /**
   * Draws a random sample of the other live members.
   *
   * @param count - maximum size of the sample
   * @param except - incarnation of a member to leave out
   * @returns the sampled members
   */
  sampleLive(count: number, except: string): readonly Member[] {
    const others = this.liveOtherIncarnations().filter((incarnation) => incarnation !== except);
    return this.shuffle(others)
      .slice(0, count)
      .flatMap((incarnation) => this.records.get(incarnation)?.member ?? []);
  }

  /**
   * Selects the records to piggyback on a message: this process's own record until the peer has
   * acknowledged it, the peer's record if its status isn't `alive`, then queued updates.
   *
   * @param peer - incarnation of the receiving member
   * @param maximum - maximum number of records
   * @returns the selected records
   */
  selectUpdatesFor(peer: string, maximum: number): readonly Member[] {
    const record = this.records.get(peer);
    const selected = new Map<string, Member>();
    const add = (member: Member): void => {
      if (selected.size < maximum) selected.set(member.incarnation, member);
    };
    if (record === undefined || record.acknowledgedRevision < this.ownMember.revision)
      add(this.ownMember);
    if (record !== undefined && record.member.status !== 'alive') add(record.member);
    this.updateQueue.take(maximum - selected.size, this.records.size + 1).forEach(add);
    return [...selected.values()];
  }

  // A live record at this process's own address belongs to an incarnation that this one replaced. A
  // new incarnation that sends its own record replaces the live members at its address.
  private mergeUpdate(from: string, update: Member, now: number): Action[] {
    if (update.incarnation === this.ownMember.incarnation)
      return this.mergeUpdateOfSelf(update, now);
    const known = this.records.get(update.incarnation)?.member;
    if (known !== undefined) return supersedes(update, known) ? this.storeRecord(update, now) : [];
    if (!hasEnded(update) && update.peerAddress === this.ownMember.peerAddress) {
      return this.storeRecord({ ...update, status: 'dead' }, now);
    }
    const replaced =
      update.incarnation === from && !hasEnded(update) ? this.membersReplacedBy(update) : [];
    return [
      ...replaced.flatMap((old) => this.storeRecord({ ...old, status: 'dead' }, now)),
      ...this.storeRecord(update, now),
    ];
  }

  // A suspicion is refuted by a revision above the suspected one; `dead` and `left` can't be refuted.
  private mergeUpdateOfSelf(update: Member, now: number): Action[] {
    if (hasEnded(update)) {
      this.ownIncarnationEnded = true;
    } else if (
      update.status === 'suspect' &&
      update.revision >= this.ownMember.revision &&
      !this.ownIncarnationEnded
    ) {
      this.ownMember = { ...this.ownMember, revision: update.revision };
      this.updateSelf({}, now);
    }
    return [];
  }

  private membersReplacedBy(update: Member): readonly Member[] {
    return [...this.records.values()]
      .map(({ member }) => member)
      .filter((member) => member.peerAddress === update.peerAddress && !hasEnded(member));
  }

  private storeRecord(member: Member, now: number): Action[] {
    const known = this.records.get(member.incarnation);
    this.records.set(member.incarnation, {
      member,
      updatedAt: now,
      lastContactAt: known?.lastContactAt ?? now,
      acknowledgedRevision: known?.acknowledgedRevision ?? -1,
    });
    this.updateQueue.add(member, now);
    this.indexRecord(member);
    if (member.status === 'suspect') this.suspects.add(member.incarnation);
    else this.suspects.delete(member.incarnation);
    this.recordChange();
    const isUnchanged =
      known?.member.status === member.status && known.member.draining === member.draining;
    return isUnchanged ? [] : [memberChangedAction(member)];
  }

  /**
   * Returns the record of a random other member, which may have ended recently.
   *
   * @param now - current time in ms
   * @returns one record, or none where no other member is known
   */
  randomRecord(now: number): readonly Member[] {
    const records = [...this.records.values()].filter(
      ({ member, updatedAt }) => !hasEnded(member) || now - updatedAt < ENDED_DISSEMINATION_MS,
    );
    if (records.length === 0) return [];
    const record = records[uniformInt(this.random, 0, records.length - 1)];
    return record === undefined ? [] : [record.member];
  }

  private liveOtherIncarnations(): string[] {
    return this.liveMembers()
      .map(({ incarnation }) => incarnation)
      .filter((incarnation) => incarnation !== this.ownMember.incarnation);
  }

  private listMembers(): { readonly all: readonly Member[]; readonly live: readonly Member[] } {
    if (this.cachedMembers === undefined) {
      const others = [...this.records.values()].map(({ member }) => member);
      const all = [this.ownMember, ...others];
      this.cachedMembers = { all, live: all.filter((member) => !hasEnded(member)) };
    }
    return this.cachedMembers;
  }

  private indexRecord(member: Member): void {
    const { incarnation, peerAddress } = member;
    const atAddress = this.byAddress.get(peerAddress) ?? new Set();
    if (hasEnded(member)) {
      this.digest.remove(incarnation);
      atAddress.delete(incarnation);
    } else {
      this.digest.put(member);
      atAddress.add(incarnation);
    }
    if (atAddress.size > 0) this.byAddress.set(peerAddress, atAddress);
    else this.byAddress.delete(peerAddress);
  }

  private recordChange(): void {
    this.changes += 1;
    this.cachedMembers = undefined;
  }

  private recordOwnChange(now: number): void {
    this.updateQueue.add(this.ownMember, now);
    if (hasEnded(this.ownMember)) this.digest.remove(this.ownMember.incarnation);
    else this.digest.put(this.ownMember);
    this.recordChange();
  }

  private shuffle(items: readonly string[]): string[] {
    const shuffled = [...items];
    shuffled.forEach((item, index) => {
      const otherIndex = uniformInt(this.random, 0, index);
      shuffled[index] = shuffled[otherIndex] ?? item;
      shuffled[otherIndex] = item;
    });
    return shuffled;
  }
}
