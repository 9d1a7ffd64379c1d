import * as Effect from 'effect/Effect';
import * as Option from 'effect/Option';
import * as Schema from 'effect/Schema';
import type { PlatformApi, StoredObject } from '../../protocol/platform/PlatformApi.ts';
import { Lease } from '../../state/Lease.ts';
import { writeConditionally } from './writeConditionally.ts';

/** Fraction of the duration after which a lease is renewed. */
const RENEWAL_FRACTION = 1 / 3;
/** Fraction of the duration to wait beyond expiry before taking over the lease of another holder. */
const TAKEOVER_MARGIN_FRACTION = 0.25;

/** Constructor options of a lease holder: the lease, the process that acquires it, and the clocks. */
export interface LeaseHolderOptions {
  readonly platform: PlatformApi;
  /** Object name of the lease. */
  readonly name: string;
  /** Identity of this process, stored as the holder of the lease. */
  readonly holder: string;
  readonly durationMs: number;
  /** Returns the current monotonic time in ms. */
  readonly now: () => number;
  /** Returns the current Unix time in ms, which is stored for operators only. */
  readonly wallNow: () => number;
  /** Creates a nonce that never repeats. */
  readonly nonce: () => string;
}

/** A lease held by this process. */
interface HeldLease {
  readonly resourceVersion: string;
  readonly fencing: number;
  /** When the lease started, in monotonic ms of this process: just before its write was sent. */
  readonly startedAt: number;
}

/** Version of another holder's lease. */
interface ObservedVersion {
  readonly resourceVersion: string;
  /** When this process first read the version, in monotonic ms. */
  readonly observedAt: number;
}

const decodeLease = Schema.decodeUnknownOption(Lease);

/**
 * Acquires, renews and releases a lease in the object service for this process. The fencing number
 * grows with each change of holder. Clocks of different processes are never compared: a holder
 * measures the duration from just before its own write, and a successor from its first read of the
 * lease version that is still stored.
 */
export class LeaseHolder {
  private readonly options: LeaseHolderOptions;

  private held: HeldLease | undefined;

  private observed: ObservedVersion | undefined;

  /**
   * @param options - the lease, its holder and the clocks
   */
  constructor(options: LeaseHolderOptions) {
    this.options = options;
  }

  /**
   * Returns the fencing number of the lease while this process holds it.
   *
   * @param now - current monotonic time in ms
   * @returns the fencing number, or undefined if the lease isn't held or has expired
   */
  fencingNumber(now: number): number | undefined {
    const { held } = this;
    return held !== undefined && now < held.startedAt + this.options.durationMs
      ? held.fencing
      : undefined;
  }

  /**
   * Acquires the lease, or renews it once a third of its duration has passed.
   *
   * @returns the fencing number, or undefined if another process holds the lease or the object service
   *   is unavailable
   */
  acquireOrRenew(): Effect.Effect<number | undefined> {
    return Effect.gen({ self: this }, function* acquireOrRenew() {
      const now = this.options.now();
      const { held } = this;
      if (held !== undefined && this.fencingNumber(now) !== undefined) {
        const isFresh = now < held.startedAt + this.options.durationMs * RENEWAL_FRACTION;
        if (isFresh) return held.fencing;
        yield* this.writeLease(held.fencing, held.resourceVersion);
        return this.fencingNumber(this.options.now());
      }
      this.held = undefined;
      return yield* this.acquire();
    });
  }

  /**
   * Reads the lease again. This process may have been paused since its last check, and engines may
   * not check the fencing number of an order, so the lease is verified before each order.
   *
   * @returns true if the stored lease still names this process with the same fencing number
   */
  verifyInStore(): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* verifyInStore() {
      const read = yield* this.options.platform.read('leases', this.options.name);
      const fencing = this.fencingNumber(this.options.now());
      if (read._tag !== 'found' || fencing === undefined) return false;
      const lease = Option.getOrUndefined(decodeLease(read.object.value));
      return lease?.holder === this.options.holder && lease.fencing === fencing;
    });
  }

  /**
   * Releases the lease by storing a duration of 0, so that a successor needn't wait for its expiry. A
   * failed write is ignored; the lease then expires.
   *
   * @returns an effect that never fails
   */
  release(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* release() {
      const { held } = this;
      this.held = undefined;
      if (held === undefined) return;
      const value = { ...this.buildLease(held.fencing), durationMs: 0 };
      const { platform, name } = this.options;
      yield* platform.replace('leases', name, value, held.resourceVersion);
    });
  }

  /**
   * Stops using the lease without a write, because it couldn't be verified or a higher fencing number
   * was seen.
   */
  abandon(): void {
    this.held = undefined;
  }

  private acquire(): Effect.Effect<number | undefined> {
    return Effect.gen({ self: this }, function* acquire() {
      const { platform, name } = this.options;
      const read = yield* platform.read('leases', name);
      if (read._tag === 'unavailable') return undefined;
      if (read._tag === 'absent') return yield* this.writeLease(1, undefined);
      const lease = Option.getOrUndefined(decodeLease(read.object.value));
      if (!this.canTakeOver(read.object, lease)) return undefined;
      return yield* this.writeLease((lease?.fencing ?? 0) + 1, read.object.resourceVersion);
    });
  }

  private canTakeOver({ resourceVersion }: StoredObject, lease: Lease | undefined): boolean {
    // This process can take over its own expired lease at once, as no other process uses it.
    if (lease?.holder === this.options.holder) return true;
    const now = this.options.now();
    if (this.observed?.resourceVersion !== resourceVersion) {
      this.observed = { resourceVersion, observedAt: now };
    }
    const durationMs = lease?.durationMs ?? this.options.durationMs;
    return now - this.observed.observedAt >= durationMs * (1 + TAKEOVER_MARGIN_FRACTION);
  }

  private writeLease(
    fencing: number,
    expected: string | undefined,
  ): Effect.Effect<number | undefined> {
    return Effect.gen({ self: this }, function* writeLease() {
      const startedAt = this.options.now();
      const { platform, name } = this.options;
      const value = this.buildLease(fencing);
      const result = yield* writeConditionally(platform, {
        kind: 'leases',
        name,
        value,
        expected,
      });
      if (result._tag === 'written') {
        this.held = { resourceVersion: result.object.resourceVersion, fencing, startedAt };
      } else if (result._tag === 'lost') {
        this.held = this.reconcileHeld(result.object);
      }
      return this.fencingNumber(this.options.now());
    });
  }

  // The stored lease may come from an earlier renewal of this process whose response didn't arrive.
  // The expiry is then still computed from the last confirmed renewal, which is earlier and therefore
  // safe.
  private reconcileHeld(object: StoredObject | undefined): HeldLease | undefined {
    const lease = Option.getOrUndefined(decodeLease(object?.value));
    const isOurs = lease?.holder === this.options.holder && lease.fencing === this.held?.fencing;
    if (!isOurs || object === undefined || this.held === undefined) return undefined;
    return { ...this.held, resourceVersion: object.resourceVersion };
  }

  private buildLease(fencing: number): Lease {
    const { holder, durationMs, wallNow, nonce } = this.options;
    return { holder, fencing, durationMs, renewedAtMs: wallNow(), nonce: nonce() };
  }
}
