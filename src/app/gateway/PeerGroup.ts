import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { Logger } from 'pino';
import type { Action } from '../../coordination/Action.ts';
import { Membership } from '../../coordination/membership/index.ts';
import type { PeerMessage } from '../../protocol/peer/PeerMessage.ts';
import type { PeerNetwork } from '../../protocol/peer/PeerNetwork.ts';
import type { Member } from '../../state/Member.ts';
import type { EntryTiming } from '../../state/EntrySettings.ts';

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
/**
 * Dead members count as possibly partitioned for this long, so that their shares of the slots stay
 * reserved.
 */
const LOST_MEMBER_RETENTION_MS = 10_000;
/** Longest time for which lost members are remembered. */
const MAXIMUM_RETENTION_MS = 60_000;

/**
 * Sorts members by strength, the strongest first; of equals, the one that started first. Suspected members are
 * left out unless none is alive.
 */
const rankByStrength = (members: readonly Member[]): readonly Member[] => {
  const alive = members.filter(({ status }) => status === 'alive');
  const candidates = alive.length > 0 ? alive : members;
  return [...candidates].sort(
    (a, b) => (b.strength ?? 0) - (a.strength ?? 0) || (a.incarnation < b.incarnation ? -1 : 1),
  );
};

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

  constructor(options: PeerGroupOptions) {
    this.#options = options;
    this.#membership = new Membership(options);
  }

  /** Incarnation of this process. */
  get incarnation(): string {
    // The membership lists this process first.
    return this.#membership.allMembers()[0]?.incarnation ?? '';
  }

  /**
   * Contacts seed gateways; those that do not answer are retried.
   *
   * @param addresses - peer addresses, `IP:PORT` each
   * @param now - present time in ms, monotonic
   */
  join(addresses: readonly string[], now: number): void {
    this.#seeds = addresses;
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
   * @param from - incarnation of the sender
   * @param message - the decoded message
   * @param now - present time in ms, monotonic
   */
  handle(from: string, message: PeerMessage, now: number): void {
    switch (message._tag) {
      case 'probe':
      case 'probeAck':
      case 'probeRequest':
      case 'membersRequest':
      case 'membersReply':
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
    return rankByStrength(this.#membership.acceptingMembers())[0]?.incarnation ?? this.incarnation;
  }

  /**
   * Selects the member that watches the store for the failure domain of this process.
   *
   * @returns the member's incarnation; that of this process if no member of the domain is serving
   */
  storeWatcher(): string {
    return this.#rankedDomainMembers()[0]?.incarnation ?? this.incarnation;
  }

  /**
   * Returns the place of this process among the serving members of its failure domain, in the order in which they
   * call the store.
   *
   * @returns 0 for the store watcher; infinite if this process isn't serving
   */
  storeCallRank(): number {
    const rank = this.#rankedDomainMembers().findIndex(
      ({ incarnation }) => incarnation === this.incarnation,
    );
    if (rank >= 0) return rank;
    return this.storeWatcher() === this.incarnation ? 0 : Number.POSITIVE_INFINITY;
  }

  /** Returns the other living members of the failure domain of this process. */
  sameDomainPeers(): readonly Member[] {
    const { failureDomain } = this.#options.self;
    return this.liveMembers().filter(
      (member) => member.failureDomain === failureDomain && member.incarnation !== this.incarnation,
    );
  }

  /** Returns the members that accept requests, this one included unless it drains. */
  servingMembers(): readonly Member[] {
    return this.#membership.acceptingMembers();
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

  #rankedDomainMembers(): readonly Member[] {
    const { failureDomain } = this.#options.self;
    return rankByStrength(
      this.#membership
        .acceptingMembers()
        .filter((member) => member.failureDomain === failureDomain),
    );
  }

  #contactSeeds(now: number): void {
    this.#nextSeedContactAt = now + EAGER_JOIN_INTERVAL_MS;
    this.#perform(this.#membership.join(this.#seeds, now), now);
  }

  #perform(actions: readonly Action[], now: number): void {
    actions.forEach((action) => {
      switch (action._tag) {
        case 'send':
          this.send(action.to, action.message);
          return;
        case 'sendAddress':
          this.#options.network.send(action.to, action.message);
          return;
        case 'decide':
          this.#options.logger.info({ ...action.decision, at: Math.round(now) }, 'membership');
          return;
        default:
          action satisfies never;
      }
    });
  }

  #reportEnded(now: number): void {
    this.#membership.allMembers().forEach((member) => {
      const { incarnation, status } = member;
      if ((status !== 'dead' && status !== 'left') || this.#reportedEnded.has(incarnation)) return;
      this.#reportedEnded.add(incarnation);
      if (status === 'dead') this.#lostMembers.set(incarnation, { at: now, member });
      this.#options.onMemberEnded(incarnation);
    });
    this.#lostMembers.forEach(({ at }, incarnation) => {
      if (now - at > MAXIMUM_RETENTION_MS) this.#lostMembers.delete(incarnation);
    });
  }
}
