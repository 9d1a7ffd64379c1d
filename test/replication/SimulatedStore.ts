import {
  eraOf,
  makePosition,
  type ListResult,
  type ObjectStore,
  type StoreChange,
  type StoreFailure,
  type StoreObject,
  type StoreObjectKind,
  type StorePosition,
  type WatchResult,
} from '../../src/protocol/gateway/index.ts';
import type { VirtualClock } from './VirtualClock.ts';

/** How calls reach the store: answered, refused at once, or neither answered nor refused. */
export type StorePath = 'open' | 'refused' | 'silent';

interface LoggedChange extends StoreChange {
  readonly kind: StoreObjectKind;
  /** In ms. */
  readonly at: number;
}

/** How one process reaches the store. */
interface StoreAccess {
  readonly path: () => StorePath;
  readonly isTurnedAway: () => boolean;
  readonly delayMs: () => number;
  /** Whether an answer of an era counts: one of an earlier era than another answer is late. */
  readonly accepts: (era: number) => boolean;
}

interface WaitingCall {
  readonly path: () => StorePath;
  /** Answers the call if there is news or its wait is over. */
  readonly poll: () => void;
  readonly fail: () => void;
}

const LATENCY_MS = 4;
/** Interval at which bytes that a silent path held back are sent again. */
const RETRANSMISSION_MS = 50;
const FIRST_REVISION = 10;
const UNAVAILABLE: StoreFailure = { _tag: 'unavailable', detail: 'simulated' };

/** The platform's store in virtual time. */
export class SimulatedStore {
  readonly #clock: VirtualClock;

  readonly #objects = {
    configuration: new Map<string, StoreObject>(),
    endpoints: new Map<string, StoreObject>(),
    domainDrains: new Map<string, StoreObject>(),
  };

  /** Changes up to now, from which an older state can be made again. */
  #history: LoggedChange[] = [];

  /** Since when objects have been listed without a break, in ms, by kind and name. */
  readonly #listedSince = new Map<string, number>();

  #era = 0;

  #revision: StorePosition = FIRST_REVISION;

  #oldestWatchable = 0;

  #muted = false;

  readonly #waiting = new Set<WaitingCall>();

  /** How all calls reach the store. */
  path: StorePath = 'open';

  /** Time by which all answers are late. */
  slowByMs = 0;

  /** Number of calls so far. */
  calls = 0;

  constructor(clock: VirtualClock) {
    this.#clock = clock;
  }

  put(kind: StoreObjectKind, name: string, spec: unknown): void {
    this.#revision += 1;
    const object = { name, revision: this.#revision, spec, status: null };
    if (!this.#objects[kind].has(name)) this.#listedSince.set(`${kind} ${name}`, this.#clock.now);
    this.#objects[kind].set(name, object);
    this.#record({ kind, removed: false, object, at: this.#clock.now });
  }

  /** Names of the objects of a kind, or of those that have been listed since before a moment, in ms. */
  names(kind: StoreObjectKind, since = Number.POSITIVE_INFINITY): readonly string[] {
    return [...this.#objects[kind].keys()].filter(
      (name) => (this.#listedSince.get(`${kind} ${name}`) ?? 0) < since,
    );
  }

  /** Goes back to the state of a moment, in ms; all that was written since is gone, and its revisions are given out again. */
  restore(at: number): void {
    this.#history = this.#history.filter((change) => change.at <= at);
    const revision = this.#history.at(-1)?.object.revision ?? FIRST_REVISION;
    this.#era += 1;
    const toEra = (position: StorePosition): StorePosition =>
      makePosition(this.#era, position - makePosition(eraOf(position), 0));
    this.#history = this.#history.map((change) => ({
      ...change,
      object: { ...change.object, revision: toEra(change.object.revision) },
    }));
    this.#revision = toEra(revision);
    this.#oldestWatchable = makePosition(this.#era, 0);
    const before = new Set(
      Object.entries(this.#objects).flatMap(([kind, objects]) =>
        [...objects.keys()].map((name) => `${kind} ${name}`),
      ),
    );
    Object.values(this.#objects).forEach((objects) => objects.clear());
    this.#history.forEach(({ kind, removed, object }) => {
      if (removed) this.#objects[kind].delete(object.name);
      else this.#objects[kind].set(object.name, object);
      if (!before.has(`${kind} ${object.name}`))
        this.#listedSince.set(`${kind} ${object.name}`, this.#clock.now);
    });
    this.#muted = false;
    this.cutWatches();
  }

  remove(kind: StoreObjectKind, name: string): void {
    const before = this.#objects[kind].get(name);
    if (before === undefined) return;
    this.#revision += 1;
    this.#objects[kind].delete(name);
    const object = { ...before, revision: this.#revision };
    this.#record({ kind, removed: true, object, at: this.#clock.now });
  }

  /** Ceases to answer watches. */
  mute(): void {
    this.#muted = true;
  }

  /** Discards the history and cuts the waiting watches. */
  compact(): void {
    this.#muted = false;
    this.#oldestWatchable = this.#revision;
    this.cutWatches();
  }

  /** Cuts the waiting watches. */
  cutWatches(): void {
    [...this.#waiting].forEach(({ fail }) => fail());
  }

  /** Applies a change of a path to the calls that wait on it. */
  refresh(): void {
    [...this.#waiting].forEach((call) => {
      if (this.#effective(call.path()) === 'refused') call.fail();
      else this.#clock.after(RETRANSMISSION_MS, call.poll);
    });
  }

  /**
   * Returns the store as one process reaches it.
   *
   * @param path - how its calls reach the store at that moment
   * @param isTurnedAway - asked for each call
   * @param delayMs - draws the time by which an answer is late on the way to this process, in ms
   */
  reachedBy(
    path: () => StorePath,
    isTurnedAway: () => boolean,
    delayMs: () => number = () => 0,
  ): ObjectStore {
    let latestEra = 0;
    const accepts = (era: number): boolean => {
      latestEra = Math.max(latestEra, era);
      return era === latestEra;
    };
    const access = { path, isTurnedAway, delayMs, accepts };
    return {
      list: (kind, { answerMs }) =>
        this.#call<ListResult>(access, { waitMs: 0, timeoutMs: answerMs }, (answer) =>
          answer({
            _tag: 'listed',
            objects: [...this.#objects[kind].values()],
            revision: this.#revision,
          }),
        ),
      watch: (kind, revision, { waitMs, answerMs }) => {
        const until = this.#clock.now + waitMs;
        const times = { waitMs, timeoutMs: waitMs + answerMs };
        return this.#call<WatchResult>(access, times, (answer) => {
          // Of an earlier era too: its revisions are of another history.
          if (revision < this.#oldestWatchable) {
            answer({ _tag: 'expired' });
            return;
          }
          if (this.#muted) return;
          const changes = this.#history.filter(
            (change) => change.kind === kind && change.object.revision > revision,
          );
          if (changes.length === 0 && this.#clock.now < until) return;
          answer({ _tag: 'changed', changes, revision: this.#revision });
        });
      },
    };
  }

  #effective(path: StorePath): StorePath {
    return this.path === 'open' ? path : this.path;
  }

  #record(change: LoggedChange): void {
    this.#history.push(change);
    [...this.#waiting].forEach(({ poll }) => poll());
  }

  /** Delivers an answer: later if the path is silent meanwhile, and never if it is reset. */
  #deliver(path: () => StorePath, resolve: () => void, fail: () => void): void {
    switch (this.#effective(path())) {
      case 'open':
        resolve();
        return;
      case 'refused':
        fail();
        return;
      case 'silent':
        this.#clock.after(RETRANSMISSION_MS, () => this.#deliver(path, resolve, fail));
        return;
      default:
        throw new Error('unknown path');
    }
  }

  #call<A extends ListResult | WatchResult>(
    { path, isTurnedAway, delayMs, accepts }: StoreAccess,
    { waitMs, timeoutMs }: { readonly waitMs: number; readonly timeoutMs: number },
    tryAnswer: (answer: (result: A) => void) => void,
  ): Promise<A | StoreFailure> {
    this.calls += 1;
    return new Promise((resolve) => {
      const waiting: WaitingCall = {
        path,
        fail: () => {
          this.#waiting.delete(waiting);
          this.#clock.resolve(resolve, UNAVAILABLE);
        },
        poll: () => {
          if (!this.#waiting.has(waiting) || this.#effective(path()) !== 'open') return;
          tryAnswer((result) => {
            this.#waiting.delete(waiting);
            const era = this.#era;
            const arrive = (): void =>
              this.#clock.resolve(resolve, accepts(era) ? result : UNAVAILABLE);
            this.#clock.after(LATENCY_MS + this.slowByMs + delayMs(), () =>
              this.#deliver(path, arrive, waiting.fail),
            );
          });
        },
      };
      this.#clock.after(timeoutMs, () => {
        this.#waiting.delete(waiting);
        this.#clock.resolve(resolve, UNAVAILABLE);
      });
      this.#clock.after(LATENCY_MS, () => {
        if (this.#effective(path()) === 'refused' || isTurnedAway()) {
          this.#clock.resolve(resolve, UNAVAILABLE);
          return;
        }
        this.#waiting.add(waiting);
        waiting.poll();
        this.#clock.after(waitMs, () => waiting.poll());
      });
    });
  }
}
