import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { PeerMessage } from '../../src/protocol/peer/PeerMessage.ts';
import { makePlace, type Place } from './Place.ts';
import { CONTACT_MS, ReplicationPromises, type StaleView } from './ReplicationPromises.ts';
import { lapseEntry } from './lapseEntry.ts';
import { restoreStore, type StoreSurroundings } from './restoreStore.ts';
import { EXPIRY_MS, SimulatedEndpoints } from './SimulatedEndpoints.ts';
import { SimulatedGateway } from './SimulatedGateway.ts';
import { SimulatedStore, type StorePath } from './SimulatedStore.ts';
import { CONNECT_TIMEOUT_MS } from '../../src/coordination/gateway/following/viewTiming.ts';
import { VirtualClock } from './VirtualClock.ts';
import { FAULTS_MS, type ReplicationAction, type ReplicationStep } from './ReplicationPlan.ts';

/** What came of a simulation. */
export interface ReplicationResult {
  readonly stale: readonly StaleView[];
  readonly storeCalls: number;
}

const TICK_MS = 50;
const DOMAINS = ['a', 'b'];
const GATEWAYS_PER_DOMAIN = 4;
const ENDPOINTS = 6;
const START_MS = 4_000;
const END_MS = START_MS + FAULTS_MS + 8_000;
const PEER_LATENCY_MS = 2;
/** Messages that a broken link loses before it is found lost. */
const LOST_MESSAGES = 2;
const DETECTION_MS = { least: 250, most: 1_000 };
const JOIN_MS = { least: 20, most: 400 };

type StoreOutage = Extract<ReplicationAction, { readonly _tag: 'storeDown' }>;

/** Plays gateways, which follow a store through faults, and checks how old their views get. */
class ReplicationSimulation {
  readonly #clock = new VirtualClock();

  readonly #store = new SimulatedStore(this.#clock);

  readonly #endpoints = new SimulatedEndpoints(this.#clock, this.#store);

  readonly #random: () => number;

  /** Draws the time in which a connection to an endpoint opens, in ms. */
  readonly #connectMs: () => number;

  /** Draws the part of the longest delay by which an answer is late. */
  readonly #delayFraction: () => number;

  readonly #places: Place[];

  readonly #stale: StaleView[] = [];

  readonly #rules = new ReplicationPromises();

  readonly #lossBudget = new Map<string, number>();

  readonly #onLog: ((line: Record<string, unknown>) => void) | undefined;

  #starts = 0;

  #storeDisturbances = 0;

  #storeDisturbedAt = Number.NEGATIVE_INFINITY;

  constructor(seed: number, onLog?: (line: Record<string, unknown>) => void) {
    const generator = xoroshiro128plus(seed);
    this.#random = () => uniformFloat64(generator);
    // Of its own, so that the other draws of a seed don't depend on how many requests are sent.
    const connections = xoroshiro128plus(seed);
    this.#connectMs = () => uniformFloat64(connections) * CONNECT_TIMEOUT_MS;
    const delays = xoroshiro128plus(seed);
    this.#delayFraction = () => uniformFloat64(delays);
    this.#onLog = onLog;
    // With one failure domain no other watchers tell that the domain's own one lags.
    const domains = this.#random() < 0.5 ? DOMAINS : DOMAINS.slice(0, 1);
    this.#places = domains.flatMap((failureDomain) =>
      Array.from({ length: GATEWAYS_PER_DOMAIN }, () => makePlace(failureDomain)),
    );
  }

  async play(plan: readonly ReplicationStep[]): Promise<ReplicationResult> {
    for (let count = 0; count < ENDPOINTS; count += 1) this.#endpoints.add();
    this.#configure();
    this.#places.forEach((place) => this.#start(place));
    plan.forEach(({ at, action }) => this.#clock.after(START_MS + at, () => this.#perform(action)));
    for (let at = TICK_MS; at <= END_MS && this.#stale.length === 0; at += TICK_MS) {
      await this.#clock.runUntil(at);
      this.#places.forEach(({ process }) => process?.tick());
      if (at > START_MS) {
        this.#check();
        this.#checkKept();
      }
    }
    this.#places.forEach(({ process }) => process?.stop());
    return { stale: this.#stale, storeCalls: this.#store.calls };
  }

  #between({ least, most }: { readonly least: number; readonly most: number }): number {
    return least + this.#random() * (most - least);
  }

  #placeAt(index: number): Place {
    return this.#places[index % this.#places.length] as Place;
  }

  #perform(action: ReplicationAction): void {
    switch (action._tag) {
      case 'leave':
        this.#leave(action.endpoint, action.drains);
        return;
      case 'configure':
        this.#configure();
        return;
      case 'kill':
        new Set(action.gateways.map((index) => this.#placeAt(index))).forEach((place) =>
          this.#kill(place, action.downMs),
        );
        return;
      case 'pause':
        this.#pause(this.#placeAt(action.gateway), action.forMs);
        return;
      case 'cutStore':
        new Set(action.gateways.map((index) => this.#placeAt(index))).forEach((place) =>
          this.#cutStore(place, action.how, action.forMs),
        );
        return;
      case 'storeDown':
        this.#takeStoreDown(action);
        return;
      case 'compact':
        this.#compact(action.mutedMs, action.leaves);
        return;
      case 'sayLeaving':
        this.#leave(action.endpoint, action.drains, action.to);
        return;
      case 'drainBeforeHeartbeat': {
        const id = this.#leave(action.endpoint, true);
        this.#rules.recordReturn(id);
        this.#clock.after(action.afterMs, () => {
          this.#endpoints.put(id, 'ready');
          this.#clock.after(EXPIRY_MS, () => this.#store.remove('endpoints', id));
        });
        return;
      }
      case 'lapse':
        lapseEntry(action, this.#surroundings);
        this.#takeStoreDown(action);
        return;
      case 'restore':
        restoreStore(action, this.#surroundings);
        this.#takeStoreDown(action);
        return;
      case 'addUnreadable': {
        const name = `unreadable-${action.entry}`;
        this.#store.put('endpoints', name, { address: action.entry });
        this.#clock.after(action.forMs, () => this.#store.remove('endpoints', name));
        return;
      }
      case 'cutPeers':
        this.#cutPeers(this.#placeAt(action.gateway), action.forMs);
        return;
      case 'loseMessages': {
        const [from, to] = [this.#placeAt(action.from).process, this.#placeAt(action.to).process];
        if (from === undefined || to === undefined) return;
        this.#lossBudget.set(`${from.incarnation}>${to.incarnation}`, LOST_MESSAGES);
        return;
      }
      case 'cutWatches':
        this.#store.cutWatches();
        return;
      case 'stall':
        this.#stall(this.#placeAt(action.gateway), action.forMs);
        return;
      case 'turnAway':
        action.gateways.forEach((index) => {
          const { process } = this.#placeAt(index);
          if (process !== undefined) process.turnedAwayCalls = action.calls;
        });
        return;
      case 'slowStore':
        this.#disturbStore(action.forMs);
        this.#store.slowByMs = action.byMs;
        this.#clock.after(action.forMs, () => {
          this.#store.slowByMs = 0;
        });
        return;
      case 'slowLinks': {
        const place = this.#placeAt(action.gateway);
        Object.assign(place, { linkDelayMs: action.byMs });
        this.#clock.after(action.forMs, () => Object.assign(place, { linkDelayMs: 0 }));
        return;
      }
      case 'slowAnswers': {
        const place = this.#placeAt(action.gateway);
        this.#disturb(place, action.forMs);
        Object.assign(place, { answerDelayMs: action.byMs });
        this.#clock.after(action.forMs, () => Object.assign(place, { answerDelayMs: 0 }));
        return;
      }
      case 'suspect': {
        const [by, about] = [this.#placeAt(action.by).process, this.#placeAt(action.about).process];
        if (by === undefined || about === undefined || by === about) return;
        by.forget(about);
        this.#clock.after(action.forMs, () => this.#introduce(by, about));
        return;
      }
      default:
        action satisfies never;
    }
  }

  get #surroundings(): StoreSurroundings {
    const [clock, store, endpoints] = [this.#clock, this.#store, this.#endpoints];
    const isStoreCalm = this.#isStoreCalm();
    return { clock, store, endpoints, rules: this.#rules, random: this.#random, isStoreCalm };
  }

  #isRunning(process: SimulatedGateway): boolean {
    return this.#places.some((place) => place.process === process);
  }

  #introduce(to: SimulatedGateway, peer: SimulatedGateway): void {
    if (this.#isRunning(to) && this.#isRunning(peer)) to.learn(peer);
  }

  #start(place: Place): void {
    this.#starts += 1;
    const process: SimulatedGateway = new SimulatedGateway({
      clock: this.#clock,
      store: this.#store,
      path: () => place.path,
      answerDelayMs: () =>
        place.answerDelayMs === 0 ? 0 : this.#delayFraction() * place.answerDelayMs,
      incarnation: String(this.#starts).padStart(4, '0'),
      failureDomain: place.failureDomain,
      random: this.#random,
      send: (to, message) => this.#send(place, process, to, message),
      ...(this.#onLog === undefined
        ? {}
        : {
            onLog: (line) =>
              this.#onLog?.({ at: this.#clock.now, gateway: process.incarnation, ...line }),
          }),
    });
    Object.assign(place, { process });
    process.start();
    this.#places.forEach(({ process: peer }) => {
      if (peer === undefined || peer === process) return;
      this.#clock.after(this.#between(JOIN_MS), () => this.#introduce(process, peer));
      this.#clock.after(this.#between(JOIN_MS), () => this.#introduce(peer, process));
    });
  }

  #kill(place: Place, downMs: number): void {
    const { process } = place;
    if (process === undefined) return;
    process.stop();
    Object.assign(place, { process: undefined });
    this.#disturb(place, downMs);
    this.#places.forEach(({ process: peer }) => {
      if (peer !== undefined)
        this.#clock.after(this.#between(DETECTION_MS), () => peer.forget(process));
    });
    this.#clock.after(downMs, () => {
      if (place.process === undefined) this.#start(place);
    });
  }

  #pause(place: Place, forMs: number): void {
    const { process } = place;
    if (process === undefined) return;
    this.#disturb(place, forMs);
    process.paused = true;
    this.#clock.after(forMs, () => process.resume());
  }

  /** Unlike a pause, it is no disturbance: the promises hold for the gateway. */
  #stall(place: Place, forMs: number): void {
    const { process } = place;
    if (process === undefined) return;
    process.setStalled(true);
    this.#clock.after(forMs, () => process.setStalled(false));
  }

  /** A place whose calls are refused has a path to the store, so that it isn't disturbed. */
  #cutStore(place: Place, how: StorePath, forMs: number): void {
    const isRefused = how === 'refused';
    if (!isRefused) this.#disturb(place, forMs);
    const lastRefusedAt = isRefused ? Number.POSITIVE_INFINITY : place.lastRefusedAt;
    Object.assign(place, { path: how, lastRefusedAt });
    this.#store.refresh();
    this.#clock.after(forMs, () => {
      Object.assign(place, { path: 'open' });
      if (isRefused) Object.assign(place, { lastRefusedAt: this.#clock.now });
      this.#store.refresh();
    });
  }

  #cutPeers(place: Place, forMs: number): void {
    this.#disturb(place, forMs);
    Object.assign(place, { arePeersCut: true });
    const own = place.process;
    this.#clock.after(forMs, () => Object.assign(place, { arePeersCut: false }));
    this.#places.forEach(({ process: peer }) => {
      if (own === undefined || peer === undefined || peer === own) return;
      [[own, peer] as const, [peer, own] as const].forEach(([to, other]) => {
        const detectMs = this.#between(DETECTION_MS);
        if (detectMs < forMs) this.#clock.after(detectMs, () => to.forget(other));
        this.#clock.after(forMs + this.#between(JOIN_MS), () => this.#introduce(to, other));
      });
    });
  }

  #takeStoreDown({ how, forMs }: Pick<StoreOutage, 'how' | 'forMs'>): void {
    this.#disturbStore(forMs);
    this.#store.path = how;
    this.#store.refresh();
    this.#clock.after(forMs, () => {
      this.#store.path = 'open';
      this.#store.refresh();
    });
  }

  #compact(mutedMs: number, leaves: boolean): void {
    this.#store.mute();
    if (leaves) this.#clock.after(mutedMs / 2, () => this.#leave(0, true));
    this.#clock.after(mutedMs / 2, () => this.#configure());
    this.#clock.after(mutedMs, () => this.#store.compact());
  }

  #send(
    fromPlace: Place,
    from: SimulatedGateway,
    to: SimulatedGateway,
    message: PeerMessage,
  ): boolean {
    const link = `${from.incarnation}>${to.incarnation}`;
    const budget = this.#lossBudget.get(link) ?? 0;
    if (budget > 0) {
      this.#lossBudget.set(link, budget - 1);
      return false;
    }
    const toPlace = this.#places.find(({ process }) => process === to);
    if (toPlace === undefined || fromPlace.arePeersCut || toPlace.arePeersCut) return false;
    this.#clock.after(PEER_LATENCY_MS + fromPlace.linkDelayMs, () => {
      if (this.#isRunning(to)) to.receive(from.incarnation, message);
    });
    return true;
  }

  #disturb(place: Place, forMs: number): void {
    Object.assign(place, { disturbances: place.disturbances + 1 });
    this.#clock.after(forMs, () =>
      Object.assign(place, {
        disturbances: place.disturbances - 1,
        lastDisturbedAt: this.#clock.now,
      }),
    );
  }

  #disturbStore(forMs: number): void {
    this.#storeDisturbances += 1;
    this.#clock.after(forMs, () => {
      this.#storeDisturbances -= 1;
      this.#storeDisturbedAt = this.#clock.now;
    });
  }

  /** An endpoint leaves; it may say so in an answer to a gateway. Returns its id. */
  #leave(index: number, drains: boolean, to?: number): string {
    const id = this.#endpoints.idAt(index);
    const { now } = this.#clock;
    this.#rules.recordDeparture(id, { at: now, isCalm: this.#isStoreCalm(), drains });
    this.#endpoints.leave(id, drains);
    const listener = to === undefined ? undefined : this.#placeAt(to).process;
    if (listener === undefined || listener.isBusy || listener.paused) return id;
    const isListed = listener.candidates().some((record) => record.id === id);
    listener.hearLeaving(id);
    if (isListed) this.#rules.recordHeard(listener.incarnation, id, now);
    return id;
  }

  /** Puts a new version in the store, which adds a route and drops an older one. */
  #configure(): void {
    const version = this.#rules.latestVersion + 1;
    const routes = [version, version - 1].map((number) => `route-${number}`);
    this.#store.put('configuration', 'main', { version, routes });
    this.#rules.recordConfiguration({ version, routes, at: this.#clock.now });
  }

  #isStoreCalm(): boolean {
    return this.#storeDisturbances === 0 && this.#clock.now - this.#storeDisturbedAt >= CONTACT_MS;
  }

  #isUndisturbed({ process, disturbances, lastDisturbedAt }: Place): boolean {
    return (
      process !== undefined && disturbances === 0 && this.#clock.now - lastDisturbedAt >= CONTACT_MS
    );
  }

  /** Whether the promises hold for a place: also if the store refuses it, while it answers any undisturbed one. */
  #isInTouch(place: Place): boolean {
    return this.#isStoreCalm() && this.#isUndisturbed(place) && this.#isAnyAnswered();
  }

  #isAnyAnswered(): boolean {
    return this.#places.some(
      (place) => this.#isUndisturbed(place) && this.#clock.now - place.lastRefusedAt >= CONTACT_MS,
    );
  }

  #check(): void {
    this.#places
      .filter((place) => this.#isInTouch(place))
      .forEach((place) => {
        const { process } = place;
        if (process === undefined || process.isBusy) return;
        this.#report(this.#rules.checkView(process, this.#clock.now));
        this.#sendRequests(place, process);
      });
  }

  /** Checks that gateways which nothing has disturbed keep the endpoints whose entries expired while the store was down. */
  #checkKept(): void {
    this.#places.forEach(({ process, disturbances, lastDisturbedAt }) => {
      if (process === undefined || process.isBusy || disturbances > 0) return;
      this.#report(this.#rules.checkKept(process, lastDisturbedAt, this.#clock.now));
    });
  }

  /** Sends a request to each endpoint that may be chosen; it is written once a connection has opened. */
  #sendRequests(place: Place, process: SimulatedGateway): void {
    const chosenAt = this.#clock.now;
    process.candidates().forEach((record) =>
      this.#clock.after(this.#connectMs(), () => {
        if (!this.#rules.hasLeft(record.id)) return;
        if (place.process !== process || process.isBusy || !this.#isInTouch(place)) return;
        if (process.mayWrite(record, chosenAt))
          this.#report(this.#rules.checkWritten(process, record.id, this.#clock.now));
      }),
    );
  }

  #report(stale: readonly StaleView[]): void {
    this.#stale.push(...stale);
  }
}

/**
 * Plays one simulation. It ends at the first view that is too old.
 *
 * @param seed - seed of delays and of the processes' own randomness
 * @param plan - what happens
 * @param onLog - receives the processes' log lines, with the time and the process
 * @returns views that were too old, and the number of calls to the store
 */
export const playReplication = (
  seed: number,
  plan: readonly ReplicationStep[],
  onLog?: (line: Record<string, unknown>) => void,
): Promise<ReplicationResult> => new ReplicationSimulation(seed, onLog).play(plan);
