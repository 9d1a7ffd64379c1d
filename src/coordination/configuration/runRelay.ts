import * as Deferred from 'effect/Deferred';
import * as Effect from 'effect/Effect';
import * as Option from 'effect/Option';
import * as Schema from 'effect/Schema';
import type * as Scope from 'effect/Scope';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { ObjectKind, Platform, StoredObject } from '../../protocol/platform/Platform.ts';
import { Instance } from '../../state/Instance.ts';
import { MoveStatus } from '../../state/MoveStatus.ts';
import { ROLL_NAME } from '../../state/Roll.ts';
import type { Action } from '../Action.ts';
import type { ConfigurationReplica } from './ConfigurationReplica.ts';
import { decodeStoredRoll } from './decodeStoredRoll.ts';

/** Starts are spread over this time, so that a fleet that restarts doesn't read all at once. */
const BOOTSTRAP_JITTER_MS = 200;
const MINIMUM_BACKOFF_MS = 250;
const MAXIMUM_BACKOFF_MS = 4_000;
/** A watch is replaced by a fresh listing after this time, since its connection may be silent for good. */
const WATCH_LIFETIME_MS = 5_000;
const ROLE_CHECK_MS = 250;

/** What a relay works with. */
export interface RelayOptions {
  readonly platform: Platform;
  readonly configurationReplica: ConfigurationReplica;
  /** Whether this process watches for its failure domain at present. */
  readonly isRelay: () => boolean;
  /** Present monotonic time in ms. */
  readonly now: () => number;
  readonly random: RandomGenerator;
  readonly onActions: (actions: readonly Action[]) => void;
  /** Instances as the platform lists them: membership takes its seeds from here. */
  readonly onInstances: (instances: readonly Instance[]) => void;
}

const decodeStatus = Schema.decodeUnknownOption(MoveStatus);
const decodeInstance = Schema.decodeUnknownOption(Instance);

class Relay {
  private readonly options: RelayOptions;

  private readonly instances = new Map<string, Instance>();

  constructor(options: RelayOptions) {
    this.options = options;
  }

  /** Gets a first configuration: from the store, or from peers while it is away. */
  bootstrap(backoffMs = MINIMUM_BACKOFF_MS): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* bootstrap() {
      const { platform, configurationReplica: board } = this.options;
      yield* Effect.sleep(this.jitter(BOOTSTRAP_JITTER_MS));
      const listed = yield* platform.list('instances');
      if (listed._tag === 'listed') this.replaceInstances(listed.objects);
      const read = yield* platform.read('rolls', ROLL_NAME);
      if (read._tag === 'found') this.take('rolls', read.object);
      if (read._tag !== 'unavailable' || board.current() !== undefined) return;
      yield* Effect.sleep(this.jitter(backoffMs));
      yield* this.bootstrap(Math.min(2 * backoffMs, MAXIMUM_BACKOFF_MS));
    });
  }

  /** Lists and watches one kind for as long as this process is a relay, and waits while it isn't. */
  follow(kind: ObjectKind): Effect.Effect<never> {
    let backoffMs = MINIMUM_BACKOFF_MS;
    const round = Effect.gen({ self: this }, function* follow() {
      if (!this.options.isRelay()) {
        yield* Effect.sleep(ROLE_CHECK_MS);
        return;
      }
      const listed = yield* this.options.platform.list(kind);
      if (listed._tag === 'unavailable') {
        yield* Effect.sleep(this.jitter(backoffMs));
        backoffMs = Math.min(2 * backoffMs, MAXIMUM_BACKOFF_MS);
        return;
      }
      backoffMs = MINIMUM_BACKOFF_MS;
      this.takeAll(kind, listed.objects);
      yield* this.watch(kind, listed.resourceVersion);
    });
    return Effect.forever(round);
  }

  private watch(kind: ObjectKind, resourceVersion: string): Effect.Effect<void> {
    return Effect.scoped(
      Effect.gen({ self: this }, function* watch() {
        const ended = yield* Deferred.make<void>();
        const lifetimeMs =
          WATCH_LIFETIME_MS + uniformInt(this.options.random, 0, WATCH_LIFETIME_MS);
        const events = this.options.platform.watch(kind, resourceVersion, (event) => {
          if (event._tag === 'put') this.take(kind, event.object);
          else if (event._tag === 'deleted') this.drop(kind, event.object);
          else Deferred.doneUnsafe(ended, Effect.void);
        });
        yield* Effect.forkScoped(events);
        const end = yield* Effect.timeoutOption(Deferred.await(ended), lifetimeMs);
        // A watch that breaks at once must not turn into a stream of listings.
        if (Option.isSome(end)) yield* Effect.sleep(this.jitter(MINIMUM_BACKOFF_MS));
      }),
    );
  }

  private takeAll(kind: ObjectKind, objects: readonly StoredObject[]): void {
    if (kind === 'instances') this.replaceInstances(objects);
    else objects.forEach((object) => this.take(kind, object));
  }

  private take(kind: ObjectKind, object: StoredObject): void {
    const { configurationReplica: board, now, isRelay, onActions } = this.options;
    if (kind === 'rolls') {
      const roll = decodeStoredRoll(object.value);
      if (roll === undefined) return;
      const { rollNumber, digest, bundle } = roll;
      const source = isRelay() ? 'store' : 'peer';
      onActions(board.applyIfNewer({ rollNumber, digest, bundle }, source, now()));
    } else if (kind === 'movestatuses') {
      const status = decodeStatus(object.value);
      if (Option.isSome(status)) onActions(board.addStatus(status.value));
    } else if (kind === 'instances') {
      const instance = decodeInstance(object.value);
      if (Option.isSome(instance)) this.instances.set(object.name, instance.value);
      this.publishInstances();
    }
  }

  private drop(kind: ObjectKind, object: StoredObject): void {
    if (kind !== 'instances') return;
    this.instances.delete(object.name);
    this.publishInstances();
  }

  private replaceInstances(objects: readonly StoredObject[]): void {
    this.instances.clear();
    objects.forEach(({ name, value }) => {
      const instance = decodeInstance(value);
      if (Option.isSome(instance)) this.instances.set(name, instance.value);
    });
    this.publishInstances();
  }

  private publishInstances(): void {
    const { configurationReplica: board, now, onActions, onInstances, isRelay } = this.options;
    const instances = [...this.instances.values()];
    onInstances(instances);
    if (!isRelay()) return;
    const leaving = instances.filter(({ state }) => state === 'leaving');
    onActions(
      board.reportLeaving(
        leaving.map(({ address }) => address),
        now(),
      ),
    );
  }

  private jitter(maximumMs: number): number {
    return uniformInt(this.options.random, Math.ceil(maximumMs / 2), maximumMs);
  }
}

/**
 * Gives this process its first configuration, and while it is a relay keeps it and its failure
 * domain up to date with the object service. Outages are waited out with growing, jittered pauses.
 *
 * @param options - the platform, the board and the process's clock and generator
 * @returns an effect that comes back once the first configuration was looked for; watching goes on
 *   until the scope closes
 */
export const runRelay = (options: RelayOptions): Effect.Effect<void, never, Scope.Scope> =>
  Effect.gen(function* run() {
    const relay = new Relay(options);
    const kinds: readonly ObjectKind[] = ['rolls', 'movestatuses', 'instances'];
    const following = Effect.forEach(kinds, (kind) => relay.follow(kind), {
      concurrency: 'unbounded',
      discard: true,
    });
    yield* Effect.forkScoped(Effect.andThen(relay.bootstrap(), following));
  });
