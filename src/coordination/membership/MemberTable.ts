import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { Member } from '../../state/Member.ts';
import type { Action } from '../Action.ts';
import { hasEnded, supersedes, type MemberRecord } from './MemberRecord.ts';
import { UpdateQueue } from './UpdateQueue.ts';

const KEEP_ENDED_MS = 600_000;
/** Ends are repeated to others only this long; everyone has them by then, and none circles on. */
const SPREAD_ENDED_MS = 60_000;

const memberChanged = (member: Member): Action => ({
  _tag: 'decide',
  decision: { _tag: 'memberChanged', member: member.incarnation, status: member.status },
});

/** The records of all members with the rules by which news changes them. */
export class MemberTable {
  private readonly records = new Map<string, MemberRecord>();

  private readonly updateQueue = new UpdateQueue();

  private probeOrder: string[] = [];

  private hasOwnEnded = false;

  constructor(
    private ownRecord: Member,
    private readonly random: RandomGenerator,
  ) {}

  self(): Member {
    return this.ownRecord;
  }

  /** Tells whether others have declared this incarnation dead, or it has left. */
  selfEnded(): boolean {
    return this.hasOwnEnded;
  }

  allMembers(): readonly Member[] {
    return [this.ownRecord, ...[...this.records.values()].map(({ member }) => member)];
  }

  liveMembers(): readonly Member[] {
    return this.allMembers().filter((member) => !hasEnded(member));
  }

  find(incarnation: string): Member | undefined {
    return incarnation === this.ownRecord.incarnation
      ? this.ownRecord
      : this.records.get(incarnation)?.member;
  }

  lastContactAt(incarnation: string): number | undefined {
    return this.records.get(incarnation)?.lastContactAt;
  }

  /** Notes that a probe from a member arrived; an ended one can't renew anything by it. */
  hear(incarnation: string, now: number): void {
    const record = this.records.get(incarnation);
    if (record === undefined || hasEnded(record.member)) return;
    this.records.set(incarnation, { ...record, lastContactAt: now });
  }

  markTold(incarnation: string, revision: number): void {
    const record = this.records.get(incarnation);
    if (record !== undefined) {
      this.records.set(incarnation, { ...record, toldRevision: revision });
    }
  }

  /** Takes over news that supersedes what is held. What came as a whole list isn't spread on. */
  merge(from: string, updates: readonly Member[], now: number, spread = true): Action[] {
    const settled = new Set(spread ? [] : updates.map(({ incarnation }) => incarnation));
    const actions = updates.flatMap((news) => this.mergeOne(from, news, now));
    settled.forEach((incarnation) => this.updateQueue.drop(incarnation));
    return actions;
  }

  markSuspect(incarnation: string, now: number): Action[] {
    const record = this.records.get(incarnation);
    if (record === undefined || record.member.status !== 'alive') return [];
    return this.storeRecord({ ...record.member, status: 'suspect' }, now);
  }

  endSuspected(now: number, suspicionMs: number): Action[] {
    return [...this.records.values()]
      .filter(
        ({ member, changedAt }) => member.status === 'suspect' && now - changedAt >= suspicionMs,
      )
      .flatMap(({ member }) => this.storeRecord({ ...member, status: 'dead' }, now));
  }

  postponeSuspicions(byMs: number): void {
    this.records.forEach((record, incarnation) => {
      if (record.member.status === 'suspect') {
        this.records.set(incarnation, { ...record, changedAt: record.changedAt + byMs });
      }
    });
  }

  /** Ends an incarnation whose address was answered by another one. */
  retireAt(target: string | undefined, answeredBy: string, now: number): Action[] {
    if (target === undefined || target === answeredBy) return [];
    const held = this.records.get(target)?.member;
    const answering = this.find(answeredBy);
    if (held === undefined || hasEnded(held)) return [];
    if (answering?.peerAddress !== held.peerAddress) return [];
    return this.storeRecord({ ...held, status: 'dead' }, now);
  }

  reviseSelf(change: Partial<Pick<Member, 'draining' | 'status'>>, now: number): void {
    this.ownRecord = { ...this.ownRecord, ...change, revision: this.ownRecord.revision + 1 };
    if (change.status === 'left') this.hasOwnEnded = true;
    this.updateQueue.add(this.ownRecord);
    this.records.forEach((record, incarnation) => {
      if (now >= record.changedAt) this.records.set(incarnation, { ...record, toldRevision: -1 });
    });
  }

  replaceSelf(incarnation: string, now: number): Action[] {
    const old: Member = {
      ...this.ownRecord,
      status: 'left',
      revision: this.ownRecord.revision + 1,
    };
    this.ownRecord = { ...this.ownRecord, incarnation, status: 'alive', revision: 0 };
    this.hasOwnEnded = false;
    const decisions = this.storeRecord(old, now);
    this.updateQueue.add(this.ownRecord);
    this.records.forEach((record, key) => this.records.set(key, { ...record, toldRevision: -1 }));
    return [...decisions, memberChanged(this.ownRecord)];
  }

  forgetEnded(now: number): void {
    this.records.forEach(({ member, changedAt }, incarnation) => {
      if (hasEnded(member) && now - changedAt > KEEP_ENDED_MS) this.records.delete(incarnation);
    });
  }

  /** Tells whether every other member ever met has left of its own accord. */
  standsAlone(): boolean {
    return [...this.records.values()].every(({ member }) => member.status === 'left');
  }

  /** Gives those of the addresses at which no live member is known. */
  unanswered(addresses: readonly string[]): readonly string[] {
    const taken = new Set(this.liveMembers().map(({ peerAddress }) => peerAddress));
    return [...new Set(addresses)].filter((address) => !taken.has(address));
  }

  endedAddresses(): readonly string[] {
    return [...this.records.values()]
      .filter(({ member }) => member.status === 'dead')
      .map(({ member }) => member.peerAddress);
  }

  /** Goes through all live members in an order that is shuffled anew each round. */
  nextProbeTarget(): string | undefined {
    if (this.probeOrder.length === 0) this.probeOrder = this.shuffle(this.liveOthers());
    const next = this.probeOrder.pop();
    if (next === undefined) return undefined;
    const member = this.find(next);
    return member === undefined || hasEnded(member) ? this.nextProbeTarget() : next;
  }

  sample(count: number, except: string): readonly Member[] {
    const others = this.liveOthers().filter((incarnation) => incarnation !== except);
    return this.shuffle(others)
      .slice(0, count)
      .flatMap((incarnation) => this.records.get(incarnation)?.member ?? []);
  }

  /** Chooses the records for one message: what concerns the peer, then news. */
  newsFor(peer: string, maximum: number): readonly Member[] {
    const record = this.records.get(peer);
    const chosen = new Map<string, Member>();
    const add = (member: Member): void => {
      if (chosen.size < maximum) chosen.set(member.incarnation, member);
    };
    if (record === undefined || record.toldRevision < this.ownRecord.revision) add(this.ownRecord);
    if (record !== undefined && record.member.status !== 'alive') add(record.member);
    this.updateQueue.take(maximum - chosen.size, this.records.size + 1).forEach(add);
    return [...chosen.values()];
  }

  private mergeOne(from: string, news: Member, now: number): Action[] {
    if (news.incarnation === this.ownRecord.incarnation) return this.mergeOwn(news, now);
    const held = this.records.get(news.incarnation)?.member;
    if (held !== undefined) return supersedes(news, held) ? this.storeRecord(news, now) : [];
    if (!hasEnded(news) && news.peerAddress === this.ownRecord.peerAddress) {
      return this.storeRecord({ ...news, status: 'dead' }, now);
    }
    const replaced = news.incarnation === from && !hasEnded(news) ? this.replacedBy(news) : [];
    return [
      ...replaced.flatMap((old) => this.storeRecord({ ...old, status: 'dead' }, now)),
      ...this.storeRecord(news, now),
    ];
  }

  private mergeOwn(news: Member, now: number): Action[] {
    if (hasEnded(news)) {
      this.hasOwnEnded = true;
    } else if (
      news.status === 'suspect' &&
      news.revision >= this.ownRecord.revision &&
      !this.hasOwnEnded
    ) {
      this.ownRecord = { ...this.ownRecord, revision: news.revision };
      this.reviseSelf({}, now);
    }
    return [];
  }

  private replacedBy(news: Member): readonly Member[] {
    return [...this.records.values()]
      .map(({ member }) => member)
      .filter((member) => member.peerAddress === news.peerAddress && !hasEnded(member));
  }

  private storeRecord(member: Member, now: number): Action[] {
    const held = this.records.get(member.incarnation);
    this.records.set(member.incarnation, {
      member,
      changedAt: now,
      lastContactAt: held?.lastContactAt ?? now,
      toldRevision: held?.toldRevision ?? -1,
    });
    this.updateQueue.add(member);
    const same = held?.member.status === member.status && held.member.draining === member.draining;
    return same ? [] : [memberChanged(member)];
  }

  /** Gives a record at random, one that ended lately included; none where nobody else is known. */
  randomRecord(now: number): readonly Member[] {
    const records = [...this.records.values()].filter(
      ({ member, changedAt }) => !hasEnded(member) || now - changedAt < SPREAD_ENDED_MS,
    );
    if (records.length === 0) return [];
    const record = records[uniformInt(this.random, 0, records.length - 1)];
    return record === undefined ? [] : [record.member];
  }

  private liveOthers(): string[] {
    return [...this.records.values()]
      .filter(({ member }) => !hasEnded(member))
      .map(({ member }) => member.incarnation);
  }

  private shuffle(items: readonly string[]): string[] {
    const shuffled = [...items];
    shuffled.forEach((item, index) => {
      const other = uniformInt(this.random, 0, index);
      shuffled[index] = shuffled[other] ?? item;
      shuffled[other] = item;
    });
    return shuffled;
  }
}
