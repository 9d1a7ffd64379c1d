import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { PeerMessage } from '../../protocol/peer/PeerMessage.ts';
import type { Member } from '../../state/Member.ts';
import type { Timing } from '../../state/EntrySettings.ts';
import type { Action } from '../Action.ts';
import { IncarnationLease, type LeaseState } from './IncarnationLease.ts';
import { MemberTable } from './MemberTable.ts';
import { ProbeList } from './ProbeList.ts';

/** Most member records that one probe or acknowledgement carries. */
const MAXIMUM_UPDATES = 5;
/** Members asked to probe one that didn't answer. */
const INDIRECT_PROBES = 3;
/** How often an address without a live incarnation is tried again, so that a partition heals. */
const REJOIN_INTERVAL_MS = 5_000;

/** What a membership is made from. */
export interface MembershipOptions {
  readonly self: Member;
  readonly timing: Timing;
  readonly random: RandomGenerator;
}

const send = (to: string, message: PeerMessage): Action => ({ _tag: 'send', to, message });

/**
 * SWIM-style view of the entry processes: one random member is probed per interval, directly and
 * then through others; suspicions can be refuted; news travels on probes in messages of bounded
 * size. It also keeps this incarnation's lease.
 */
export class Membership {
  private readonly timing: Timing;

  private readonly random: RandomGenerator;

  private readonly table: MemberTable;

  private readonly probes: ProbeList;

  private incarnationLease: IncarnationLease;

  private seeds: readonly string[] = [];

  private nextProbeAt = 0;

  private nextRejoinAt = 0;

  private lastTickAt: number | undefined;

  constructor({ self, timing, random }: MembershipOptions) {
    this.timing = timing;
    this.random = random;
    this.table = new MemberTable(self, random);
    this.probes = new ProbeList();
    this.incarnationLease = new IncarnationLease(timing.incarnationLeaseMs);
  }

  /**
   * Gives everyone known, this process and recently ended incarnations included.
   *
   * @returns the members, ended ones for ten minutes
   */
  allMembers(): readonly Member[] {
    return this.table.allMembers();
  }

  /**
   * Gives the members that haven't ended, this process first; draining ones included.
   *
   * @returns the alive and suspected members
   */
  liveMembers(): readonly Member[] {
    return this.table.liveMembers();
  }

  /**
   * Gives the members that take new requests.
   *
   * @returns the alive and suspected members that aren't draining
   */
  acceptingMembers(): readonly Member[] {
    return this.table.liveMembers().filter(({ draining }) => !draining);
  }

  /**
   * Looks a member up.
   *
   * @param incarnation - its incarnation
   * @returns its record, or undefined where it is unknown or forgotten
   */
  find(incarnation: string): Member | undefined {
    return this.table.find(incarnation);
  }

  /**
   * Gives the state of this incarnation's lease.
   *
   * @param now - present time in ms
   * @returns the state; once lapsed it stays so until `restart`
   */
  lease(now: number): LeaseState {
    return this.incarnationLease.state(now);
  }

  /**
   * Tells when a probe of a member last arrived.
   *
   * @param incarnation - the member's incarnation
   * @returns the time in ms; before the first probe, when the member became known
   */
  lastContactAt(incarnation: string): number | undefined {
    return this.table.lastContactAt(incarnation);
  }

  /**
   * Makes contact with addresses and keeps them to try again while nobody answers there.
   *
   * @param addresses - peer addresses; one's own is left out
   * @param now - present time in ms
   * @returns the probes to send
   */
  join(addresses: readonly string[], now: number): Action[] {
    const { peerAddress } = this.table.self();
    this.seeds = addresses.filter((address) => address !== peerAddress);
    return this.table.unanswered(this.seeds).map((address) => this.introduce(address, now));
  }

  /**
   * Does what is due: probes, indirect probes, suspicions and their ends.
   *
   * @param now - present time in ms
   * @returns what to send and to log
   */
  tick(now: number): Action[] {
    this.excusePause(now);
    const actions = [...this.followUp(now), ...this.expireSuspicions(now)];
    if (now >= this.nextProbeAt) {
      this.nextProbeAt = now + this.timing.probeIntervalMs;
      actions.push(...this.probeNext(now));
    }
    if (now >= this.nextRejoinAt) {
      this.nextRejoinAt = now + REJOIN_INTERVAL_MS;
      actions.push(...this.rejoin(now));
    }
    this.table.forgetEnded(now);
    if (this.table.standsAlone()) this.incarnationLease.waive();
    return actions;
  }

  /**
   * Takes a message of membership; others are ignored.
   *
   * @param from - the sender's incarnation
   * @param message - what it sent
   * @param now - present time in ms
   * @returns answers and decisions
   */
  handle(from: string, message: PeerMessage, now: number): Action[] {
    switch (message._tag) {
      case 'probe':
        return this.handleProbe(from, message, now);
      case 'probeAck':
        return this.handleAck(from, message, now);
      case 'probeRequest': {
        this.table.hear(from, now);
        const taken = this.take(from, [message.target, ...message.updates], now);
        const { sequence, target } = message;
        return [...taken, this.probeMember(target.incarnation, now, { to: from, sequence })];
      }
      case 'membersRequest':
        return [send(from, { _tag: 'membersReply', members: this.table.allMembers() })];
      case 'membersReply':
        // The sender's whole view: others have it too, so it isn't spread on.
        return this.take(from, message.members, now, false);
      default:
        return [];
    }
  }

  /**
   * Starts a new incarnation of this process; the old one has left.
   *
   * @param incarnation - the new, never repeated start number
   * @param now - present time in ms
   * @returns the introductions to send and the change to log
   */
  restart(incarnation: string, now: number): Action[] {
    const decisions = this.table.replaceSelf(incarnation, now);
    this.incarnationLease = new IncarnationLease(this.timing.incarnationLeaseMs);
    this.probes.clear();
    this.nextProbeAt = now;
    const addresses = this.table
      .liveMembers()
      .slice(1, 1 + INDIRECT_PROBES)
      .map(({ peerAddress }) => peerAddress);
    const targets = addresses.length > 0 ? addresses : this.seeds;
    return [...decisions, ...targets.map((address) => this.introduce(address, now))];
  }

  /**
   * Tells peers that this process takes no new requests.
   *
   * @param now - present time in ms
   * @returns probes that carry the news at once
   */
  drain(now: number): Action[] {
    this.table.reviseSelf({ draining: true }, now);
    return this.announce(now);
  }

  /**
   * Tells peers that this process is gone.
   *
   * @param now - present time in ms
   * @returns probes that carry the news at once
   */
  leave(now: number): Action[] {
    this.table.reviseSelf({ status: 'left' }, now);
    this.incarnationLease.revoke();
    return this.announce(now);
  }

  private announce(now: number): Action[] {
    return this.table
      .liveMembers()
      .filter(({ incarnation }) => incarnation !== this.table.self().incarnation)
      .slice(0, INDIRECT_PROBES)
      .map(({ incarnation }) => this.probeMember(incarnation, now));
  }

  /** A late tick means that this process stood still; what it didn't hear meanwhile proves nothing. */
  private excusePause(now: number): void {
    const gapMs = now - (this.lastTickAt ?? now);
    this.lastTickAt = now;
    if (gapMs <= this.timing.probeTimeoutMs) return;
    this.probes.clear();
    this.table.postponeSuspicions(gapMs);
  }

  private handleProbe(
    from: string,
    { sequence, updates }: Extract<PeerMessage, { _tag: 'probe' }>,
    now: number,
  ): Action[] {
    const decisions = this.take(from, updates, now);
    this.incarnationLease.startAt(now);
    this.table.hear(from, now);
    if (this.table.find(from) === undefined) return decisions;
    const ack: PeerMessage = { _tag: 'probeAck', sequence, updates: this.newsFor(from) };
    return [...decisions, send(from, ack)];
  }

  private handleAck(
    from: string,
    { sequence, updates }: Extract<PeerMessage, { _tag: 'probeAck' }>,
    now: number,
  ): Action[] {
    const wasKnown = this.table.find(from) !== undefined;
    const actions = this.take(from, updates, now);
    const probe = this.probes.settle(sequence);
    if (probe === undefined) return actions;
    if (!this.table.selfEnded()) this.incarnationLease.renew(probe.sentAt, now);
    this.table.markTold(from, probe.selfRevision);
    if (!wasKnown && this.table.find(from) !== undefined) {
      actions.push(send(from, { _tag: 'membersRequest' }));
    }
    if (probe.onBehalfOf !== undefined && from === probe.target) {
      const { to, sequence: theirs } = probe.onBehalfOf;
      const relayed = this.newsFor(to);
      actions.push(send(to, { _tag: 'probeAck', sequence: theirs, updates: relayed }));
    }
    return [...actions, ...this.table.retireAt(probe.target, from, now)];
  }

  private take(from: string, updates: readonly Member[], now: number, spread = true): Action[] {
    const decisions = this.table.merge(from, updates, now, spread);
    if (this.table.selfEnded()) this.incarnationLease.revoke();
    return decisions;
  }

  private followUp(now: number): Action[] {
    const { probeTimeoutMs } = this.timing;
    const indirect = this.probes
      .unansweredSince(now - probeTimeoutMs)
      .flatMap(({ sequence, target }) => this.probeThroughOthers(sequence, target));
    const suspicions = this.probes
      .expiredSince(now - 3 * probeTimeoutMs)
      .flatMap(({ target }) => this.table.markSuspect(target, now));
    return [...indirect, ...suspicions];
  }

  private probeThroughOthers(sequence: number, incarnation: string): Action[] {
    const target = this.table.find(incarnation);
    if (target === undefined) return [];
    return this.table
      .sample(INDIRECT_PROBES, incarnation)
      .map((helper) =>
        send(helper.incarnation, { _tag: 'probeRequest', sequence, target, updates: [] }),
      );
  }

  private expireSuspicions(now: number): Action[] {
    return this.table.endSuspected(now, this.timing.suspicionMs);
  }

  private probeNext(now: number): Action[] {
    const target = this.table.nextProbeTarget();
    return target === undefined ? [] : [this.probeMember(target, now)];
  }

  private probeMember(
    target: string,
    now: number,
    onBehalfOf?: { readonly to: string; readonly sequence: number },
  ): Action {
    const sequence = this.probes.add(target, now, this.table.self().revision, onBehalfOf);
    // Every second probe repeats an old record, for those whom its news passed by.
    const repeated = sequence % 2 === 0 ? this.table.randomRecord(now) : [];
    const updates = [...this.newsFor(target), ...repeated].slice(0, MAXIMUM_UPDATES);
    return send(target, { _tag: 'probe', sequence, updates });
  }

  private introduce(address: string, now: number): Action {
    const self = this.table.self();
    const sequence = this.probes.add(undefined, now, self.revision);
    return {
      _tag: 'sendAddress',
      to: address,
      message: { _tag: 'probe', sequence, updates: [self] },
    };
  }

  private rejoin(now: number): Action[] {
    const addresses = this.table.unanswered([...this.seeds, ...this.table.endedAddresses()]);
    if (addresses.length === 0) return [];
    const chosen = addresses[uniformInt(this.random, 0, addresses.length - 1)];
    return chosen === undefined ? [] : [this.introduce(chosen, now)];
  }

  private newsFor(peer: string): readonly Member[] {
    return this.table.newsFor(peer, MAXIMUM_UPDATES);
  }
}
