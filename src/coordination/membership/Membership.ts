import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { MAXIMUM_COMPARED_MEMBERS, type PeerMessage } from '../../protocol/peer/PeerMessage.ts';
import type { Member } from '../../state/Member.ts';
import type { EntryTiming } from '../../state/EntrySettings.ts';
import type { Action } from '../Action.ts';
import { AnsweredProbes } from './AnsweredProbes.ts';
import { IncarnationLease, type IncarnationLeaseState } from './IncarnationLease.ts';
import { MemberTable } from './MemberTable.ts';
import { OutstandingProbes } from './OutstandingProbes.ts';
import { ReconciliationTimer } from './ReconciliationTimer.ts';
import { encodeHashes, type ViewSummary } from './ViewDigest.ts';

/** Maximum number of member records in a probe or an acknowledgement. */
const MAXIMUM_UPDATES_PER_MESSAGE = 5;
/** The same while comparisons of views bring all else: records of the sender and the receiver. */
const UPDATES_BESIDE_COMPARISONS = 2;
/**
 * Number of members that are asked for an indirect probe, or that are probed at once to announce a
 * restart, a drain or a departure of this process.
 */
const CONTACT_FANOUT = 3;
/**
 * Interval at which a known address without a live member is probed again, so that members find each
 * other after a network partition.
 */
const REJOIN_INTERVAL_MS = 5_000;
/** The same while members were declared dead recently, since most partitions are short. */
const RECENT_REJOIN_INTERVAL_MS = 500;
/** Time for which a death counts as recent. */
const RECENT_DEATH_MS = 60_000;
/** Longest interval between two ticks of a process that isn't paused, but for its load. */
const LONGEST_TICK_MS = 100;
/** Interval at which the records of members that ended long ago are looked for. */
const EVICTION_INTERVAL_MS = 1_000;
/**
 * Most records in one message of a comparison of views, so that a member which many others join at once isn't the one
 * that sends each of them all.
 */
const RECORDS_PER_COMPARISON = 64;
/** Members that are suspected at one time, from which on a part of the group is probably lost. */
const MANY_SUSPECTS = 4;
/** How much more often members are probed then. */
const HASTE = 5;
/** Number of members at which the suspicion time of the timing is meant; it grows with the logarithm. */
const REFERENCE_MEMBERS = 9;

type SenderView = Pick<Extract<PeerMessage, { _tag: 'probe' }>, 'view' | 'leader'>;

/** Constructor options of a membership. */
export interface MembershipOptions {
  /** Record of this process. */
  readonly self: Member;
  readonly timing: EntryTiming;
  /** Generator for the choice of probe targets and of members that probe indirectly. */
  readonly random: RandomGenerator;
  /** Returns the incarnation that this process takes for the leader, which probes tell; absent in groups without one. */
  readonly leader?: () => string;
  /** Called with what a probe or an acknowledgement tells of its sender's view. */
  readonly onSenderView?: (from: string, view: SenderView, now: number) => void;
}

const send = (to: string, message: PeerMessage): Action => ({ _tag: 'send', to, message });

/**
 * SWIM-style membership of the entry processes. Each interval one member is probed, in random order,
 * first directly and then through other members. A suspected member can refute the suspicion. Updates
 * are piggybacked on probes and acknowledgements, whose size is bounded. Acknowledged probes also
 * renew the lease of this incarnation.
 */
export class Membership {
  private readonly timing: EntryTiming;

  private readonly random: RandomGenerator;

  private readonly memberTable: MemberTable;

  private readonly probes: OutstandingProbes;

  private incarnationLease: IncarnationLease;

  private seeds: readonly string[] = [];

  private nextProbeAt = 0;

  private nextRejoinAt = 0;

  private nextEvictionAt = 0;

  private lastTickAt: number | undefined;

  private readonly reconciliation = new ReconciliationTimer();

  private readonly answeredProbes = new AnsweredProbes();

  private readonly options: MembershipOptions;

  /**
   * @param options - the record of this process, the timing and the random generator
   */
  constructor(options: MembershipOptions) {
    const { self, timing, random } = options;
    this.options = options;
    this.timing = timing;
    this.random = random;
    this.memberTable = new MemberTable(self, random);
    this.probes = new OutstandingProbes();
    this.incarnationLease = new IncarnationLease(timing.incarnationLeaseMs);
  }

  /**
   * Returns all known members, this process first. Incarnations that ended are included for ten
   * minutes.
   *
   * @returns the members
   */
  allMembers(): readonly Member[] {
    return this.memberTable.allMembers();
  }

  /**
   * Returns the members that haven't ended, draining ones included, this process first unless it left.
   *
   * @returns the alive and suspected members
   */
  liveMembers(): readonly Member[] {
    return this.memberTable.liveMembers();
  }

  /**
   * Returns the members that accept new requests.
   *
   * @returns the alive and suspected members that aren't draining
   */
  acceptingMembers(): readonly Member[] {
    return this.memberTable.liveMembers().filter(({ draining }) => !draining);
  }

  /** Number of changes of the members so far, by which derived values can be kept. */
  get version(): number {
    return this.memberTable.version;
  }

  /** Summary of the view of the live members. */
  get view(): ViewSummary {
    return this.memberTable.digest.summary;
  }

  /**
   * Estimates the part of the group that this process reaches, by its latest probes.
   *
   * @param now - current time in ms
   * @returns a fraction from 0 to 1
   */
  reachedShare(now: number): number {
    return this.answeredProbes.share(now);
  }

  /**
   * Returns the record of a member.
   *
   * @param incarnation - the member's incarnation
   * @returns the record, or undefined if the member is unknown or evicted
   */
  find(incarnation: string): Member | undefined {
    return this.memberTable.find(incarnation);
  }

  /**
   * Returns the state of this incarnation's lease.
   *
   * @param now - current time in ms
   * @returns the state; `lapsed` is final until `restart`
   */
  lease(now: number): IncarnationLeaseState {
    return this.incarnationLease.state(now);
  }

  /**
   * Returns when this process last received a probe or a probe request from another member.
   *
   * @param incarnation - the member's incarnation
   * @returns the time in ms; before the first probe, when the member became known; undefined if the
   *   member is unknown or evicted
   */
  lastContactAt(incarnation: string): number | undefined {
    return this.memberTable.lastContactAt(incarnation);
  }

  /**
   * Probes seed addresses, and keeps them to probe again while no live member is known there.
   *
   * @param addresses - peer addresses; that of this process is ignored
   * @param now - current time in ms
   * @returns the probes to send
   */
  join(addresses: readonly string[], now: number): Action[] {
    const { peerAddress } = this.memberTable.self();
    this.seeds = addresses.filter((address) => address !== peerAddress);
    return this.memberTable
      .addressesWithoutLiveMember(this.seeds)
      .map((address) => this.probeAddress(address, now));
  }

  /**
   * Performs what is due: probes, indirect probes, suspicions, expiry of suspicions and eviction.
   *
   * @param now - current time in ms
   * @returns messages to send and status changes to log
   */
  tick(now: number): Action[] {
    this.compensateForPause(now);
    const actions = [...this.handleUnansweredProbes(now), ...this.expireSuspicions(now)];
    if (now >= this.nextProbeAt) {
      this.nextProbeAt = now + this.probeIntervalMs();
      actions.push(...this.probeNextMember(now));
    }
    if (now >= this.nextRejoinAt) actions.push(...this.rejoin(now));
    if (this.reconciliation.takeCatchUp(now)) {
      const { incarnation } = this.memberTable.self();
      this.memberTable
        .sampleLive(1, incarnation)
        .forEach((member) => actions.push(this.compareViews(member.incarnation)));
    }
    if (now >= this.nextEvictionAt) {
      this.nextEvictionAt = now + EVICTION_INTERVAL_MS;
      this.memberTable.evictEnded(now);
    }
    if (this.memberTable.allOthersLeft()) this.incarnationLease.clearRequirement();
    return actions;
  }

  /**
   * Handles a membership message; other messages are ignored.
   *
   * @param from - the sender's incarnation
   * @param message - the received message
   * @param now - current time in ms
   * @returns replies to send and status changes to log
   */
  handle(from: string, message: PeerMessage, now: number): Action[] {
    switch (message._tag) {
      case 'probe':
        return this.handleProbe(from, message, now);
      case 'probeAck':
        return this.handleProbeAck(from, message, now);
      case 'probeRequest': {
        this.memberTable.recordContact(from, now);
        const decisions = this.mergeUpdates(from, [message.target, ...message.updates], now);
        const { sequence, target } = message;
        return [
          ...decisions,
          this.probeMember(target.incarnation, now, { incarnation: from, sequence }),
        ];
      }
      case 'membersRequest':
        return [send(from, { _tag: 'membersReply', members: this.memberTable.allMembers() })];
      case 'membersReply':
        // Not disseminated, as other members have received the sender's updates as well.
        return this.mergeUpdates(from, message.members, now, false);
      case 'memberHashes':
        return this.answerComparison(from, message.hashes);
      case 'memberRecords':
        return this.handleRecords(from, message, now);
      default:
        return [];
    }
  }

  /**
   * Starts a new incarnation of this process, with a new lease; the old incarnation has left.
   *
   * @param incarnation - the new incarnation, which must never have been used before
   * @param now - current time in ms
   * @returns probes that announce the new incarnation, and status changes to log
   */
  restart(incarnation: string, now: number): Action[] {
    const decisions = this.memberTable.restartSelf(incarnation, now);
    this.incarnationLease = new IncarnationLease(this.timing.incarnationLeaseMs);
    this.probes.clear();
    this.nextProbeAt = now;
    const addresses = this.memberTable
      .liveMembers()
      .slice(1, 1 + CONTACT_FANOUT)
      .map(({ peerAddress }) => peerAddress);
    const targets = addresses.length > 0 ? addresses : this.seeds;
    return [...decisions, ...targets.map((address) => this.probeAddress(address, now))];
  }

  /**
   * Announces that this process accepts no new requests.
   *
   * @param now - current time in ms
   * @returns probes that carry the updated record
   */
  drain(now: number): Action[] {
    this.memberTable.updateSelf({ draining: true }, now);
    return this.announce(now);
  }

  /**
   * Announces whether this process reaches any endpoint.
   *
   * @param isolated - whether it reaches none
   * @param now - current time in ms
   * @returns probes that carry the updated record
   */
  setIsolated(isolated: boolean, now: number): Action[] {
    this.memberTable.updateSelf({ isolated }, now);
    return this.announce(now);
  }

  /**
   * Announces that this process has left, and ends its lease.
   *
   * @param now - current time in ms
   * @returns probes that carry the updated record
   */
  leave(now: number): Action[] {
    this.memberTable.updateSelf({ status: 'left' }, now);
    this.incarnationLease.revoke();
    return this.announce(now);
  }

  private announce(now: number): Action[] {
    return this.memberTable
      .liveMembers()
      .filter(({ incarnation }) => incarnation !== this.memberTable.self().incarnation)
      .slice(0, CONTACT_FANOUT)
      .map(({ incarnation }) => this.probeMember(incarnation, now));
  }

  // A late tick means that this process was paused. Acknowledgements that it didn't receive meanwhile
  // are no evidence of a failure, so pending probes are discarded and suspicions extended.
  private compensateForPause(now: number): void {
    const gapMs = now - (this.lastTickAt ?? now);
    this.lastTickAt = now;
    if (gapMs <= this.timing.probeTimeoutMs + LONGEST_TICK_MS) return;
    this.probes.clear();
    this.answeredProbes.clear();
    this.memberTable.postponeSuspicions(gapMs);
  }

  private handleProbe(
    from: string,
    message: Extract<PeerMessage, { _tag: 'probe' }>,
    now: number,
  ): Action[] {
    const { sequence, updates } = message;
    const decisions = this.mergeUpdates(from, updates, now);
    this.incarnationLease.requireFrom(now);
    this.memberTable.recordContact(from, now);
    if (this.memberTable.find(from) === undefined) return decisions;
    this.reportSenderView(from, message, now);
    return [...decisions, send(from, this.makeAck(from, sequence))];
  }

  private handleProbeAck(
    from: string,
    message: Extract<PeerMessage, { _tag: 'probeAck' }>,
    now: number,
  ): Action[] {
    const { sequence, updates } = message;
    const wasKnown = this.memberTable.find(from) !== undefined;
    const actions = this.mergeUpdates(from, updates, now);
    const probe = this.probes.acknowledge(sequence);
    if (probe === undefined) return actions;
    if (probe.target !== undefined && probe.requester === undefined)
      this.answeredProbes.record(true, now);
    if (!this.memberTable.hasSelfEnded()) this.incarnationLease.renew(probe.sentAt, now);
    this.memberTable.recordAcknowledgedRevision(from, probe.selfRevision);
    if (this.memberTable.find(from) !== undefined) {
      // A member of an older build can't compare views.
      if (!wasKnown && message.view === undefined)
        actions.push(send(from, { _tag: 'membersRequest' }));
      actions.push(...this.observeView(from, message, now));
    }
    if (probe.requester !== undefined && from === probe.target) {
      const { incarnation: to, sequence: requesterSequence } = probe.requester;
      actions.push(send(to, this.makeAck(to, requesterSequence)));
    }
    return [...actions, ...this.memberTable.declareDeadIfReplaced(probe.target, from, now)];
  }

  private mergeUpdates(
    from: string,
    updates: readonly Member[],
    now: number,
    disseminate = true,
  ): Action[] {
    const { revision } = this.memberTable.self();
    const decisions = this.memberTable.merge(from, updates, now, disseminate);
    if (this.memberTable.hasSelfEnded()) this.incarnationLease.revoke();
    const hasRefuted = this.memberTable.self().revision > revision;
    // A process that has started again ends its old incarnation by its answer.
    const shared = decisions.length === 0 ? [] : this.memberTable.findSharedAddresses(updates);
    const probes = shared.map((incarnation) => this.probeMember(incarnation, now));
    return [...decisions, ...probes, ...(hasRefuted ? this.announce(now) : [])];
  }

  private handleUnansweredProbes(now: number): Action[] {
    const { probeTimeoutMs } = this.timing;
    const probeRequests = this.probes
      .markDueForIndirectProbe(now - probeTimeoutMs)
      .flatMap(({ sequence, target }) => this.requestIndirectProbes(sequence, target));
    // An indirect probe has two more timeouts to be acknowledged than the direct one.
    const suspicions = this.probes.removeExpired(now - 3 * probeTimeoutMs).flatMap(({ target }) => {
      this.answeredProbes.record(false, now);
      return this.suspect(target, now);
    });
    return [...probeRequests, ...suspicions];
  }

  private probeIntervalMs(): number {
    const { probeIntervalMs } = this.timing;
    return this.memberTable.suspectCount >= MANY_SUSPECTS
      ? probeIntervalMs / HASTE
      : probeIntervalMs;
  }

  /** Suspects a member, and probes it until the suspicion ends, so that it learns of it and can refute it. */
  private suspect(target: string, now: number): Action[] {
    const decisions = this.memberTable.markSuspect(target, now);
    const isSuspect = this.memberTable.find(target)?.status === 'suspect';
    return isSuspect ? [...decisions, this.probeReliably(target, now)] : decisions;
  }

  private requestIndirectProbes(sequence: number, incarnation: string): Action[] {
    const target = this.memberTable.find(incarnation);
    if (target === undefined) return [];
    return this.memberTable
      .sampleLive(CONTACT_FANOUT, incarnation)
      .map((prober) =>
        send(prober.incarnation, { _tag: 'probeRequest', sequence, target, updates: [] }),
      );
  }

  // A suspicion and its refutation reach all members in a time that grows with the logarithm of their number.
  private expireSuspicions(now: number): Action[] {
    const { members } = this.view;
    const factor = Math.max(1, Math.log2(members + 1) / Math.log2(REFERENCE_MEMBERS + 1));
    return this.memberTable.declareSuspectsDead(now, this.timing.suspicionMs * factor);
  }

  private compareViews(to: string): Action {
    return send(to, { _tag: 'memberHashes', hashes: this.memberTable.digest.encode() });
  }

  /** Sends what the other member lacks, and asks for what is unknown here. */
  private answerComparison(from: string, hashes: Uint8Array): Action[] {
    if (this.memberTable.find(from) === undefined) return [];
    const { lacking, unknown } = this.memberTable.digest.compare(hashes);
    if (lacking.length === 0 && unknown.length === 0) return [];
    const members = this.memberTable.sampleRecords(lacking, RECORDS_PER_COMPARISON);
    const wanted = encodeHashes(unknown.slice(0, RECORDS_PER_COMPARISON));
    return [send(from, { _tag: 'memberRecords', members, wanted })];
  }

  /** Merges records, and answers with those that were asked for and with newer ones than the sender has. */
  private handleRecords(
    from: string,
    { members, wanted }: Extract<PeerMessage, { _tag: 'memberRecords' }>,
    now: number,
  ): Action[] {
    const { version } = this.memberTable;
    // Not disseminated, as comparisons spread them.
    const decisions = this.mergeUpdates(from, members, now, false);
    this.reconciliation.recordNews(this.memberTable.version - version);
    const requested = this.memberTable.sampleRecords(
      this.memberTable.digest.find(wanted),
      RECORDS_PER_COMPARISON,
    );
    const answer = [...requested, ...this.memberTable.newerThan(members)];
    if (answer.length === 0) return decisions;
    const records = answer.slice(0, MAXIMUM_COMPARED_MEMBERS);
    const reply: PeerMessage = {
      _tag: 'memberRecords',
      members: records,
      wanted: new Uint8Array(),
    };
    return [...decisions, send(from, reply)];
  }

  private reportSenderView(from: string, { view, leader }: SenderView, now: number): void {
    if (view === undefined) return;
    this.options.onSenderView?.(from, { view, ...(leader !== undefined && { leader }) }, now);
  }

  // The sender of a probe sees in its acknowledgement that views differ; so one of the two compares them.
  private observeView(from: string, message: SenderView, now: number): Action[] {
    this.reportSenderView(from, message, now);
    const { view } = message;
    if (view === undefined) {
      this.reconciliation.recordSilence();
      return [];
    }
    const isDue = this.reconciliation.observe(this.view, view, now);
    if (this.reconciliation.isAgreed) this.memberTable.settleUpdates(now);
    return isDue ? [this.compareViews(from)] : [];
  }

  private describeView(): SenderView {
    const leader = this.options.leader?.();
    return { view: this.view, ...(leader !== undefined && { leader }) };
  }

  private makeAck(to: string, sequence: number): PeerMessage {
    return {
      _tag: 'probeAck',
      sequence,
      updates: this.selectUpdatesFor(to),
      ...this.describeView(),
    };
  }

  private probeNextMember(now: number): Action[] {
    const target = this.memberTable.nextProbeTarget();
    return target === undefined ? [] : [this.probeMember(target, now)];
  }

  private probeMember(
    target: string,
    now: number,
    requester?: { readonly incarnation: string; readonly sequence: number },
  ): Action {
    const sequence = this.probes.add(target, now, this.memberTable.self().revision, requester);
    // Every second probe repeats a random record, for members that missed its dissemination.
    const repeated = sequence % 2 === 0 ? this.memberTable.randomRecord(now) : [];
    const updates = [...this.selectUpdatesFor(target), ...repeated].slice(
      0,
      MAXIMUM_UPDATES_PER_MESSAGE,
    );
    return send(target, { _tag: 'probe', sequence, updates, ...this.describeView() });
  }

  private probeReliably(target: string, now: number): Action {
    const probe = this.probeMember(target, now);
    return probe._tag === 'send' ? { ...probe, isReliable: true } : probe;
  }

  private probeAddress(address: string, now: number): Action {
    const self = this.memberTable.self();
    const sequence = this.probes.add(undefined, now, self.revision);
    return {
      _tag: 'sendAddress',
      to: address,
      message: { _tag: 'probe', sequence, updates: [self], ...this.describeView() },
    };
  }

  private rejoin(now: number): Action[] {
    const recent = this.memberTable.deadMemberAddresses(now - RECENT_DEATH_MS);
    const hasRecent = this.memberTable.addressesWithoutLiveMember(recent).length > 0;
    this.nextRejoinAt = now + (hasRecent ? RECENT_REJOIN_INTERVAL_MS : REJOIN_INTERVAL_MS);
    const dead = hasRecent ? recent : this.memberTable.deadMemberAddresses();
    const addresses = this.memberTable.addressesWithoutLiveMember([...this.seeds, ...dead]);
    if (addresses.length === 0) return [];
    const chosen = addresses[uniformInt(this.random, 0, addresses.length - 1)];
    return chosen === undefined ? [] : [this.probeAddress(chosen, now)];
  }

  private selectUpdatesFor(peer: string): readonly Member[] {
    const maximum = this.reconciliation.isFar
      ? UPDATES_BESIDE_COMPARISONS
      : MAXIMUM_UPDATES_PER_MESSAGE;
    return this.memberTable.selectUpdatesFor(peer, maximum);
  }
}
