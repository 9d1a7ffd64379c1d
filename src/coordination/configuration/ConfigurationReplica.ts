import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { PeerMessage } from '../../protocol/peer/PeerMessage.ts';
import type { Configuration } from '../../state/Configuration.ts';
import type { Member } from '../../state/Member.ts';
import type { MoveStatus } from '../../state/MoveStatus.ts';
import type { PoolRouting } from '../../state/PoolRouting.ts';
import type { Verdict } from '../../state/Verdict.ts';
import { moveKey } from '../../state/moveKey.ts';
import type { Action } from '../Action.ts';
import { deriveRoutings, type MoveSnapshot } from './deriveRoutings.ts';
import { isRelay } from './isRelay.ts';
import { LeavingEndpoints } from './LeavingEndpoints.ts';
import { MoveRecords } from './MoveRecords.ts';
import { pickRandom } from './pickRandom.ts';

/** Time between digests, each sent to one random peer. */
const DIGEST_INTERVAL_MS = 1_000;
/**
 * Largest number of peers to which a process pushes its own verdicts and statuses directly. With
 * more peers they spread by gossip.
 */
const MAXIMUM_DIRECT_PUSH_PEERS = 32;
/** Number of random peers to which a process forwards an update, or its digest after one. */
const GOSSIP_FANOUT_PEERS = 4;
/** Time between a relay's reports of leaving instances. */
const LEAVING_REPORT_INTERVAL_MS = 3_000;

/** `store` for a configuration that a relay read from the object service, otherwise `peer`. */
export type ConfigurationSource = 'store' | 'peer';

type Push = Extract<PeerMessage, { _tag: 'push' }>;

/** Identity of this process among its peers. */
export interface ProcessIdentity {
  readonly incarnation: string;
  readonly failureDomain: string;
}

const createVerdictDecision = ({ move, version, reason, detail }: Verdict): Action => ({
  _tag: 'decide',
  decision: { _tag: 'verdictFound', move, version, reason, detail },
});

const createStatusDecision = ({ move, state }: MoveStatus): Action => {
  const detail = 'reason' in state ? state.reason : JSON.stringify(state);
  return { _tag: 'decide', decision: { _tag: 'moveChanged', move, state: state._tag, detail } };
};

const sendToAll = (members: readonly Member[], message: PeerMessage): readonly Action[] =>
  members.map(({ incarnation }) => ({ _tag: 'send', to: incarnation, message }));

const UNREPORTED_MOVE_STATE: MoveStatus['state'] = { _tag: 'pending' };

/**
 * This process's replica of the configuration in force and of the verdicts and statuses of its
 * moves. Replicas converge by pushes and by periodic digests between peers. A lower roll number is
 * never applied, whatever its source.
 */
export class ConfigurationReplica {
  private readonly identity: ProcessIdentity;

  private readonly random: RandomGenerator;

  private readonly moveRecords = new MoveRecords();

  private readonly leavingEndpoints = new LeavingEndpoints();

  private configuration: Configuration | undefined;

  private moveKeys: ReadonlyMap<string, string> = new Map();

  private peers: readonly Member[] = [];

  private nextDigestAt = 0;

  private observedLeavingAddresses: readonly string[] = [];

  private nextLeavingReportAt = 0;

  /**
   * @param identity - this process; read at each use, since its incarnation can change
   * @param random - generator that selects gossip peers
   */
  constructor(identity: ProcessIdentity, random: RandomGenerator) {
    this.identity = identity;
    this.random = random;
  }

  /** @returns the configuration in force, undefined until the first one is applied */
  current(): Configuration | undefined {
    return this.configuration;
  }

  /**
   * Applies a configuration if its roll number is above the one in force.
   *
   * @param configuration - the configuration as read or received
   * @param source - `store` if this process watches the object service as a relay; the configuration
   *   is then also pushed to the peers in its failure domain
   * @param _now - present monotonic time in ms; not used
   * @returns the decision and the messages to peers, empty if the roll number isn't above the one in
   *   force
   */
  applyIfNewer(
    configuration: Configuration,
    source: ConfigurationSource,
    _now: number,
  ): readonly Action[] {
    if (configuration.rollNumber <= (this.configuration?.rollNumber ?? 0)) return [];
    this.apply(configuration);
    const { rollNumber, digest } = configuration;
    return [
      {
        _tag: 'decide',
        decision: { _tag: 'configurationApplied', rollNumber, digest, source },
      },
      ...this.announceConfiguration(configuration, source),
    ];
  }

  /**
   * Handles the peer messages `digest`, `pull`, `push` and `instances`; ignores all others.
   *
   * @param from - incarnation of the sender
   * @param message - the received message
   * @param now - present monotonic time in ms
   * @returns replies, decisions and messages to other peers
   */
  handle(from: string, message: PeerMessage, now: number): readonly Action[] {
    switch (message._tag) {
      case 'digest':
        return this.handleDigest(from, message);
      case 'pull':
        return [{ _tag: 'send', to: from, message: this.createFullPush(message.rollNumber) }];
      case 'push':
        return this.applyPush(message, now);
      case 'instances':
        this.leavingEndpoints.report(from, message.leaving, now);
        return [];
      default:
        return [];
    }
  }

  /**
   * Sends the periodic digest and, on a relay, the periodic report of leaving instances when they
   * are due, and expires old reports of other relays.
   *
   * @param now - present monotonic time in ms
   * @param members - members that accept new requests; this process is a relay only if it is one of them
   * @returns messages to peers
   */
  tick(now: number, members: readonly Member[]): readonly Action[] {
    const { incarnation: own, failureDomain } = this.identity;
    this.peers = members.filter(({ incarnation }) => incarnation !== own);
    // Only a relay watches the platform and learns when an instance no longer leaves.
    if (!isRelay(own, failureDomain, members)) this.observedLeavingAddresses = [];
    this.leavingEndpoints.expire(now);
    return [...this.sendPeriodicDigest(now), ...this.repeatLeavingReport(now)];
  }

  /**
   * Adds a verdict that this process reached and pushes it to peers at once.
   *
   * @param verdict - the verdict
   * @returns the decision and the pushes, empty if the verdict was already known
   */
  addVerdict(verdict: Verdict): readonly Action[] {
    if (!this.moveRecords.addVerdict(verdict)) return [];
    return [
      createVerdictDecision(verdict),
      ...this.pushRecords({ _tag: 'push', verdicts: [verdict], statuses: [] }, true),
    ];
  }

  /**
   * Adds a status as read from or written to the store and pushes it to peers at once.
   *
   * @param status - the status; ignored if a newer or a final one is known
   * @returns the decision and the pushes, empty if the status was ignored
   */
  addStatus(status: MoveStatus): readonly Action[] {
    if (!this.moveRecords.addStatus(status)) return [];
    return [
      createStatusDecision(status),
      ...this.pushRecords({ _tag: 'push', verdicts: [], statuses: [status] }, true),
    ];
  }

  /**
   * Finds the verdicts against a move's new version.
   *
   * @param key - the move's key, as `moveKey` builds it
   * @returns the verdicts, empty if there are none
   */
  verdictsOf(key: string): readonly Verdict[] {
    return this.moveRecords.verdictsOf(key);
  }

  /**
   * Finds a move's last known status.
   *
   * @param key - the move's key, as `moveKey` builds it
   * @returns the status, undefined if none is known
   */
  statusOf(key: string): MoveStatus | undefined {
    return this.moveRecords.statusOf(key);
  }

  /**
   * Derives which versions of each pool may receive new requests.
   *
   * @param _now - present monotonic time in ms; not used
   * @param wallNow - present Unix time in ms, compared with the deadlines of moves
   * @returns routings by pool name, empty before the first configuration
   */
  routings(_now: number, wallNow: number): ReadonlyMap<string, PoolRouting> {
    if (this.configuration === undefined) return new Map();
    return deriveRoutings(this.configuration.bundle, this.moveSnapshots(), wallNow);
  }

  /** @returns addresses `IP:PORT` of leaving endpoints, which receive no new requests */
  leavingAddresses(): ReadonlySet<string> {
    return this.leavingEndpoints.addresses();
  }

  /**
   * Records the leaving instances that this process, as a relay, finds in the platform's instance
   * list, and reports them to its failure domain.
   *
   * @param addresses - `IP:PORT` of all leaving instances
   * @param now - present monotonic time in ms
   * @returns messages to the members of its failure domain
   */
  reportLeaving(addresses: readonly string[], now: number): readonly Action[] {
    this.observedLeavingAddresses = addresses;
    this.nextLeavingReportAt = now + LEAVING_REPORT_INTERVAL_MS;
    this.leavingEndpoints.report(this.identity.incarnation, addresses, now);
    const message: PeerMessage = { _tag: 'instances', leaving: [...addresses] };
    return sendToAll(this.failureDomainPeers(), message);
  }

  /**
   * Records the leaving instances that this process finds in the platform's instance list while it isn't
   * a relay, as at its start. They count until the relays of its failure domain have reported.
   *
   * @param addresses - `IP:PORT` of all leaving instances
   * @param now - present monotonic time in ms
   */
  observeLeaving(addresses: readonly string[], now: number): void {
    this.leavingEndpoints.report(this.identity.incarnation, addresses, now);
  }

  private apply(configuration: Configuration): void {
    this.configuration = configuration;
    const { moves } = configuration.bundle;
    this.moveKeys = new Map(moves.map((move) => [move.name, moveKey(move)]));
    this.moveRecords.retain(new Set(this.moveKeys.values()), configuration.rollNumber);
  }

  private moveSnapshots(): readonly MoveSnapshot[] {
    return (this.configuration?.bundle.moves ?? []).map((move) => {
      const key = this.moveKeys.get(move.name) ?? moveKey(move);
      const state = this.moveRecords.statusOf(key)?.state ?? UNREPORTED_MOVE_STATE;
      return { move, key, state, condemned: this.moveRecords.verdictsOf(key).length > 0 };
    });
  }

  private handleDigest(
    from: string,
    remote: Extract<PeerMessage, { _tag: 'digest' }>,
  ): readonly Action[] {
    const local = this.moveRecords.summarize();
    const rollNumber = this.configuration?.rollNumber ?? 0;
    const recordsDiffer = remote.statuses !== local.statuses || remote.verdicts !== local.verdicts;
    const actions: Action[] = [];
    if (recordsDiffer || remote.rollNumber < rollNumber) {
      actions.push({ _tag: 'send', to: from, message: this.createFullPush(remote.rollNumber) });
    }
    if (recordsDiffer || remote.rollNumber > rollNumber) {
      actions.push({ _tag: 'send', to: from, message: { _tag: 'pull', rollNumber } });
    }
    return actions;
  }

  private createFullPush(peerRollNumber: number): Push {
    const isNewer = (this.configuration?.rollNumber ?? 0) > peerRollNumber;
    return {
      _tag: 'push',
      ...(isNewer ? { configuration: this.configuration } : {}),
      verdicts: [...this.moveRecords.allVerdicts()],
      statuses: [...this.moveRecords.allStatuses()],
    };
  }

  private applyPush(push: Push, now: number): readonly Action[] {
    const applied =
      push.configuration === undefined ? [] : this.applyIfNewer(push.configuration, 'peer', now);
    const rollNumber = this.configuration?.rollNumber ?? 0;
    const keys = new Set(this.moveKeys.values());
    const isRelevant = (record: Verdict | MoveStatus): boolean =>
      keys.has(record.move) || record.rollNumber > rollNumber;
    const verdicts = push.verdicts
      .filter(isRelevant)
      .filter((record) => this.moveRecords.addVerdict(record));
    const statuses = push.statuses
      .filter(isRelevant)
      .filter((record) => this.moveRecords.addStatus(record));
    if (verdicts.length + statuses.length === 0) return applied;
    return [
      ...applied,
      ...verdicts.map((verdict) => createVerdictDecision(verdict)),
      ...statuses.map((status) => createStatusDecision(status)),
      ...this.pushRecords({ _tag: 'push', verdicts, statuses }, false),
    ];
  }

  // A relay pushes the whole configuration to its failure domain. Every process, relay or not, also
  // sends its digest to a few random peers, which pull the configuration only if they lack it, so
  // that a large configuration isn't sent repeatedly.
  private announceConfiguration(
    configuration: Configuration,
    source: ConfigurationSource,
  ): readonly Action[] {
    const push: PeerMessage = { _tag: 'push', configuration, verdicts: [], statuses: [] };
    const pushed = source === 'store' ? sendToAll(this.failureDomainPeers(), push) : [];
    return [...pushed, ...sendToAll(this.randomPeers(), this.createDigest())];
  }

  private pushRecords(message: Push, isOwn: boolean): readonly Action[] {
    const sendsDirectly = isOwn && this.peers.length <= MAXIMUM_DIRECT_PUSH_PEERS;
    return sendToAll(sendsDirectly ? this.peers : this.randomPeers(), message);
  }

  private randomPeers(): readonly Member[] {
    return pickRandom(this.peers, GOSSIP_FANOUT_PEERS, this.random);
  }

  private createDigest(): PeerMessage {
    const rollNumber = this.configuration?.rollNumber ?? 0;
    return { _tag: 'digest', rollNumber, ...this.moveRecords.summarize() };
  }

  private failureDomainPeers(): readonly Member[] {
    const { failureDomain } = this.identity;
    return this.peers.filter((peer) => peer.failureDomain === failureDomain);
  }

  private sendPeriodicDigest(now: number): readonly Action[] {
    if (now < this.nextDigestAt) return [];
    this.nextDigestAt = now + DIGEST_INTERVAL_MS;
    return sendToAll(pickRandom(this.peers, 1, this.random), this.createDigest());
  }

  private repeatLeavingReport(now: number): readonly Action[] {
    if (this.observedLeavingAddresses.length === 0 || now < this.nextLeavingReportAt) return [];
    return this.reportLeaving(this.observedLeavingAddresses, now);
  }
}
