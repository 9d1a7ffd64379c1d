import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { Logger } from 'pino';
import type { Action } from '../../coordination/Action.ts';
import { Membership } from '../../coordination/membership/index.ts';
import type { PeerMessage } from '../../protocol/peer/PeerMessage.ts';
import type { PeerNetwork } from '../../protocol/peer/PeerNetwork.ts';
import type { Member } from '../../state/Member.ts';
import type { Timing } from '../../state/EntrySettings.ts';

/** What a peer group is made of. */
export interface PeerGroupOptions {
  readonly self: Member;
  readonly timing: Timing;
  readonly random: RandomGenerator;
  readonly network: PeerNetwork;
  readonly logger: Logger;
  /** Makes the next incarnation, where this one was declared dead. */
  readonly nextIncarnation: () => string;
  /** Told of every message that isn't about membership. */
  readonly onMessage: (from: string, message: PeerMessage, now: number) => void;
  /** Told of each incarnation that ended. */
  readonly onEnded: (incarnation: string) => void;
}

/** Time in which seeds are tried often: after a loss of power all gateways start at about the same time. */
const EAGER_JOIN_MS = 15_000;
const EAGER_JOIN_INTERVAL_MS = 150;
/** Members lately found dead count as cut off, so that shares are kept for them. */
const CUT_OFF_KEPT_MS = 10_000;

/** The strongest member, and of equals the one that started first; suspected ones come last. */
const firstByRank = (members: readonly Member[]): Member | undefined => {
  const sound = members.filter(({ status }) => status === 'alive');
  const candidates = sound.length > 0 ? sound : members;
  return [...candidates].sort(
    (a, b) => (b.strength ?? 0) - (a.strength ?? 0) || (a.incarnation < b.incarnation ? -1 : 1),
  )[0];
};

/** The gateways that run, and which of them schedules. */
export class PeerGroup {
  readonly #options: PeerGroupOptions;

  readonly #membership: Membership;

  readonly #endedAt = new Map<string, { readonly at: number; readonly member: Member }>();

  readonly #reported = new Set<string>();

  #seeds: readonly string[] = [];

  #eagerUntil = Number.NEGATIVE_INFINITY;

  #contactAt = Number.NEGATIVE_INFINITY;

  constructor(options: PeerGroupOptions) {
    this.#options = options;
    this.#membership = new Membership(options);
  }

  get incarnation(): string {
    return this.#membership.allMembers()[0]?.incarnation ?? '';
  }

  /** Makes contact with addresses of gateways; those that don't answer are tried again. */
  join(addresses: readonly string[], now: number): void {
    this.#seeds = addresses;
    this.#eagerUntil = now + EAGER_JOIN_MS;
    this.#contactSeeds(now);
  }

  /** Does what is due. */
  tick(now: number): void {
    if (this.#membership.lease(now)._tag === 'lapsed') {
      this.#run(this.#membership.restart(this.#options.nextIncarnation(), now), now);
    }
    this.#run(this.#membership.tick(now), now);
    if (now < this.#eagerUntil && now >= this.#contactAt) this.#contactSeeds(now);
    this.#noteEnded(now);
  }

  /** Takes a message from a peer. */
  handle(from: string, message: PeerMessage, now: number): void {
    switch (message._tag) {
      case 'probe':
      case 'probeAck':
      case 'probeRequest':
      case 'membersRequest':
      case 'membersReply':
        this.#run(this.#membership.handle(from, message, now), now);
        return;
      default:
        this.#options.onMessage(from, message, now);
    }
  }

  /** Tells peers that this process takes no new requests. */
  drain(now: number): void {
    this.#run(this.#membership.drain(now), now);
  }

  /** Tells peers that this process is gone. */
  leave(now: number): void {
    this.#run(this.#membership.leave(now), now);
  }

  /**
   * Gives the member that schedules: the strongest of those that serve, and of equals the one that
   * started first.
   *
   * @returns its incarnation; one's own where nobody else is known
   */
  scheduler(): string {
    return firstByRank(this.#membership.acceptingMembers())?.incarnation ?? this.incarnation;
  }

  /**
   * Gives the member that watches the store for its failure domain.
   *
   * @returns its incarnation; one's own where nobody else of the domain is known
   */
  storeWatcher(): string {
    const { failureDomain } = this.#options.self;
    const nearby = this.#membership
      .acceptingMembers()
      .filter((member) => member.failureDomain === failureDomain);
    return firstByRank(nearby)?.incarnation ?? this.incarnation;
  }

  /** Other members of the failure domain. */
  nearby(): readonly Member[] {
    const { failureDomain } = this.#options.self;
    return this.alive().filter(
      (member) => member.failureDomain === failureDomain && member.incarnation !== this.incarnation,
    );
  }

  /** Members that serve, this one included unless it drains. */
  serving(): readonly Member[] {
    return this.#membership.acceptingMembers();
  }

  /** Members that are alive, this one included. */
  alive(): readonly Member[] {
    return this.#membership.liveMembers();
  }

  /** Members lost lately without taking their leave: they may be cut off and go on alone. */
  cutOff(now: number): readonly Member[] {
    const addresses = new Set(this.alive().map(({ peerAddress }) => peerAddress));
    return [...this.#endedAt.values()]
      .filter(({ at, member }) => now - at < CUT_OFF_KEPT_MS && !addresses.has(member.peerAddress))
      .map(({ member }) => member);
  }

  /** Sends to a member; false where it surely wasn't sent. */
  send(to: string, message: PeerMessage): boolean {
    const member = this.#membership.find(to);
    return member !== undefined && this.#options.network.send(member.peerAddress, message);
  }

  /** Sends to all other members that are alive. */
  broadcast(message: PeerMessage): void {
    this.alive()
      .filter(({ incarnation }) => incarnation !== this.incarnation)
      .forEach(({ peerAddress }) => this.#options.network.send(peerAddress, message));
  }

  #contactSeeds(now: number): void {
    this.#contactAt = now + EAGER_JOIN_INTERVAL_MS;
    this.#run(this.#membership.join(this.#seeds, now), now);
  }

  #run(actions: readonly Action[], now: number): void {
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

  #noteEnded(now: number): void {
    this.#membership.allMembers().forEach((member) => {
      const { incarnation, status } = member;
      if ((status !== 'dead' && status !== 'left') || this.#reported.has(incarnation)) return;
      this.#reported.add(incarnation);
      if (status === 'dead') this.#endedAt.set(incarnation, { at: now, member });
      this.#options.onEnded(incarnation);
    });
    this.#endedAt.forEach(({ at }, incarnation) => {
      if (now - at > CUT_OFF_KEPT_MS) this.#endedAt.delete(incarnation);
    });
  }
}
