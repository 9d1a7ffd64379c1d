import * as Effect from 'effect/Effect';
import type { EndpointClient } from '../../protocol/engine/EndpointClient.ts';
import type { VersionState } from '../../protocol/engine/EngineOrder.ts';
import type { Endpoint } from '../../state/Endpoint.ts';
import type { LoadState } from './decideStep.ts';

/** The weight store is rate-limited: no more engines than this load at once, */
const MAXIMUM_LOADS = 2;
/** and no two loads begin closer together than this. */
const LOAD_SPACING_MS = 250;
const POLL_INTERVAL_MS = 200;
/** A loaded version is looked after more rarely, and loaded again where an engine lost it. */
const CHECK_INTERVAL_MS = 3_000;
/** A load that failed once may have met the weight store's limit. */
const MAXIMUM_ATTEMPTS = 2;
/** An engine that can't be asked for this long no longer holds a move up, if most are ready. */
const UNREACHABLE_MS = 5_000;

type Knowledge = VersionState['state'] | 'absent' | 'unknown';

interface EngineLoad {
  state: Knowledge;
  attempts: number;
  lastReplyAt: number;
  askedAt: number;
}

/** What giving a load order came to. */
export type OrderResult =
  { readonly _tag: 'ordered' } | { readonly _tag: 'nothingToDo' } | { readonly _tag: 'fenced' };

/** Gets one version loaded by the engines that take orders, a few at a time. */
export class VersionLoader {
  private readonly client: EndpointClient;

  private readonly move: string;

  private readonly version: string;

  private readonly engines = new Map<string, EngineLoad>();

  private endpoints: readonly Endpoint[] = [];

  private lastOrderAt = -Infinity;

  /**
   * @param client - the way to the engines
   * @param move - key of the move; order ids begin with it, so that a repeat is known as one
   * @param version - version to load
   */
  constructor(client: EndpointClient, move: string, version: string) {
    this.client = client;
    this.move = move;
    this.version = version;
  }

  /** Takes over which endpoints serve the version. */
  configure(endpoints: readonly Endpoint[], now: number): void {
    this.endpoints = endpoints.filter(({ version, loadByOrder }) =>
      loadByOrder ? version === this.version : false,
    );
    this.endpoints
      .filter(({ name }) => !this.engines.has(name))
      .forEach(({ name }) =>
        this.engines.set(name, {
          state: 'unknown',
          attempts: 0,
          lastReplyAt: now,
          askedAt: -Infinity,
        }),
      );
  }

  /**
   * Asks the engines whose state isn't known freshly enough.
   *
   * @param now - present time in ms
   */
  refresh(now: number): Effect.Effect<void> {
    const due = this.endpoints.filter(({ name }) => {
      const load = this.engines.get(name);
      const interval = load?.state === 'ready' ? CHECK_INTERVAL_MS : POLL_INTERVAL_MS;
      return load !== undefined && now - load.askedAt >= interval;
    });
    return Effect.forEach(due, (endpoint) => this.poll(endpoint, now), {
      concurrency: 'unbounded',
      discard: true,
    });
  }

  /**
   * Sums up how far the engines are.
   *
   * @param now - present time in ms
   */
  progress(now: number): LoadState {
    const loads = this.endpoints.flatMap(({ name }) => {
      const load = this.engines.get(name);
      return load === undefined ? [] : [{ name, load }];
    });
    const failed = loads.find(
      ({ load }) => load.state === 'failed' && load.attempts >= MAXIMUM_ATTEMPTS,
    );
    if (failed !== undefined) {
      return { _tag: 'failed', detail: `${failed.name} can't load ${this.version}` };
    }
    const ready = loads.filter(({ load }) => load.state === 'ready').length;
    const missing = loads.filter(
      ({ load }) =>
        load.state !== 'ready' &&
        !(load.state === 'unknown' && now - load.lastReplyAt >= UNREACHABLE_MS),
    );
    const isEnough = missing.length === 0 && 2 * ready >= loads.length;
    return isEnough
      ? { _tag: 'ready' }
      : { _tag: 'loading', detail: `${ready} of ${loads.length} engines have ${this.version}` };
  }

  /**
   * Orders one more engine to load the version, within the weight store's limits.
   *
   * @param fencing - fencing number of the driver's lease
   * @param now - present time in ms
   */
  orderNext(fencing: number, now: number): Effect.Effect<OrderResult> {
    const endpoint = this.nextToLoad(now);
    const load = endpoint === undefined ? undefined : this.engines.get(endpoint.name);
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
          this.learn(load, outcome.versions, now);
          return { _tag: 'ordered' };
        case 'fenced':
          load.attempts -= 1;
          return outcome;
        case 'refused':
          load.state = 'failed';
          return { _tag: 'ordered' };
        // The order states the wanted end: giving it again later does no harm.
        case 'unsettled':
          load.attempts -= 1;
          load.state = 'unknown';
          return { _tag: 'ordered' };
        default:
          return outcome satisfies never;
      }
    });
  }

  /** Tells whether an engine needs an order now. */
  needsOrder(now: number): boolean {
    return this.nextToLoad(now) !== undefined;
  }

  private poll({ name, address }: Endpoint, now: number): Effect.Effect<void> {
    const load = this.engines.get(name);
    if (load === undefined) return Effect.void;
    load.askedAt = now;
    return Effect.map(this.client.versions(address), (versions) => {
      if (versions === undefined) load.state = load.state === 'failed' ? 'failed' : 'unknown';
      else this.learn(load, versions, now);
    });
  }

  private learn(load: EngineLoad, versions: readonly VersionState[], now: number): void {
    const found = versions.find(({ version }) => version === this.version);
    Object.assign(load, { state: found?.state ?? 'absent', heardAt: now });
    // A version that loaded once and was lost later begins anew.
    if (found?.state === 'ready') Object.assign(load, { attempts: 0 });
  }

  private nextToLoad(now: number): Endpoint | undefined {
    if (now - this.lastOrderAt < LOAD_SPACING_MS) return undefined;
    const loading = [...this.engines.values()].filter(({ state }) => state === 'loading').length;
    if (loading >= MAXIMUM_LOADS) return undefined;
    return this.endpoints.find(({ name }) => {
      const load = this.engines.get(name);
      const isOpen = load?.state === 'absent' || load?.state === 'failed';
      return isOpen && load.attempts < MAXIMUM_ATTEMPTS;
    });
  }
}
