import * as Effect from 'effect/Effect';
import { TestClock } from 'effect/testing';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { ConfigurationReplica } from '../../src/coordination/configuration/index.ts';
import { MoveDrivers } from '../../src/coordination/moves/index.ts';
import type { EndpointClient } from '../../src/protocol/engine/EndpointClient.ts';
import type { CallRecord } from '../../src/protocol/peer/PeerMessage.ts';
import type { Bundle } from '../../src/state/Bundle.ts';
import { MemoryPlatform } from './MemoryPlatform.ts';
import { START } from './makeBundle.ts';

const STEP_MS = 50;
const ROUTES = ['mobile', 'signage', 'bulletin'];
const HOMES = ['home-a', 'home-b', 'home-c'];

/** What a new version does wrong: the factor on its latency, and whether the request fails. */
export type Fault = (request: {
  readonly route: string;
  readonly atMs: number;
  readonly share: number;
}) => { readonly slow?: number; readonly fails?: boolean };

const LOADING_POLLS = 2;

/** Engines that report a version as loading twice and then as ready, or as failed. */
export const makeEngines = (crashes = false) => {
  const polls = new Map<string, number>();
  const orders: { address: string; orderId: string; fencing: number }[] = [];
  const statesOf = (address: string) => {
    const seen = polls.get(address);
    if (seen === undefined) return [];
    const state = seen < LOADING_POLLS ? 'loading' : 'ready';
    return [{ version: 'v2', state: crashes ? 'failed' : state } as const];
  };
  const client: Pick<EndpointClient, 'order' | 'versions'> = {
    order: (address, { orderId, fencing }) =>
      Effect.sync(() => {
        orders.push({ address, orderId, fencing });
        if (!polls.has(address)) polls.set(address, 0);
        return { _tag: 'accepted', versions: statesOf(address) };
      }),
    versions: (address) =>
      Effect.sync(() => {
        const seen = polls.get(address);
        if (seen !== undefined) polls.set(address, seen + 1);
        return statesOf(address);
      }),
  };
  return { client: client as EndpointClient, orders };
};

/** One entry that drives moves, with traffic that follows its routing, in virtual time. */
export class MoveSession {
  readonly board: ConfigurationReplica;

  readonly served = { old: 0, new: 0 };

  readonly log: string[] = [];

  private isDriving = true;

  private readonly runs: MoveDrivers;

  private readonly random;

  private now = 0;

  constructor(
    readonly platform: MemoryPlatform,
    readonly name: string,
    bundle: Bundle,
    engines: ReturnType<typeof makeEngines>,
    seed = 1,
  ) {
    this.random = xoroshiro128plus(seed);
    this.board = new ConfigurationReplica({ incarnation: name, failureDomain: 'a' }, this.random);
    this.board.applyIfNewer({ rollNumber: 1, digest: 'd', bundle }, 'store', 0);
    let nonces = 0;
    this.runs = new MoveDrivers({
      platform,
      replica: this.board,
      client: engines.client,
      incarnation: name,
      leaseMs: 2_000,
      now: () => this.now,
      wallNow: () => START + this.now,
      nonce: () => {
        nonces += 1;
        return `${name}-${nonces}`;
      },
      isDriver: () => this.isDriving,
      onActions: (actions) =>
        actions.forEach((action) => {
          if (action._tag !== 'decide') return;
          const { decision } = action;
          if (decision._tag === 'moveChanged') this.note(`${decision.state} ${decision.detail}`);
        }),
    });
  }

  start() {
    return this.runs.run();
  }

  /** Lets time pass with some requests in each step. */
  serve(forMs: number, fault: Fault, perStep = 4): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* serve() {
      for (let passed = 0; passed < forMs; passed += STEP_MS) {
        this.now += STEP_MS;
        yield* TestClock.adjust(STEP_MS);
        for (let each = 0; each < perStep; each += 1) this.request(fault);
      }
    });
  }

  /** Makes this entry the pool's scheduler, or another one. */
  drive(isDriving: boolean): void {
    this.isDriving = isDriving;
  }

  /** Takes over time that another session let pass, with its own requests. */
  skip(forMs: number, fault: Fault, perStep = 4): void {
    this.now += forMs;
    for (let each = 0; each < perStep; each += 1) this.request(fault);
  }

  routing() {
    return this.board.routings(this.now, START + this.now).get('summaries');
  }

  private note(text: string): void {
    this.log.push(`${String(this.now).padStart(6)} ${this.name} ${text}`);
  }

  private request(fault: Fault): void {
    const routing = this.routing();
    const share = routing?.candidate?.share ?? 0;
    const route = ROUTES[Math.floor(uniformFloat64(this.random) * ROUTES.length)] ?? '';
    const home = HOMES[Math.floor(uniformFloat64(this.random) * HOMES.length)] ?? '';
    const isNew = uniformFloat64(this.random) < share || routing?.stable === 'v2';
    const { slow = 1, fails = false } = isNew ? fault({ route, atMs: this.now, share }) : {};
    const outputTokens = 4 * 100 ** uniformFloat64(this.random);
    const noise = Math.exp(
      0.4 * (uniformFloat64(this.random) + uniformFloat64(this.random) - 1) * 2,
    );
    const record: CallRecord = {
      result: fails ? 'failed' : 'completed',
      firstTokenMs: 50,
      totalMs: (1 + outputTokens * 25) * noise * slow,
      promptTokens: 0,
      cachedTokens: 0,
      outputTokens,
      connectFailure: false,
    };
    this.served[isNew ? 'new' : 'old'] += 1;
    const version = isNew ? 'v2' : 'v1';
    const release = {
      _tag: 'release',
      id: 'x',
      pool: 'summaries',
      route,
      version,
      record,
    } as const;
    const actions = this.runs.record(
      home,
      { ...release, endpoint: `summaries-${version}` },
      this.now,
    );
    actions.forEach((action) => {
      if (action._tag === 'decide' && action.decision._tag === 'verdictFound') {
        this.note(`verdict ${action.decision.reason}: ${action.decision.detail}`);
      }
    });
  }
}
