import * as Effect from 'effect/Effect';
import * as Option from 'effect/Option';
import * as Schema from 'effect/Schema';
import type { PlatformApi, StoredObject } from '../../protocol/platform/PlatformApi.ts';
import { Lease } from '../../state/Lease.ts';
import { writeConditionally } from './settleWrite.ts';

/** Share of the duration after which a lease is renewed. */
const RENEWAL_SHARE = 1 / 3;
/** A lease is taken over only this much after it would have run out for its holder. */
const TAKEOVER_MARGIN_SHARE = 0.25;

/** Who holds leases here, and by which clocks. */
export interface LeaseOptions {
  readonly platform: PlatformApi;
  /** Object name of the lease. */
  readonly name: string;
  readonly holder: string;
  readonly durationMs: number;
  /** Present monotonic time in ms. */
  readonly now: () => number;
  /** Present Unix time in ms, written for operators to read. */
  readonly wallNow: () => number;
  /** Gives a nonce that never repeats. */
  readonly nonce: () => string;
}

interface Held {
  readonly resourceVersion: string;
  readonly fencing: number;
  /** Counted from before the write was sent, by the own monotonic clock. */
  readonly startedAt: number;
}

interface Observed {
  readonly resourceVersion: string;
  readonly observedAt: number;
}

const decodeLease = Schema.decodeUnknownOption(Lease);

/**
 * A lease in the object service. Its fencing number grows with each change of holder. No two
 * clocks are compared: a holder counts from before its own write, and a successor counts from when
 * it first saw the lease unchanged.
 */
export class LeaseHolder {
  private readonly options: LeaseOptions;

  private held: Held | undefined;

  private observed: Observed | undefined;

  constructor(options: LeaseOptions) {
    this.options = options;
  }

  /**
   * Tells whether the lease holds, by the monotonic clock.
   *
   * @param now - present time in ms
   * @returns its fencing number, undefined where it doesn't hold
   */
  fencingNumber(now: number): number | undefined {
    const { held } = this;
    return held !== undefined && now < held.startedAt + this.options.durationMs
      ? held.fencing
      : undefined;
  }

  /**
   * Acquires the lease, or renews it where a third of it has passed.
   *
   * @returns the fencing number, undefined where another process holds it or the store is away
   */
  keep(): Effect.Effect<number | undefined> {
    return Effect.gen({ self: this }, function* keep() {
      const now = this.options.now();
      const { held } = this;
      if (held !== undefined && this.fencingNumber(now) !== undefined) {
        const isFresh = now < held.startedAt + this.options.durationMs * RENEWAL_SHARE;
        if (isFresh) return held.fencing;
        yield* this.writeLease(held.fencing, held.resourceVersion);
        return this.fencingNumber(this.options.now());
      }
      this.held = undefined;
      return yield* this.acquire();
    });
  }

  /**
   * Reads the lease again, as is needed after a pause before an order that engines may not check.
   *
   * @returns whether the store still names this process with the same fencing number
   */
  verifyInStore(): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* confirm() {
      const read = yield* this.options.platform.read('leases', this.options.name);
      const fencing = this.fencingNumber(this.options.now());
      if (read._tag !== 'found' || fencing === undefined) return false;
      const lease = Option.getOrUndefined(decodeLease(read.object.value));
      return lease?.holder === this.options.holder && lease.fencing === fencing;
    });
  }

  /** Gives the lease up at once, so that a successor needn't wait for it to run out. */
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

  /** Forgets the lease where someone with a higher fencing number was met. */
  drop(): void {
    this.held = undefined;
  }

  private acquire(): Effect.Effect<number | undefined> {
    return Effect.gen({ self: this }, function* acquire() {
      const { platform, name } = this.options;
      const read = yield* platform.read('leases', name);
      if (read._tag === 'unavailable') return undefined;
      if (read._tag === 'absent') return yield* this.writeLease(1, undefined);
      const lease = Option.getOrUndefined(decodeLease(read.object.value));
      if (!this.hasRunOut(read.object, lease)) return undefined;
      return yield* this.writeLease((lease?.fencing ?? 0) + 1, read.object.resourceVersion);
    });
  }

  private hasRunOut({ resourceVersion }: StoredObject, lease: Lease | undefined): boolean {
    // Its own lapsed lease needs no waiting time: nobody else acts under it.
    if (lease?.holder === this.options.holder) return true;
    const now = this.options.now();
    if (this.observed?.resourceVersion !== resourceVersion) {
      this.observed = { resourceVersion, observedAt: now };
    }
    const durationMs = lease?.durationMs ?? this.options.durationMs;
    return now - this.observed.observedAt >= durationMs * (1 + TAKEOVER_MARGIN_SHARE);
  }

  private writeLease(
    fencing: number,
    expected: string | undefined,
  ): Effect.Effect<number | undefined> {
    return Effect.gen({ self: this }, function* put() {
      const since = this.options.now();
      const { platform, name } = this.options;
      const value = this.buildLease(fencing);
      const settled = yield* writeConditionally(platform, {
        kind: 'leases',
        name,
        value,
        expected,
      });
      if (settled._tag === 'written') {
        this.held = { resourceVersion: settled.object.resourceVersion, fencing, startedAt: since };
      } else if (settled._tag === 'lost') {
        this.held = this.stillOurs(settled.object);
      }
      return this.fencingNumber(this.options.now());
    });
  }

  // An earlier renewal whose answer was lost may be what stands there: it counts from the last
  // renewal that was confirmed, which is earlier.
  private stillOurs(object: StoredObject | undefined): Held | undefined {
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
