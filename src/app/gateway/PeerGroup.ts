import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { Logger } from 'pino';
import type { Action } from '../../coordination/Action.ts';
import {
  LeaderSupport,
  Membership,
  type ViewSummary,
} from '../../coordination/membership/index.ts';
import type { PeerMessage } from '../../protocol/peer/PeerMessage.ts';
import type { PeerDelivery, PeerNetwork } from '../../protocol/peer/PeerNetwork.ts';
import type { Member } from '../../state/Member.ts';
import type { EntryTiming } from '../../state/EntrySettings.ts';
import { rankGroup, type GroupRanking } from './rankGroup.ts';

/** Own member record, timing and collaborators of a peer group. */
export interface PeerGroupOptions {
  /** This process, as the other members see it. */
  readonly self: Member;
  readonly timing: EntryTiming;
  readonly random: RandomGenerator;
  readonly network: PeerNetwork;
  readonly logger: Logger;
  /** Makes a new incarnation after peers declared the present one dead. */
  readonly nextIncarnation: () => string;
  /** Called for every message that does not belong to the membership protocol. */
  readonly onMessage: (from: string, message: PeerMessage, now: number) => void;
  /** Called once for each incarnation that died or left. */
  readonly onMemberEnded: (incarnation: string) => void;
}

/**
 * Period of frequent contact with seeds: after a power loss all gateways start at about the same time,
 * so that a seed may start later than this process.
 */
const EAGER_JOIN_PERIOD_MS = 15_000;
const EAGER_JOIN_INTERVAL_MS = 150;
/** Time after its start in which a process that has heard from no peer waits for one before it decides anything for the group. */
const FIRST_CONTACT_MS = 1_000;
/** Time for which the size of the group counts that a peer has stated. */
const STATED_SIZE_RETENTION_MS = 2_000;
/** Status changes of members that are logged one by one; more at once are logged as their number. */
const MAXIMUM_LOGGED_CHANGES = 3;
/**
 * Dead members count as possibly partitioned for this long, so that their shares of the slots stay
 * reserved.
 */
const LOST_MEMBER_RETENTION_MS = 10_000;
/** Most seeds that the settings name. A group with so many may have more members than these. */
const MAXIMUM_SEEDS = 3;
/** Size that such a group is assumed to have while no member has told it. */
const ASSUMED_GROUP_SIZE = 10;
/** Longest time for which lost members are remembered. */
const MAXIMUM_RETENTION_MS = 60_000;

const makeReliable = (action: Action): Action =>
  action._tag === 'send' ? { ...action, isReliable: true } : action;

/**
 * The group of gateways: runs the membership protocol, sends messages to members, and selects the
 * member that schedules and the members that watch the store.
 */
export class PeerGroup {
  readonly #options: PeerGroupOptions;

  readonly #membership: Membership;

  readonly #lostMembers = new Map<string, { readonly at: number; readonly member: Member }>();

  readonly #reportedEnded = new Set<string>();

  #seeds: readonly string[] = [];

  #eagerJoinUntil = Number.NEGATIVE_INFINITY;

  #nextSeedContactAt = Number.NEGATIVE_INFINITY;

  readonly #support = new LeaderSupport();

  #joinedAt: number | undefined;

  #hasHeardPeers = false;

  /** Largest number of members that a peer has stated lately. */
  #statedSize = { members: 0, at: Number.NEGATIVE_INFINITY };

  /** Version of the members up to which ended ones are reported. */
  #reportedVersion = -1;

  /** What follows from the members, and from which version of them. */
  #ranking: (GroupRanking & { readonly version: number }) | undefined;

  constructor(options: PeerGroupOptions) {
    this.#options = options;
    this.#membership = new Membership({
      ...options,
      leader: () => this.leader(),
      onSenderView: (from, { view, leader }, now) => {
        this.#hasHeardPeers = true;
        if (leader !== undefined) this.#support.record(from, leader, now);
        if (view !== undefined) this.#recordStatedSize(view.members, now);
      },
    });
  }

  /** Incarnation of this process. */
  get incarnation(): string {
    // The membership lists this process first.
    return this.#membership.allMembers()[0]?.incarnation ?? '';
  }

  /** Address of this process for its peers, `IP:PORT`. */
  get peerAddress(): string {
    return this.#options.self.peerAddress;
  }

  /**
   * Contacts seed gateways; those that do not answer are retried.
   *
   * @param addresses - peer addresses, `IP:PORT` each
   * @param now - present time in ms, monotonic
   */
  join(addresses: readonly string[], now: number): void {
    this.#seeds = addresses;
    this.#joinedAt ??= now;
    this.#eagerJoinUntil = now + EAGER_JOIN_PERIOD_MS;
    this.#contactSeeds(now);
  }

  /**
   * Runs the timers of the membership protocol: takes a new incarnation if the lease lapsed, probes
   * members, contacts seeds and reports ended members. Call it periodically.
   */
  tick(now: number): void {
    if (this.#membership.lease(now)._tag === 'lapsed') {
      this.#perform(this.#membership.restart(this.#options.nextIncarnation(), now), now);
    }
    this.#perform(this.#membership.tick(now), now);
    if (now < this.#eagerJoinUntil && now >= this.#nextSeedContactAt) this.#contactSeeds(now);
    this.#reportEnded(now);
  }

  /**
   * Processes a message of a peer; other messages than those of membership go to `onMessage`.
   *
   * @param delivery - the message, its sender, and how it came
   * @param now - present time in ms, monotonic
   */
  handle({ from, message, isDatagram }: PeerDelivery, now: number): void {
    switch (message._tag) {
      case 'probeAck':
        if (isDatagram !== true) this.#confirmLink(from);
        this.#perform(this.#membership.handle(from, message, now), now);
        return;
      case 'probe': {
        const actions = this.#membership.handle(from, message, now);
        // A peer that sends a probe over a link may be out of reach of datagrams.
        this.#perform(isDatagram === true ? actions : actions.map(makeReliable), now);
        return;
      }
      case 'probeRequest':
      case 'membersRequest':
      case 'membersReply':
      case 'memberHashes':
      case 'memberRecords':
        this.#perform(this.#membership.handle(from, message, now), now);
        return;
      default:
        this.#options.onMessage(from, message, now);
    }
  }

  /** Announces to peers that this process accepts no new requests. */
  drain(now: number): void {
    this.#perform(this.#membership.drain(now), now);
  }

  /** Announces to peers whether this process reaches no endpoint. */
  setIsolated(isolated: boolean, now: number): void {
    this.#perform(this.#membership.setIsolated(isolated, now), now);
  }

  /** Announces to peers that this process leaves the group. */
  leave(now: number): void {
    this.#perform(this.#membership.leave(now), now);
  }

  /**
   * Selects the leader, which schedules for all: the strongest serving member, and of equals the one
   * that started first.
   *
   * @returns the leader's incarnation; that of this process if no member is serving
   */
  leader(): string {
    return this.#rank().leader;
  }

  /**
   * Estimates the part of the group that takes this process for the leader. It is less than 1 while views differ, after
   * a start or a partition, so that two leaders don't use bounds of the whole group twice.
   *
   * @param now - present time in ms, monotonic
   * @returns a fraction from 0 to 1
   */
  leaderSupport(now: number): number {
    if (this.awaitsContact(now)) return 0;
    const { serving } = this.#rank();
    const hasEnded = (incarnation: string): boolean =>
      !serving.has(incarnation) && this.#membership.find(incarnation) !== undefined;
    return this.#support.share(this.incarnation, hasEnded, now);
  }

  /**
   * Tells whether this process has started so recently that it can't know yet whether it is a member of a group.
   *
   * @param now - present time in ms, monotonic
   */
  awaitsContact(now: number): boolean {
    if (this.#hasHeardPeers) return false;
    const { peerAddress } = this.#options.self;
    const hasSeeds = this.#seeds.some((address) => address !== peerAddress);
    return hasSeeds && now - (this.#joinedAt ?? now) < FIRST_CONTACT_MS;
  }

  /**
   * Returns the number of members that this process must assume beside those that it knows. A process that starts behind
   * a network partition can't tell that from being alone. The members on the other side reserve the share of its
   * predecessor, and use their own. For as long as they do, a seed that it hasn't met counts as a lost member, and so do
   * members that the settings have no room to name.
   *
   * @param now - present time in ms, monotonic
   */
  unmetCount(now: number): number {
    if (now - (this.#joinedAt ?? now) >= LOST_MEMBER_RETENTION_MS) return 0;
    const met = new Set(this.#membership.allMembers().map(({ peerAddress }) => peerAddress));
    met.add(this.peerAddress);
    const unmet = new Set(this.#seeds.filter((address) => !met.has(address))).size;
    if (unmet === 0) return 0;
    return this.#seeds.length < MAXIMUM_SEEDS
      ? unmet
      : Math.max(unmet, ASSUMED_GROUP_SIZE - met.size);
  }

  /**
   * Returns the number of members that this process probably reaches, this one included.
   *
   * @param now - present time in ms, monotonic
   */
  reachedCount(now: number): number {
    const others = this.liveMembers().length - 1;
    const answering = 1 + others * this.#membership.reachedShare(now);
    return Math.max(1, Math.min(this.#rank().unsuspectedCount, answering));
  }

  /**
   * Returns the number of living members, as far as this process or a peer that it has heard from lately knows.
   *
   * @param now - present time in ms, monotonic
   */
  sizeEstimate(now: number): number {
    const { members, at } = this.#statedSize;
    const stated = now - at <= STATED_SIZE_RETENTION_MS ? members : 0;
    return Math.max(1, this.liveMembers().length, stated);
  }

  /**
   * Selects the member that watches the store for the failure domain of this process.
   *
   * @returns the member's incarnation; that of this process if no member of the domain is serving
   */
  storeWatcher(): string {
    return this.#rank().storeCallers[0] ?? this.incarnation;
  }

  /**
   * Returns the place of this process among the serving members of its failure domain, in the order in which they
   * call the store.
   *
   * @returns 0 for the store watcher; infinite if this process isn't serving
   */
  storeCallRank(): number {
    const rank = this.#rank().storeCallers.indexOf(this.incarnation);
    if (rank >= 0) return rank;
    return this.storeWatcher() === this.incarnation ? 0 : Number.POSITIVE_INFINITY;
  }

  /** Returns the other living members of the failure domain of this process. */
  sameDomainPeers(): readonly Member[] {
    return this.#rank().domainPeers;
  }

  /** Returns the incarnations of the members that call the store first in each other failure domain. */
  otherStoreCallers(): readonly string[] {
    return this.#rank().otherStoreCallers;
  }

  /** Returns the members that accept requests, this one included unless it drains. */
  servingMembers(): readonly Member[] {
    return this.#membership.acceptingMembers();
  }

  /** Summary of the view of the living members, equal at members that know the same ones. */
  get view(): ViewSummary {
    return this.#membership.view;
  }

  /** Returns the members that are alive, this one included. */
  liveMembers(): readonly Member[] {
    return this.#membership.liveMembers();
  }

  /**
   * Returns the members that died within a time without leaving: they may be on the other side of a network
   * partition and still serve.
   *
   * @param now - present time in ms, monotonic
   * @param retentionMs - the time, at most `MAXIMUM_RETENTION_MS`
   * @returns the lost members whose addresses no living member has taken over
   */
  recentlyLostMembers(now: number, retentionMs = LOST_MEMBER_RETENTION_MS): readonly Member[] {
    const addresses = new Set(this.liveMembers().map(({ peerAddress }) => peerAddress));
    return [...this.#lostMembers.values()]
      .filter(({ at, member }) => now - at < retentionMs && !addresses.has(member.peerAddress))
      .map(({ member }) => member);
  }

  /**
   * Sends a message to a member.
   *
   * @param to - incarnation of the receiver
   * @param message - the message
   * @returns false if the message was certainly not sent; true doesn't mean that it was received
   */
  send(to: string, message: PeerMessage): boolean {
    const member = this.#membership.find(to);
    return member !== undefined && this.#options.network.send(member.peerAddress, message);
  }

  /** Sends a message to all other members that are alive. */
  broadcast(message: PeerMessage): void {
    this.liveMembers()
      .filter(({ incarnation }) => incarnation !== this.incarnation)
      .forEach(({ peerAddress }) => this.#options.network.send(peerAddress, message));
  }

  #rank(): GroupRanking {
    const { version } = this.#membership;
    if (this.#ranking?.version !== version) {
      const own = { ...this.#options.self, incarnation: this.incarnation };
      const ranking = rankGroup(own, this.liveMembers());
      this.#ranking = { version, ...ranking };
    }
    return this.#ranking;
  }

  #recordStatedSize(members: number, now: number): void {
    const { members: largest, at } = this.#statedSize;
    if (members >= largest || now - at > STATED_SIZE_RETENTION_MS)
      this.#statedSize = { members, at: now };
  }

  /** Probes and their answers go in datagrams, but for those that make sure whether a suspected member runs. */
  #sendMembership({ to, message, isReliable }: Extract<Action, { _tag: 'send' }>): void {
    const member = this.#membership.find(to);
    const isSmall = message._tag === 'probe' || message._tag === 'probeAck';
    const maySend = isSmall && member?.datagrams === true && isReliable !== true;
    if (maySend && this.#options.network.sendDatagram(member.peerAddress, message)) return;
    this.send(to, message);
  }

  /** The answer to a probe shows that the link to its sender carries what is sent. */
  #confirmLink(from: string): void {
    const member = this.#membership.find(from);
    if (member !== undefined) this.#options.network.confirm(member.peerAddress);
  }

  #contactSeeds(now: number): void {
    this.#nextSeedContactAt = now + EAGER_JOIN_INTERVAL_MS;
    this.#perform(this.#membership.join(this.#seeds, now), now);
  }

  #perform(actions: readonly Action[], now: number): void {
    this.#logChanges(actions, now);
    actions.forEach((action) => {
      switch (action._tag) {
        case 'send':
          this.#sendMembership(action);
          return;
        case 'sendAddress':
          this.#options.network.send(action.to, action.message);
          return;
        case 'decide':
          return;
        default:
          action satisfies never;
      }
    });
  }

  #logChanges(actions: readonly Action[], now: number): void {
    const decisions = actions.flatMap((action) =>
      action._tag === 'decide' ? [action.decision] : [],
    );
    const { logger } = this.#options;
    const at = Math.round(now);
    if (decisions.length <= MAXIMUM_LOGGED_CHANGES) {
      decisions.forEach((decision) => logger.info({ ...decision, at }, 'membership'));
      return;
    }
    const { members } = this.#membership.view;
    logger.info({ changes: decisions.length, members, at }, 'membership changed');
  }

  #reportEnded(now: number): void {
    const { version } = this.#membership;
    if (version !== this.#reportedVersion) this.#reportNewlyEnded(now);
    this.#reportedVersion = version;
    this.#lostMembers.forEach(({ at }, incarnation) => {
      if (now - at > MAXIMUM_RETENTION_MS) this.#lostMembers.delete(incarnation);
    });
  }

  #reportNewlyEnded(now: number): void {
    this.#membership.allMembers().forEach((member) => {
      const { incarnation, status } = member;
      if ((status !== 'dead' && status !== 'left') || this.#reportedEnded.has(incarnation)) return;
      this.#reportedEnded.add(incarnation);
      if (status === 'dead') this.#lostMembers.set(incarnation, { at: now, member });
      this.#support.remove(incarnation);
      this.#options.onMemberEnded(incarnation);
    });
  }
}
