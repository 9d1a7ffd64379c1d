import * as Effect from 'effect/Effect';
import * as Option from 'effect/Option';
import * as Schema from 'effect/Schema';
import type { EndpointClient } from '../../protocol/engine/EndpointClient.ts';
import type { PlatformApi, StoredObject } from '../../protocol/platform/PlatformApi.ts';
import type { Configuration } from '../../state/Configuration.ts';
import type { Move } from '../../state/Move.ts';
import { MoveStatus, type MoveState } from '../../state/MoveStatus.ts';
import type { VerdictReason } from '../../state/Verdict.ts';
import type { Action } from '../Action.ts';
import type { ConfigurationReplica } from '../configuration/ConfigurationReplica.ts';
import { LeaseHolder, writeConditionally } from '../store/index.ts';
import { decideStep, type Step } from './decideStep.ts';
import { Evidence, type Release } from './Evidence.ts';
import { VersionLoader } from './VersionLoader.ts';

/** Pause after the store couldn't be reached or another process holds the lease. */
const RETRY_PAUSE_MS = 300;

/** What drivers of moves work with. */
export interface MoveOptions {
  readonly platform: PlatformApi;
  readonly board: ConfigurationReplica;
  readonly client: EndpointClient;
  /** Incarnation of this process. */
  readonly incarnation: string;
  readonly leaseMs: number;
  /** Present monotonic time in ms. */
  readonly now: () => number;
  /** Present Unix time in ms. */
  readonly wallNow: () => number;
  /** Gives a nonce that never repeats. */
  readonly nonce: () => string;
  /** Whether this process schedules a pool at present, and so drives its move. */
  readonly isDriver: (pool: string) => boolean;
  readonly onActions: (actions: readonly Action[]) => void;
}

const decodeStatus = Schema.decodeUnknownOption(MoveStatus);

/** One move as driven, or watched, by this process. */
export class MoveRun {
  private readonly options: MoveOptions;

  private readonly key: string;

  private readonly lease: LeaseHolder;

  private readonly evidence: Evidence;

  private readonly loader: VersionLoader;

  private move: Move;

  private rollNumber = 0;

  /** The stored status under the fencing number with which it was claimed. */
  private claim: { fencing: number; resourceVersion: string; status: MoveStatus } | undefined;

  private stageSince = 0;

  /** The state that evidence is counted for. */
  private entered: string | undefined;

  private retryAt = -Infinity;

  /**
   * @param options - the process's services and clocks
   * @param key - key of the move
   * @param move - the move
   */
  constructor(options: MoveOptions, key: string, move: Move) {
    this.options = options;
    this.key = key;
    this.move = move;
    this.evidence = new Evidence(move, []);
    this.loader = new VersionLoader(options.client, key, move.to);
    this.lease = new LeaseHolder({
      ...options,
      name: key,
      holder: options.incarnation,
      durationMs: options.leaseMs,
    });
  }

  /** Gives the pool that moves. */
  pool(): string {
    return this.move.pool;
  }

  /** Takes over a configuration that has the move. */
  configure({ rollNumber, bundle }: Configuration, move: Move, now: number): void {
    if (rollNumber === this.rollNumber) return;
    this.rollNumber = rollNumber;
    this.move = move;
    const endpoints = bundle.endpoints.filter(({ pool }) => pool === move.pool);
    this.evidence.configure(endpoints);
    this.loader.configure(endpoints, now);
  }

  /**
   * Adds what a request showed. A finding becomes a verdict at once, with no lease and no store.
   *
   * @returns the verdict's decision and pushes
   */
  record(from: string, release: Release, now: number): readonly Action[] {
    this.evidence.record(from, release, now);
    const finding = this.evidence.condemnation();
    if (finding === undefined || this.isFinal()) return [];
    return this.condemn(finding.reason, finding.detail);
  }

  /** Takes the next step where this process drives the move. */
  advance(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* advance() {
      const { now, isDriver } = this.options;
      if (this.isFinal() || !isDriver(this.move.pool)) {
        this.entered = undefined;
        yield* this.stop();
        return;
      }
      if (now() < this.retryAt) return;
      const fencing = yield* this.lease.keep();
      if (fencing === undefined || !(yield* this.hold(fencing))) {
        this.retryAt = now() + RETRY_PAUSE_MS;
        return;
      }
      yield* this.loader.refresh(now());
      yield* this.take(this.decide(), fencing);
    });
  }

  /** Gives up the lease, so that a successor can go on at once. */
  stop(): Effect.Effect<void> {
    this.claim = undefined;
    return this.lease.release();
  }

  private decide(): Step {
    const { board, now, wallNow } = this.options;
    const status = this.claim?.status;
    const stage =
      status?.state._tag === 'staged' ? this.move.stages[status.state.stage] : undefined;
    const input = {
      move: this.move,
      status,
      verdicts: board.verdictsOf(this.key),
      load: this.loader.progress(now()),
      lack: stage === undefined ? undefined : this.evidence.missingEvidence(stage),
      stageSince: this.stageSince,
    };
    return decideStep(input, now(), wallNow());
  }

  private take(step: Step, fencing: number): Effect.Effect<void> {
    switch (step._tag) {
      case 'write':
        return this.write(step.state, fencing);
      case 'load':
        return this.order(fencing);
      case 'condemn':
        return Effect.sync(() => this.options.onActions(this.condemn('load_failed', step.detail)));
      // Engines that ignore fencing numbers may have followed an older driver: what is wanted is
      // asserted again for as long as the move lasts.
      case 'wait':
        return this.loader.needsOrder(this.options.now()) ? this.order(fencing) : Effect.void;
      case 'ended':
        return this.stop();
      default:
        return step satisfies never;
    }
  }

  // The first write under a new fencing number repeats the state as it is. From then on no write
  // of an earlier driver can take effect, however late it arrives.
  private hold(fencing: number): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* hold() {
      if (this.claim?.fencing === fencing) return true;
      this.claim = undefined;
      const read = yield* this.options.platform.read('movestatuses', this.key);
      if (read._tag === 'unavailable') return false;
      if (read._tag === 'found') this.adopt(read.object);
      if (this.isFinal()) return false;
      const expected = read._tag === 'found' ? read.object.resourceVersion : undefined;
      const known = read._tag === 'found' ? decodeStatus(read.object.value) : Option.none();
      const status = Option.getOrUndefined(known);
      const state = status?.state ?? ({ _tag: 'pending' } as const);
      // Peers take only what is newer, also below one fencing number.
      const sequence = status?.fencing === fencing ? status.sequence + 1 : 0;
      yield* this.put({ fencing, sequence, state }, expected);
      return this.hasClaim(fencing);
    });
  }

  private hasClaim(fencing: number): boolean {
    return this.claim?.fencing === fencing;
  }

  private write(state: MoveState, fencing: number): Effect.Effect<void> {
    const { claim } = this;
    // Deciding took time: a state is only written while the lease still holds.
    const holds = this.lease.fencingNumber(this.options.now()) === fencing;
    if (claim === undefined || !holds) return Effect.void;
    const sequence = claim.status.sequence + 1;
    return this.put({ fencing, sequence, state }, claim.resourceVersion);
  }

  // One try each: after a lost answer the status is read and claimed anew, which also looks at the
  // deadline again and ends whatever may still be under way.
  private put(
    change: Pick<MoveStatus, 'fencing' | 'sequence' | 'state'>,
    expected: string | undefined,
  ): Effect.Effect<void> {
    const status: MoveStatus = { rollNumber: this.rollNumber, move: this.key, ...change };
    const write = { kind: 'movestatuses', name: this.key, value: status, expected } as const;
    return Effect.map(writeConditionally(this.options.platform, write, 1), (settled) => {
      this.claim = undefined;
      if (settled._tag === 'lost' && settled.object !== undefined) this.adopt(settled.object);
      if (settled._tag !== 'written') return;
      const { resourceVersion } = settled.object;
      this.claim = { fencing: status.fencing, resourceVersion, status };
      this.enter(status.state);
      this.options.onActions(this.options.board.addStatus(status));
    });
  }

  // A driver that only claims its own state anew, as after an outage, keeps the evidence it has.
  private enter(state: MoveState): void {
    const entered = JSON.stringify(state);
    if (entered === this.entered) return;
    this.entered = entered;
    this.stageSince = this.options.now();
    this.evidence.beginStage();
  }

  private order(fencing: number): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* order() {
      const { now } = this.options;
      if (!this.loader.needsOrder(now())) return;
      // The process may have been paused since the lease was looked at.
      if (!(yield* this.lease.verifyInStore())) {
        this.lease.drop();
        return;
      }
      const result = yield* this.loader.orderNext(fencing, now());
      if (result._tag === 'fenced') this.lease.drop();
    });
  }

  private adopt(object: StoredObject): void {
    const status = decodeStatus(object.value);
    if (Option.isNone(status)) return;
    this.options.onActions(this.options.board.addStatus(status.value));
  }

  private condemn(reason: VerdictReason, detail: string): readonly Action[] {
    const { incarnation, board } = this.options;
    const { pool, to } = this.move;
    const subject = { rollNumber: this.rollNumber, move: this.key, pool, version: to };
    return board.addVerdict({ ...subject, finder: incarnation, reason, detail });
  }

  private isFinal(): boolean {
    const state = this.options.board.statusOf(this.key)?.state._tag;
    return state === 'done' || state === 'reverted';
  }
}
