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
import { decideMoveStep, type MoveStep } from './decideMoveStep.ts';
import { VersionEvidence, type Release } from './VersionEvidence.ts';
import { VersionLoader } from './VersionLoader.ts';

/** Retry delay after the store was unreachable or another process held the lease. */
const RETRY_PAUSE_MS = 300;

/** Services, clocks and callbacks of a move driver. */
export interface MoveDriverOptions {
  readonly platform: PlatformApi;
  readonly replica: ConfigurationReplica;
  readonly client: EndpointClient;
  /** Incarnation of this process. */
  readonly incarnation: string;
  /** Duration of the lease of each move, ms. */
  readonly leaseMs: number;
  /** Present monotonic time, ms. */
  readonly now: () => number;
  /** Present Unix time, ms. */
  readonly wallNow: () => number;
  /** Creates a nonce that never repeats. */
  readonly nonce: () => string;
  /** Whether this process schedules a pool at present and therefore drives its move. */
  readonly isDriver: (pool: string) => boolean;
  /** Carries out actions such as decisions and messages to peers. */
  readonly onActions: (actions: readonly Action[]) => void;
}

const decodeStatus = Schema.decodeUnknownOption(MoveStatus);

/** Drives one move while this process schedules its pool, and only collects evidence otherwise. */
export class MoveDriver {
  private readonly options: MoveDriverOptions;

  private readonly key: string;

  private readonly lease: LeaseHolder;

  private readonly evidence: VersionEvidence;

  private readonly loader: VersionLoader;

  private move: Move;

  private rollNumber = 0;

  /** The stored status with the fencing number under which this process claimed it. */
  private claim: { fencing: number; resourceVersion: string; status: MoveStatus } | undefined;

  private stageStartedAt = 0;

  /** The state that the present evidence was collected in, as JSON. */
  private evidenceState: string | undefined;

  private retryAt = -Infinity;

  /**
   * @param options - services, clocks and callbacks
   * @param key - key of the move
   * @param move - the move's terms
   */
  constructor(options: MoveDriverOptions, key: string, move: Move) {
    this.options = options;
    this.key = key;
    this.move = move;
    this.evidence = new VersionEvidence(move, []);
    this.loader = new VersionLoader(options.client, key, move.to);
    this.lease = new LeaseHolder({
      ...options,
      name: key,
      holder: options.incarnation,
      durationMs: options.leaseMs,
    });
  }

  /** @returns name of the pool whose version the move changes */
  pool(): string {
    return this.move.pool;
  }

  /**
   * Applies a configuration that still has the move.
   *
   * @param configuration - configuration in force
   * @param move - the move's terms in that configuration
   * @param now - present monotonic time, ms
   */
  configure({ rollNumber, bundle }: Configuration, move: Move, now: number): void {
    if (rollNumber === this.rollNumber) return;
    this.rollNumber = rollNumber;
    this.move = move;
    const endpoints = bundle.endpoints.filter(({ pool }) => pool === move.pool);
    this.evidence.configure(endpoints);
    this.loader.configure(endpoints, now);
  }

  /**
   * Adds the evidence of an ended request. A detected fault becomes a verdict at once, which needs
   * neither the lease nor the store.
   *
   * @param from - incarnation that dispatched the request
   * @param release - its release message
   * @param now - present monotonic time, ms
   * @returns the decision and the pushes to peers if the new version is condemned
   */
  record(from: string, release: Release, now: number): readonly Action[] {
    this.evidence.record(from, release, now);
    const fault = this.evidence.detectedFault();
    if (fault === undefined || this.isFinal()) return [];
    return this.condemn(fault.reason, fault.detail);
  }

  /**
   * Carries out the next step of the move if this process drives it.
   *
   * @returns an effect that ends when the step has been carried out
   */
  advance(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* advance() {
      const { now, isDriver } = this.options;
      if (this.isFinal() || !isDriver(this.move.pool)) {
        this.evidenceState = undefined;
        yield* this.stop();
        return;
      }
      if (now() < this.retryAt) return;
      const fencing = yield* this.lease.acquireOrRenew();
      if (fencing === undefined || !(yield* this.claimStatus(fencing))) {
        this.retryAt = now() + RETRY_PAUSE_MS;
        return;
      }
      yield* this.loader.pollDue(now());
      yield* this.carryOut(this.decide(), fencing);
    });
  }

  /**
   * Releases the lease, so that a successor can continue at once.
   *
   * @returns an effect that ends when the lease has been released
   */
  stop(): Effect.Effect<void> {
    this.claim = undefined;
    return this.lease.release();
  }

  private decide(): MoveStep {
    const { replica: board, now, wallNow } = this.options;
    const status = this.claim?.status;
    const stage =
      status?.state._tag === 'staged' ? this.move.stages[status.state.stage] : undefined;
    const input = {
      move: this.move,
      status,
      verdicts: board.verdictsOf(this.key),
      load: this.loader.progress(now()),
      missingEvidence: stage === undefined ? undefined : this.evidence.missingEvidence(stage),
      stageStartedAt: this.stageStartedAt,
    };
    return decideMoveStep(input, now(), wallNow());
  }

  private carryOut(step: MoveStep, fencing: number): Effect.Effect<void> {
    switch (step._tag) {
      case 'write':
        return this.writeState(step.state, fencing);
      case 'load':
        return this.orderLoad(fencing);
      case 'condemn':
        return Effect.sync(() => this.options.onActions(this.condemn('load_failed', step.detail)));
      // Engines that ignore fencing numbers may have obeyed an older driver, so missing versions are
      // ordered again for as long as the move lasts.
      case 'wait':
        return this.loader.needsOrder(this.options.now()) ? this.orderLoad(fencing) : Effect.void;
      case 'ended':
        return this.stop();
      default:
        return step satisfies never;
    }
  }

  // The first write under a new fencing number repeats the state as it is. From then on no write
  // of an earlier driver can take effect, however late it arrives.
  private claimStatus(fencing: number): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* claimStatus() {
      if (this.claim?.fencing === fencing) return true;
      this.claim = undefined;
      const read = yield* this.options.platform.read('movestatuses', this.key);
      if (read._tag === 'unavailable') return false;
      if (read._tag === 'found') this.adoptStored(read.object);
      if (this.isFinal()) return false;
      const expected = read._tag === 'found' ? read.object.resourceVersion : undefined;
      const known = read._tag === 'found' ? decodeStatus(read.object.value) : Option.none();
      const status = Option.getOrUndefined(known);
      const state = status?.state ?? ({ _tag: 'pending' } as const);
      // Peers accept only newer statuses, also under the same fencing number.
      const sequence = status?.fencing === fencing ? status.sequence + 1 : 0;
      yield* this.writeStatus({ fencing, sequence, state }, expected);
      return this.hasClaim(fencing);
    });
  }

  private hasClaim(fencing: number): boolean {
    return this.claim?.fencing === fencing;
  }

  private writeState(state: MoveState, fencing: number): Effect.Effect<void> {
    const { claim } = this;
    // The lease may have lapsed since the step was decided; a state is written only under a valid lease.
    const holds = this.lease.fencingNumber(this.options.now()) === fencing;
    if (claim === undefined || !holds) return Effect.void;
    const sequence = claim.status.sequence + 1;
    return this.writeStatus({ fencing, sequence, state }, claim.resourceVersion);
  }

  // Each write is tried only once. After a lost reply the status is read and claimed again, which
  // checks the deadline again and fences off a write that may still be in flight.
  private writeStatus(
    change: Pick<MoveStatus, 'fencing' | 'sequence' | 'state'>,
    expected: string | undefined,
  ): Effect.Effect<void> {
    const status: MoveStatus = { rollNumber: this.rollNumber, move: this.key, ...change };
    const write = { kind: 'movestatuses', name: this.key, value: status, expected } as const;
    return Effect.map(writeConditionally(this.options.platform, write, 1), (settled) => {
      this.claim = undefined;
      if (settled._tag === 'lost' && settled.object !== undefined) this.adoptStored(settled.object);
      if (settled._tag !== 'written') return;
      const { resourceVersion } = settled.object;
      this.claim = { fencing: status.fencing, resourceVersion, status };
      this.beginState(status.state);
      this.options.onActions(this.options.replica.addStatus(status));
    });
  }

  // A driver that claims its own state again, as after an outage of the store, keeps its evidence.
  private beginState(state: MoveState): void {
    const entered = JSON.stringify(state);
    if (entered === this.evidenceState) return;
    this.evidenceState = entered;
    this.stageStartedAt = this.options.now();
    this.evidence.beginStage();
  }

  private orderLoad(fencing: number): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* orderLoad() {
      const { now } = this.options;
      if (!this.loader.needsOrder(now())) return;
      // The process may have been paused since the lease was last checked.
      if (!(yield* this.lease.verifyInStore())) {
        this.lease.abandon();
        return;
      }
      const result = yield* this.loader.orderNext(fencing, now());
      if (result._tag === 'fenced') this.lease.abandon();
    });
  }

  private adoptStored(object: StoredObject): void {
    const status = decodeStatus(object.value);
    if (Option.isNone(status)) return;
    this.options.onActions(this.options.replica.addStatus(status.value));
  }

  private condemn(reason: VerdictReason, detail: string): readonly Action[] {
    const { incarnation, replica: board } = this.options;
    const { pool, to } = this.move;
    const subject = { rollNumber: this.rollNumber, move: this.key, pool, version: to };
    return board.addVerdict({ ...subject, finder: incarnation, reason, detail });
  }

  private isFinal(): boolean {
    const state = this.options.replica.statusOf(this.key)?.state._tag;
    return state === 'done' || state === 'reverted';
  }
}
