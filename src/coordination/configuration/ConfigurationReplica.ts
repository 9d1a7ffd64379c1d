import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { PeerMessage } from '../../protocol/peer/PeerMessage.ts';
import type { Configuration } from '../../state/Configuration.ts';
import type { Member } from '../../state/Member.ts';
import type { MoveStatus } from '../../state/MoveStatus.ts';
import type { Routing } from '../../state/Routing.ts';
import type { Verdict } from '../../state/Verdict.ts';
import { moveKey } from '../../state/moveKey.ts';
import type { Action } from '../Action.ts';
import { deriveRoutings, type MoveSnapshot } from './deriveRoutings.ts';
import { LeavingEndpoints } from './LeavingEndpoints.ts';
import { MoveRecords } from './MoveRecords.ts';
import { pickRandom } from './pickRandom.ts';

/** Time between comparisons with one random peer each. */
const DIGEST_INTERVAL_MS = 1_000;
/** Up to this many peers are told news directly; beyond, each process passes it to a few. */
const DIRECT_PUSH_PEERS = 32;
/** Peers that each process passes news to in a large fleet. */
const PUSH_FANOUT = 4;
/** Time between repeats of a relay's list of leaving instances. */
const LEAVING_REPEAT_MS = 3_000;

/** Where a configuration came from. */
export type ConfigurationSource = 'store' | 'peer';

type Push = Extract<PeerMessage, { _tag: 'push' }>;

/** Who this process is. */
export interface ProcessIdentity {
  readonly incarnation: string;
  readonly failureDomain: string;
}

const decideVerdict = ({ move, version, reason, detail }: Verdict): Action => ({
  _tag: 'decide',
  decision: { _tag: 'verdictFound', move, version, reason, detail },
});

const decideStatus = ({ move, state }: MoveStatus): Action => {
  const detail = 'reason' in state ? state.reason : JSON.stringify(state);
  return { _tag: 'decide', decision: { _tag: 'moveChanged', move, state: state._tag, detail } };
};

const sendAll = (members: readonly Member[], message: PeerMessage): readonly Action[] =>
  members.map(({ incarnation }) => ({ _tag: 'send', to: incarnation, message }));

const NOTHING_KNOWN: MoveStatus['state'] = { _tag: 'pending' };

/**
 * The configuration in force here, with verdicts and statuses of its moves, kept alike between
 * peers. A lower roll number is never applied, wherever it comes from.
 */
export class ConfigurationReplica {
  private readonly identity: ProcessIdentity;

  private readonly random: RandomGenerator;

  private readonly facts = new MoveRecords();

  private readonly leavingEndpoints = new LeavingEndpoints();

  private configuration: Configuration | undefined;

  private keys: ReadonlyMap<string, string> = new Map();

  private peers: readonly Member[] = [];

  private nextDigestAt = 0;

  private ownLeaving: readonly string[] = [];

  private nextLeavingAt = 0;

  /**
   * @param identity - who this process is
   * @param random - generator for the choice of peers
   */
  constructor(identity: ProcessIdentity, random: RandomGenerator) {
    this.identity = identity;
    this.random = random;
  }

  /** Gives the configuration in force, undefined until the first one is known. */
  current(): Configuration | undefined {
    return this.configuration;
  }

  /**
   * Takes a configuration if its roll number is above the one in force.
   *
   * @param configuration - what was read or heard
   * @param source - `store` where this process read it itself: it then tells its failure domain
   * @param _now - present time in ms
   * @returns the decision and the pushes to peers, nothing where it isn't news
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
      ...this.announce(configuration, source),
    ];
  }

  /** Serves the peer messages `digest`, `pull`, `push` and `instances`; others are left alone. */
  handle(from: string, message: PeerMessage, now: number): readonly Action[] {
    switch (message._tag) {
      case 'digest':
        return this.compare(from, message);
      case 'pull':
        return [{ _tag: 'send', to: from, message: this.everything(message.rollNumber) }];
      case 'push':
        return this.learn(message, now);
      case 'instances':
        this.leavingEndpoints.report(from, message.leaving, now);
        return [];
      default:
        return [];
    }
  }

  /**
   * Compares with a random peer when it is time, and repeats a relay's list of leaving instances.
   *
   * @param now - present time in ms
   * @param members - serving members; this process among them or not
   * @returns messages to peers
   */
  tick(now: number, members: readonly Member[]): readonly Action[] {
    this.peers = members.filter(({ incarnation }) => incarnation !== this.identity.incarnation);
    this.leavingEndpoints.expire(now);
    return [...this.digestToRandomPeer(now), ...this.repeatLeaving(now)];
  }

  /**
   * Adds a finding of this process and tells peers at once.
   *
   * @param verdict - the finding
   * @returns the decision and the pushes, nothing where it was known
   */
  addVerdict(verdict: Verdict): readonly Action[] {
    if (!this.facts.addVerdict(verdict)) return [];
    return [
      decideVerdict(verdict),
      ...this.spreadFacts({ _tag: 'push', verdicts: [verdict], statuses: [] }, true),
    ];
  }

  /**
   * Adds a status as read from or written to the store and tells peers at once.
   *
   * @param status - the status; ignored where a newer or a final one is known
   * @returns the decision and the pushes, nothing where it isn't news
   */
  addStatus(status: MoveStatus): readonly Action[] {
    if (!this.facts.addStatus(status)) return [];
    return [
      decideStatus(status),
      ...this.spreadFacts({ _tag: 'push', verdicts: [], statuses: [status] }, true),
    ];
  }

  /** Gives the verdicts against a move's new version; `key` is the move's key. */
  verdictsOf(key: string): readonly Verdict[] {
    return this.facts.verdictsOf(key);
  }

  /** Gives a move's last known status; `key` is the move's key. */
  statusOf(key: string): MoveStatus | undefined {
    return this.facts.statusOf(key);
  }

  /**
   * Tells which versions of each pool may get new work.
   *
   * @param _now - present monotonic time in ms
   * @param wallNow - present Unix time in ms, for the deadlines of moves
   * @returns routings by pool name, none before the first configuration
   */
  routings(_now: number, wallNow: number): ReadonlyMap<string, Routing> {
    if (this.configuration === undefined) return new Map();
    return deriveRoutings(this.configuration.bundle, this.knowledge(), wallNow);
  }

  /** Gives the addresses `IP:PORT` of endpoints that get no new work because they leave. */
  leavingAddresses(): ReadonlySet<string> {
    return this.leavingEndpoints.addresses();
  }

  /**
   * Takes what this process, as a relay, sees in the platform's instance list.
   *
   * @param addresses - `IP:PORT` of leaving instances
   * @param now - present time in ms
   * @returns messages to the members of its failure domain
   */
  reportLeaving(addresses: readonly string[], now: number): readonly Action[] {
    this.ownLeaving = addresses;
    this.nextLeavingAt = now + LEAVING_REPEAT_MS;
    this.leavingEndpoints.report(this.identity.incarnation, addresses, now);
    const message: PeerMessage = { _tag: 'instances', leaving: [...addresses] };
    return sendAll(this.neighbours(), message);
  }

  private apply(configuration: Configuration): void {
    this.configuration = configuration;
    const { moves } = configuration.bundle;
    this.keys = new Map(moves.map((move) => [move.name, moveKey(move)]));
    this.facts.retain(new Set(this.keys.values()), configuration.rollNumber);
  }

  private knowledge(): readonly MoveSnapshot[] {
    return (this.configuration?.bundle.moves ?? []).map((move) => {
      const key = this.keys.get(move.name) ?? moveKey(move);
      const state = this.facts.statusOf(key)?.state ?? NOTHING_KNOWN;
      return { move, key, state, condemned: this.facts.verdictsOf(key).length > 0 };
    });
  }

  private compare(
    from: string,
    theirs: Extract<PeerMessage, { _tag: 'digest' }>,
  ): readonly Action[] {
    const ours = this.facts.summarize();
    const rollNumber = this.configuration?.rollNumber ?? 0;
    const factsDiffer = theirs.statuses !== ours.statuses || theirs.verdicts !== ours.verdicts;
    const actions: Action[] = [];
    if (factsDiffer || theirs.rollNumber < rollNumber) {
      actions.push({ _tag: 'send', to: from, message: this.everything(theirs.rollNumber) });
    }
    if (factsDiffer || theirs.rollNumber > rollNumber) {
      actions.push({ _tag: 'send', to: from, message: { _tag: 'pull', rollNumber } });
    }
    return actions;
  }

  private everything(theirRollNumber: number): Push {
    const isNewer = (this.configuration?.rollNumber ?? 0) > theirRollNumber;
    return {
      _tag: 'push',
      ...(isNewer ? { configuration: this.configuration } : {}),
      verdicts: [...this.facts.allVerdicts()],
      statuses: [...this.facts.allStatuses()],
    };
  }

  private learn(push: Push, now: number): readonly Action[] {
    const applied =
      push.configuration === undefined ? [] : this.applyIfNewer(push.configuration, 'peer', now);
    const rollNumber = this.configuration?.rollNumber ?? 0;
    const keys = new Set(this.keys.values());
    const counts = (fact: Verdict | MoveStatus): boolean =>
      keys.has(fact.move) || fact.rollNumber > rollNumber;
    const verdicts = push.verdicts.filter(counts).filter((fact) => this.facts.addVerdict(fact));
    const statuses = push.statuses.filter(counts).filter((fact) => this.facts.addStatus(fact));
    if (verdicts.length + statuses.length === 0) return applied;
    return [
      ...applied,
      ...verdicts.map((verdict) => decideVerdict(verdict)),
      ...statuses.map((status) => decideStatus(status)),
      ...this.spreadFacts({ _tag: 'push', verdicts, statuses }, false),
    ];
  }

  // A relay pushes the whole configuration to its failure domain; everyone else only announces it
  // to a few, who pull it where they lack it, so that a large one isn't sent many times over.
  private announce(configuration: Configuration, source: ConfigurationSource): readonly Action[] {
    const push: PeerMessage = { _tag: 'push', configuration, verdicts: [], statuses: [] };
    const pushed = source === 'store' ? sendAll(this.neighbours(), push) : [];
    return [...pushed, ...sendAll(this.few(), this.digest())];
  }

  private spreadFacts(message: Push, isOwn: boolean): readonly Action[] {
    const toAll = isOwn && this.peers.length <= DIRECT_PUSH_PEERS;
    return sendAll(toAll ? this.peers : this.few(), message);
  }

  private few(): readonly Member[] {
    return pickRandom(this.peers, PUSH_FANOUT, this.random);
  }

  private digest(): PeerMessage {
    const rollNumber = this.configuration?.rollNumber ?? 0;
    return { _tag: 'digest', rollNumber, ...this.facts.summarize() };
  }

  private neighbours(): readonly Member[] {
    const { failureDomain } = this.identity;
    return this.peers.filter((peer) => peer.failureDomain === failureDomain);
  }

  private digestToRandomPeer(now: number): readonly Action[] {
    if (now < this.nextDigestAt) return [];
    this.nextDigestAt = now + DIGEST_INTERVAL_MS;
    return sendAll(pickRandom(this.peers, 1, this.random), this.digest());
  }

  private repeatLeaving(now: number): readonly Action[] {
    if (this.ownLeaving.length === 0 || now < this.nextLeavingAt) return [];
    return this.reportLeaving(this.ownLeaving, now);
  }
}
