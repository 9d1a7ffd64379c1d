import * as Deferred from 'effect/Deferred';
import * as Effect from 'effect/Effect';
import * as Option from 'effect/Option';
import * as Schema from 'effect/Schema';
import type * as Scope from 'effect/Scope';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { ObjectKind, PlatformApi, StoredObject } from '../../protocol/platform/PlatformApi.ts';
import { Instance } from '../../state/Instance.ts';
import { MoveStatus } from '../../state/MoveStatus.ts';
import { ROLL_OBJECT_NAME } from '../../state/Roll.ts';
import type { Action } from '../Action.ts';
import type { ConfigurationReplica } from './ConfigurationReplica.ts';
import { decodeStoredRoll } from './decodeStoredRoll.ts';

/** Upper bound of the random delay before the first read; it spreads the reads of entries that start at the same time. */
const MAXIMUM_BOOTSTRAP_DELAY_MS = 200;
const MINIMUM_BACKOFF_MS = 250;
const MAXIMUM_BACKOFF_MS = 4_000;
/**
 * Shortest lifetime of a watch, the longest is twice this. A new listing then replaces the watch,
 * because its connection may be dead without an error.
 */
const MINIMUM_WATCH_LIFETIME_MS = 5_000;
/** Time after which a process that isn't a relay checks again whether it has become one. */
const ROLE_CHECK_INTERVAL_MS = 250;

/** Dependencies of a relay. */
export interface RelayOptions {
  readonly platform: PlatformApi;
  readonly configurationReplica: ConfigurationReplica;
  /** Whether this process is a relay of its failure domain at present. */
  readonly isRelay: () => boolean;
  /** Present monotonic time in ms. */
  readonly now: () => number;
  readonly random: RandomGenerator;
  readonly onActions: (actions: readonly Action[]) => void;
  /** Receives all instances that the platform lists; membership takes its seeds from them. */
  readonly onInstances: (instances: readonly Instance[]) => void;
}

const decodeStatus = Schema.decodeUnknownOption(MoveStatus);
const decodeInstance = Schema.decodeUnknownOption(Instance);

/** Reads the store at startup and watches it while this process is a relay. Every entry runs one. */
class Relay {
  private readonly options: RelayOptions;

  private readonly instances = new Map<string, Instance>();

  constructor(options: RelayOptions) {
    this.options = options;
  }

  /**
   * Reads the instances and the first configuration from the store. Retries while the store is
   * unavailable and no peer has sent a configuration either.
   */
  bootstrap(backoffMs = MINIMUM_BACKOFF_MS): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* bootstrap() {
      const { platform, configurationReplica } = this.options;
      yield* Effect.sleep(this.jitter(MAXIMUM_BOOTSTRAP_DELAY_MS));
      const listed = yield* platform.list('instances');
      if (listed._tag === 'listed') this.replaceInstances(listed.objects);
      const read = yield* platform.read('rolls', ROLL_OBJECT_NAME);
      if (read._tag === 'found') this.applyObject('rolls', read.object);
      if (read._tag !== 'unavailable' || configurationReplica.current() !== undefined) return;
      yield* Effect.sleep(this.jitter(backoffMs));
      yield* this.bootstrap(Math.min(2 * backoffMs, MAXIMUM_BACKOFF_MS));
    });
  }

  /** Lists and watches one kind of object while this process is a relay, and waits while it isn't. */
  listAndWatch(kind: ObjectKind): Effect.Effect<never> {
    let backoffMs = MINIMUM_BACKOFF_MS;
    const listAndWatchOnce = Effect.gen({ self: this }, function* listAndWatch() {
      if (!this.options.isRelay()) {
        yield* Effect.sleep(ROLE_CHECK_INTERVAL_MS);
        return;
      }
      const listed = yield* this.options.platform.list(kind);
      if (listed._tag === 'unavailable') {
        yield* Effect.sleep(this.jitter(backoffMs));
        backoffMs = Math.min(2 * backoffMs, MAXIMUM_BACKOFF_MS);
        return;
      }
      backoffMs = MINIMUM_BACKOFF_MS;
      this.applyListing(kind, listed.objects);
      yield* this.watch(kind, listed.resourceVersion);
    });
    return Effect.forever(listAndWatchOnce);
  }

  private watch(kind: ObjectKind, resourceVersion: string): Effect.Effect<void> {
    return Effect.scoped(
      Effect.gen({ self: this }, function* watch() {
        const ended = yield* Deferred.make<void>();
        const lifetimeMs =
          MINIMUM_WATCH_LIFETIME_MS + uniformInt(this.options.random, 0, MINIMUM_WATCH_LIFETIME_MS);
        const events = this.options.platform.watch(kind, resourceVersion, (event) => {
          if (event._tag === 'put') this.applyObject(kind, event.object);
          else if (event._tag === 'deleted') this.removeObject(kind, event.object);
          else Deferred.doneUnsafe(ended, Effect.void);
        });
        yield* Effect.forkScoped(events);
        const end = yield* Effect.timeoutOption(Deferred.await(ended), lifetimeMs);
        // Without this pause a watch that breaks immediately would cause listings in a tight loop.
        if (Option.isSome(end)) yield* Effect.sleep(this.jitter(MINIMUM_BACKOFF_MS));
      }),
    );
  }

  private applyListing(kind: ObjectKind, objects: readonly StoredObject[]): void {
    if (kind === 'instances') this.replaceInstances(objects);
    else objects.forEach((object) => this.applyObject(kind, object));
  }

  private applyObject(kind: ObjectKind, object: StoredObject): void {
    const { configurationReplica, now, isRelay, onActions } = this.options;
    if (kind === 'rolls') {
      const roll = decodeStoredRoll(object.value);
      if (roll === undefined) return;
      const { rollNumber, digest, bundle } = roll;
      // The source `store` causes a push to the whole failure domain, which is left to relays.
      const source = isRelay() ? 'store' : 'peer';
      onActions(configurationReplica.applyIfNewer({ rollNumber, digest, bundle }, source, now()));
    } else if (kind === 'movestatuses') {
      const status = decodeStatus(object.value);
      if (Option.isSome(status)) onActions(configurationReplica.addStatus(status.value));
    } else if (kind === 'instances') {
      const instance = decodeInstance(object.value);
      if (Option.isSome(instance)) this.instances.set(object.name, instance.value);
      this.publishInstances();
    }
  }

  private removeObject(kind: ObjectKind, object: StoredObject): void {
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
    const { configurationReplica, now, onActions, onInstances, isRelay } = this.options;
    const instances = [...this.instances.values()];
    onInstances(instances);
    const leaving = instances
      .filter(({ state }) => state === 'leaving')
      .map(({ address }) => address);
    if (isRelay()) onActions(configurationReplica.reportLeaving(leaving, now()));
    else configurationReplica.observeLeaving(leaving, now());
  }

  private jitter(maximumMs: number): number {
    return uniformInt(this.options.random, Math.ceil(maximumMs / 2), maximumMs);
  }
}

/**
 * Reads the first configuration of this process and, while the process is a relay, watches the object
 * service on behalf of its failure domain. Failed reads are retried with jittered exponential backoff.
 *
 * @param options - the relay's dependencies
 * @returns an effect that completes at once; reading and watching run in the background until the
 *   scope closes
 */
export const runRelay = (options: RelayOptions): Effect.Effect<void, never, Scope.Scope> =>
  Effect.gen(function* run() {
    const relay = new Relay(options);
    const kinds: readonly ObjectKind[] = ['rolls', 'movestatuses', 'instances'];
    const watching = Effect.forEach(kinds, (kind) => relay.listAndWatch(kind), {
      concurrency: 'unbounded',
      discard: true,
    });
    yield* Effect.forkScoped(Effect.andThen(relay.bootstrap(), watching));
  });
