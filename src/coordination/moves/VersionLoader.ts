import * as Effect from 'effect/Effect';
import type { EndpointClient } from '../../protocol/engine/EndpointClient.ts';
import type { VersionState } from '../../protocol/engine/EngineOrder.ts';
import type { Endpoint } from '../../state/Endpoint.ts';
import type { LoadProgress } from './decideMoveStep.ts';

/** Engines that load at the same time, since the weight store is rate-limited. */
const MAXIMUM_CONCURRENT_LOADS = 2;
/** Least time between the starts of two loads, for the same reason. */
const MINIMUM_LOAD_SPACING_MS = 250;
/** Interval at which an engine that isn't ready is asked for its versions. */
const POLL_INTERVAL_MS = 200;
/** Interval at which a ready engine is asked, so that a version that it has lost is loaded again. */
const READY_POLL_INTERVAL_MS = 3_000;
/** Load attempts per engine: a first failure may be due to the rate limit of the weight store. */
const MAXIMUM_LOAD_ATTEMPTS = 2;
/** Time without a reply after which an engine no longer blocks the move, if at least half are ready. */
const UNREACHABLE_AFTER_MS = 5_000;

/** Last known load state of an engine; `unknown` where its last poll or order got no reply. */
type KnownState = VersionState['state'] | 'absent' | 'unknown';

interface EngineLoad {
  state: KnownState;
  attempts: number;
  /** Monotonic time, ms. */
  lastReplyAt: number;
  /** Monotonic time, ms. */
  lastPollAt: number;
}

/** Result of sending a load order. */
export type OrderResult =
  { readonly _tag: 'ordered' } | { readonly _tag: 'nothingToDo' } | { readonly _tag: 'fenced' };

/**
 * Sends load orders for one version to the engines that take them (`loadByOrder`), a few at a time, and
 * tracks the progress of the loads.
 */
export class VersionLoader {
  private readonly client: EndpointClient;

  private readonly move: string;

  private readonly version: string;

  private readonly engineLoads = new Map<string, EngineLoad>();

  private endpoints: readonly Endpoint[] = [];

  private lastOrderAt = -Infinity;

  /**
   * @param client - client of the engines
   * @param move - key of the move; order ids begin with it, so that engines recognise a repeated order
   * @param version - the version to load
   */
  constructor(client: EndpointClient, move: string, version: string) {
    this.client = client;
    this.move = move;
    this.version = version;
  }

  /**
   * Applies the endpoints of a bundle.
   *
   * @param endpoints - endpoints of the pool; those of other versions or without `loadByOrder` are ignored
   * @param now - present monotonic time, ms
   */
  configure(endpoints: readonly Endpoint[], now: number): void {
    this.endpoints = endpoints.filter(({ version, loadByOrder }) =>
      loadByOrder ? version === this.version : false,
    );
    this.endpoints
      .filter(({ name }) => !this.engineLoads.has(name))
      .forEach(({ name }) =>
        this.engineLoads.set(name, {
          state: 'unknown',
          attempts: 0,
          lastReplyAt: now,
          lastPollAt: -Infinity,
        }),
      );
  }

  /**
   * Polls the engines whose last known state is due for a refresh.
   *
   * @param now - present monotonic time, ms
   * @returns an effect that ends when every polled engine has replied or its poll has failed
   */
  pollDue(now: number): Effect.Effect<void> {
    const due = this.endpoints.filter(({ name }) => {
      const load = this.engineLoads.get(name);
      const interval = load?.state === 'ready' ? READY_POLL_INTERVAL_MS : POLL_INTERVAL_MS;
      return load !== undefined && now - load.lastPollAt >= interval;
    });
    return Effect.forEach(due, (endpoint) => this.poll(endpoint, now), {
      concurrency: 'unbounded',
      discard: true,
    });
  }

  /**
   * Summarises the load progress of all engines.
   *
   * @param now - present monotonic time, ms
   * @returns whether enough engines are ready, with the reason where they are not
   */
  progress(now: number): LoadProgress {
    const loads = this.endpoints.flatMap(({ name }) => {
      const load = this.engineLoads.get(name);
      return load === undefined ? [] : [{ name, load }];
    });
    const failed = loads.find(
      ({ load }) => load.state === 'failed' && load.attempts >= MAXIMUM_LOAD_ATTEMPTS,
    );
    if (failed !== undefined) {
      return { _tag: 'failed', detail: `${failed.name} can't load ${this.version}` };
    }
    const ready = loads.filter(({ load }) => load.state === 'ready').length;
    const missing = loads.filter(
      ({ load }) =>
        load.state !== 'ready' &&
        !(load.state === 'unknown' && now - load.lastReplyAt >= UNREACHABLE_AFTER_MS),
    );
    const isEnough = missing.length === 0 && 2 * ready >= loads.length;
    return isEnough
      ? { _tag: 'ready' }
      : { _tag: 'loading', detail: `${ready} of ${loads.length} engines have ${this.version}` };
  }

  /**
   * Orders one more engine to load the version, within the limits for the weight store.
   *
   * @param fencing - fencing number of the move driver's lease
   * @param now - present monotonic time, ms
   * @returns result of the order, or `nothingToDo` if none was due
   */
  orderNext(fencing: number, now: number): Effect.Effect<OrderResult> {
    const endpoint = this.nextToLoad(now);
    const load = endpoint === undefined ? undefined : this.engineLoads.get(endpoint.name);
    if (endpoint === undefined || load === undefined) {
      return Effect.succeed({ _tag: 'nothingToDo' });
    }
    this.lastOrderAt = now;
    load.attempts += 1;
    const orderId = `${this.move}/${endpoint.name}/${load.attempts}`;
    const command = { _tag: 'loadVersion', version: this.version } as const;
    const sent = this.client.order(endpoint.address, { orderId, fencing, command });
    return Effect.map(sent, (outcome): OrderResult => {
      switch (outcome._tag) {
        case 'accepted':
          this.recordReply(load, outcome.versions, now);
          return { _tag: 'ordered' };
        case 'fenced':
          load.attempts -= 1;
          return outcome;
        case 'refused':
          load.state = 'failed';
          return { _tag: 'ordered' };
        // An order is idempotent, so it is safe to send it again later.
        case 'unsettled':
          load.attempts -= 1;
          load.state = 'unknown';
          return { _tag: 'ordered' };
        default:
          return outcome satisfies never;
      }
    });
  }

  /**
   * Tells whether an engine needs a load order now.
   *
   * @param now - present monotonic time, ms
   * @returns whether `orderNext` would send an order
   */
  needsOrder(now: number): boolean {
    return this.nextToLoad(now) !== undefined;
  }

  private poll({ name, address }: Endpoint, now: number): Effect.Effect<void> {
    const load = this.engineLoads.get(name);
    if (load === undefined) return Effect.void;
    load.lastPollAt = now;
    return Effect.map(this.client.versions(address), (versions) => {
      if (versions === undefined) load.state = load.state === 'failed' ? 'failed' : 'unknown';
      else this.recordReply(load, versions, now);
    });
  }

  private recordReply(load: EngineLoad, versions: readonly VersionState[], now: number): void {
    const reported = versions.find(({ version }) => version === this.version);
    Object.assign(load, { state: reported?.state ?? 'absent', lastReplyAt: now });
    // The attempts count from zero again once the version is ready, in case the engine loses it later.
    if (reported?.state === 'ready') Object.assign(load, { attempts: 0 });
  }

  private nextToLoad(now: number): Endpoint | undefined {
    if (now - this.lastOrderAt < MINIMUM_LOAD_SPACING_MS) return undefined;
    const loading = [...this.engineLoads.values()].filter(
      ({ state }) => state === 'loading',
    ).length;
    if (loading >= MAXIMUM_CONCURRENT_LOADS) return undefined;
    return this.endpoints.find(({ name }) => {
      const load = this.engineLoads.get(name);
      const needsLoad = load?.state === 'absent' || load?.state === 'failed';
      return needsLoad && load.attempts < MAXIMUM_LOAD_ATTEMPTS;
    });
  }
}
