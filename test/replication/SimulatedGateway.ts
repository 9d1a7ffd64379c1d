import pino from 'pino';
import { StoreSubscription } from '../../src/app/gateway/following/StoreSubscription.ts';
import { ExclusionMonitor } from '../../src/app/gateway/reach/ExclusionMonitor.ts';
import { makeSendPermission } from '../../src/app/gateway/request/makeSendPermission.ts';
import { EndpointDirectory } from '../../src/coordination/gateway/index.ts';
import type { ObjectStore } from '../../src/protocol/gateway/index.ts';
import type { PeerMessage } from '../../src/protocol/peer/PeerMessage.ts';
import type { EndpointRecord, RouteTable } from '../../src/state/gateway/index.ts';
import type { Member } from '../../src/state/Member.ts';
import type { SimulatedStore, StorePath } from './SimulatedStore.ts';
import type { VirtualClock } from './VirtualClock.ts';

/** Name of the one plain service of a simulation. */
export const SERVICE = 'plain';

/** Entry of an endpoint in the simulated store; `undefined` fields make it unreadable. */
const readEntry = (spec: unknown): EndpointRecord | undefined =>
  typeof spec === 'object' && spec !== null && 'service' in spec
    ? (spec as EndpointRecord)
    : undefined;

/** Configuration in the simulated store. */
export interface SimulatedConfiguration {
  readonly version: number;
  /** Names of its routes. */
  readonly routes: readonly string[];
}

/** One gateway process of a simulation: its view of the store and of the other processes. */
export class SimulatedGateway {
  readonly directory = new EndpointDirectory();

  readonly failureDomain: string;

  readonly incarnation: string;

  readonly #subscription: StoreSubscription;

  readonly #serving = new Map<string, SimulatedGateway>();

  /** The configuration in force. */
  configuration: SimulatedConfiguration = { version: 0, routes: [] };

  readonly #exclusions: ExclusionMonitor;

  /** Whether a request for an endpoint that was chosen before, in ms, may still be written. */
  readonly mayWrite: (record: EndpointRecord, chosenAt: number) => boolean;

  /** Messages and ticks wait while the process stands still. */
  paused = false;

  readonly #backlog: (() => void)[] = [];

  /** Whether the event loop is busy: messages, ticks and answers of the store wait, requests too. */
  #stalled = false;

  /** Number of calls that the store turns away next. */
  turnedAwayCalls = 0;

  constructor(options: {
    readonly clock: VirtualClock;
    readonly store: SimulatedStore;
    readonly path: () => StorePath;
    /** Draws the time by which an answer of the store is late, in ms. */
    readonly answerDelayMs: () => number;
    readonly incarnation: string;
    readonly failureDomain: string;
    readonly random: () => number;
    /** Sends a message; false if it is certainly lost. */
    readonly send: (to: SimulatedGateway, message: PeerMessage) => boolean;
    readonly onLog?: (line: Record<string, unknown>) => void;
  }) {
    const { clock, store, path, send, random, onLog } = options;
    this.incarnation = options.incarnation;
    this.failureDomain = options.failureDomain;
    const logger =
      onLog === undefined
        ? pino({ level: 'silent' })
        : pino({}, { write: (line: string) => onLog(JSON.parse(line)) });
    const now = (): number => clock.now;
    const broadcast = (message: PeerMessage): void =>
      this.#peers().forEach((peer) => send(peer, message));
    this.#exclusions = new ExclusionMonitor({ group: () => ({ broadcast }), logger, now });
    this.mayWrite = makeSendPermission({
      directory: this.directory,
      exclusions: this.#exclusions,
      coldCaps: { isCapped: () => false },
      now,
    });
    this.#subscription = new StoreSubscription({
      store: this.#withLateAnswers(
        store.reachedBy(path, () => this.#takeTurnedAwayCall(), options.answerDelayMs),
        clock,
      ),
      wire: {
        readRouteTable: (spec) => spec as RouteTable,
        readEndpoint: (_name, spec) => readEntry(spec),
        findFaults: () => ['unreadable'],
      },
      directory: this.directory,
      group: {
        incarnation: this.incarnation,
        storeWatcher: () => this.#storeCallers()[0] as string,
        storeCallRank: () => this.#storeCallers().indexOf(this.incarnation),
        liveMembers: () =>
          [this, ...this.#peers()].map(({ incarnation }) => ({ incarnation })) as Member[],
        otherStoreCallers: () => [],
        sameDomainPeers: () =>
          this.#peers().filter(
            ({ failureDomain }) => failureDomain === this.failureDomain,
          ) as unknown as readonly Member[],
        send: (to, message) => {
          const peer = this.#serving.get(to);
          return peer !== undefined && send(peer, message);
        },
        broadcast,
      },
      logger,
      now,
      random,
      sleep: clock.sleep,
      onConfiguration: (table) => {
        const configuration = table as unknown as SimulatedConfiguration;
        if (configuration.version > this.configuration.version) this.configuration = configuration;
      },
      onReadyAgain: (record) => this.#exclusions.reportDrained(record),
      onEndpointsChanged: () => {},
      onRelayReceived: () => {},
      onUnusable: () => {},
    });
  }

  start(): void {
    this.#subscription.start();
  }

  stop(): void {
    this.#subscription.stop();
  }

  tick(): void {
    this.#whenRunning(() => this.#subscription.tick());
  }

  receive(from: string, message: PeerMessage): void {
    this.#whenRunning(() => {
      this.#exclusions.handle(message);
      this.#subscription.handle(from, message);
    });
  }

  /** Learns that another process serves. */
  learn(peer: SimulatedGateway): void {
    this.#serving.set(peer.incarnation, peer);
  }

  /** Takes another process for gone. */
  forget(peer: SimulatedGateway): void {
    this.#serving.delete(peer.incarnation);
  }

  /** Goes on after a pause, with what arrived meanwhile. */
  resume(): void {
    this.paused = false;
    this.#runBacklog();
  }

  /** Begins or ends a time in which the event loop is busy. */
  setStalled(stalled: boolean): void {
    this.#stalled = stalled;
    if (!stalled) this.#runBacklog();
  }

  /** Whether the process sends no requests now. */
  get isBusy(): boolean {
    return this.#stalled;
  }

  /** Lists the endpoints that may be chosen for a request. */
  candidates(): readonly EndpointRecord[] {
    return this.#exclusions.selectIncluded(this.directory.listReady(SERVICE));
  }

  /** Reads in an answer of an endpoint that it leaves. */
  hearLeaving(id: string): void {
    const record = this.directory.listAll().find((other) => other.id === id);
    if (record !== undefined) this.#exclusions.observe(record, [{ _tag: 'leaving' }]);
  }

  #takeTurnedAwayCall(): boolean {
    if (this.turnedAwayCalls === 0) return false;
    this.turnedAwayCalls -= 1;
    return true;
  }

  #runBacklog(): void {
    if (!this.paused && !this.#stalled) this.#backlog.splice(0).forEach((run) => run());
  }

  #withLateAnswers(store: ObjectStore, clock: VirtualClock): ObjectStore {
    const afterStall = <T>(result: T): T | Promise<T> =>
      this.#stalled
        ? new Promise((resolve) => {
            this.#backlog.push(() => clock.resolve(resolve, result));
          })
        : result;
    return {
      list: async (kind, call) => afterStall(await store.list(kind, call)),
      watch: async (kind, revision, call) => afterStall(await store.watch(kind, revision, call)),
    };
  }

  #whenRunning(run: () => void): void {
    if (this.paused || this.#stalled) this.#backlog.push(run);
    else run();
  }

  #peers(): readonly SimulatedGateway[] {
    return [...this.#serving.values()];
  }

  #storeCallers(): readonly string[] {
    const domain = this.#peers()
      .filter(({ failureDomain }) => failureDomain === this.failureDomain)
      .map(({ incarnation }) => incarnation);
    return [this.incarnation, ...domain].sort();
  }
}
