import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { PeerMessage } from '../../protocol/peer/PeerMessage.ts';
import type { Member } from '../../state/Member.ts';
import type { EntryTiming } from '../../state/EntrySettings.ts';
import type { Action } from '../Action.ts';
import { IncarnationLease, type IncarnationLeaseState } from './IncarnationLease.ts';
import { MemberTable } from './MemberTable.ts';
import { OutstandingProbes } from './OutstandingProbes.ts';

/** Maximum number of member records in a probe or an acknowledgement. */
const MAXIMUM_UPDATES_PER_MESSAGE = 5;
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

/** Constructor options of a membership. */
export interface MembershipOptions {
  /** Record of this process. */
  readonly self: Member;
  readonly timing: EntryTiming;
  /** Generator for the choice of probe targets and of members that probe indirectly. */
  readonly random: RandomGenerator;
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

  private lastTickAt: number | undefined;

  /**
   * @param options - the record of this process, the timing and the random generator
   */
  constructor({ self, timing, random }: MembershipOptions) {
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
      this.nextProbeAt = now + this.timing.probeIntervalMs;
      actions.push(...this.probeNextMember(now));
    }
    if (now >= this.nextRejoinAt) {
      this.nextRejoinAt = now + REJOIN_INTERVAL_MS;
      actions.push(...this.rejoin(now));
    }
    this.memberTable.evictEnded(now);
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
    if (gapMs <= this.timing.probeTimeoutMs) return;
    this.probes.clear();
    this.memberTable.postponeSuspicions(gapMs);
  }

  private handleProbe(
    from: string,
    { sequence, updates }: Extract<PeerMessage, { _tag: 'probe' }>,
    now: number,
  ): Action[] {
    const decisions = this.mergeUpdates(from, updates, now);
    this.incarnationLease.requireFrom(now);
    this.memberTable.recordContact(from, now);
    if (this.memberTable.find(from) === undefined) return decisions;
    const ack: PeerMessage = { _tag: 'probeAck', sequence, updates: this.selectUpdatesFor(from) };
    return [...decisions, send(from, ack)];
  }

  private handleProbeAck(
    from: string,
    { sequence, updates }: Extract<PeerMessage, { _tag: 'probeAck' }>,
    now: number,
  ): Action[] {
    const wasKnown = this.memberTable.find(from) !== undefined;
    const actions = this.mergeUpdates(from, updates, now);
    const probe = this.probes.acknowledge(sequence);
    if (probe === undefined) return actions;
    if (!this.memberTable.hasSelfEnded()) this.incarnationLease.renew(probe.sentAt, now);
    this.memberTable.recordAcknowledgedRevision(from, probe.selfRevision);
    if (!wasKnown && this.memberTable.find(from) !== undefined) {
      actions.push(send(from, { _tag: 'membersRequest' }));
    }
    if (probe.requester !== undefined && from === probe.target) {
      const { incarnation: to, sequence: requesterSequence } = probe.requester;
      const requesterUpdates = this.selectUpdatesFor(to);
      actions.push(
        send(to, { _tag: 'probeAck', sequence: requesterSequence, updates: requesterUpdates }),
      );
    }
    return [...actions, ...this.memberTable.declareDeadIfReplaced(probe.target, from, now)];
  }

  private mergeUpdates(
    from: string,
    updates: readonly Member[],
    now: number,
    disseminate = true,
  ): Action[] {
    const decisions = this.memberTable.merge(from, updates, now, disseminate);
    if (this.memberTable.hasSelfEnded()) this.incarnationLease.revoke();
    return decisions;
  }

  private handleUnansweredProbes(now: number): Action[] {
    const { probeTimeoutMs } = this.timing;
    const probeRequests = this.probes
      .markDueForIndirectProbe(now - probeTimeoutMs)
      .flatMap(({ sequence, target }) => this.requestIndirectProbes(sequence, target));
    // An indirect probe has two more timeouts to be acknowledged than the direct one.
    const suspicions = this.probes
      .removeExpired(now - 3 * probeTimeoutMs)
      .flatMap(({ target }) => this.memberTable.markSuspect(target, now));
    return [...probeRequests, ...suspicions];
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

  private expireSuspicions(now: number): Action[] {
    return this.memberTable.declareSuspectsDead(now, this.timing.suspicionMs);
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
    return send(target, { _tag: 'probe', sequence, updates });
  }

  private probeAddress(address: string, now: number): Action {
    const self = this.memberTable.self();
    const sequence = this.probes.add(undefined, now, self.revision);
    return {
      _tag: 'sendAddress',
      to: address,
      message: { _tag: 'probe', sequence, updates: [self] },
    };
  }

  private rejoin(now: number): Action[] {
    const addresses = this.memberTable.addressesWithoutLiveMember([
      ...this.seeds,
      ...this.memberTable.deadMemberAddresses(),
    ]);
    if (addresses.length === 0) return [];
    const chosen = addresses[uniformInt(this.random, 0, addresses.length - 1)];
    return chosen === undefined ? [] : [this.probeAddress(chosen, now)];
  }

  private selectUpdatesFor(peer: string): readonly Member[] {
    return this.memberTable.selectUpdatesFor(peer, MAXIMUM_UPDATES_PER_MESSAGE);
  }
}
