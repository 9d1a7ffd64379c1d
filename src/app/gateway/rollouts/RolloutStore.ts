import type { Logger } from 'pino';
import type {
  StatusStore,
  StoreObject,
  StorePosition,
  WireAdapter,
} from '../../../protocol/gateway/index.ts';
import type { RolloutOrder, RolloutState } from '../../../state/gateway/index.ts';

/** Collaborators of a roll-out store. */
export interface RolloutStoreOptions {
  readonly store: StatusStore;
  readonly wire: WireAdapter;
  /**
   * Called with what the store holds: all readable orders after a list, or one that changed.
   *
   * @param isWatched - whether a waiting call reported it at once
   */
  readonly onOrders: (orders: OrdersRead, isWatched: boolean) => void;
  readonly logger: Logger;
  /** Present time in ms, monotonic. */
  readonly now: () => number;
  readonly sleep: (ms: number) => Promise<unknown>;
}

/** What a call of the store showed. */
export type OrdersRead =
  | { readonly _tag: 'all'; readonly orders: ReadonlyMap<string, RolloutOrder> }
  | { readonly _tag: 'one'; readonly service: string; readonly order: RolloutOrder | undefined };

/** A state that is to be written. */
export interface RolloutWrite {
  readonly service: string;
  readonly state: RolloutState;
  readonly target: string;
  /** Revision of the order by which the state was decided. */
  readonly revision: number;
}

/** Longest wait for a change; the store responds at least as often. */
const WATCH = { waitMs: 2_000, answerMs: 800, fresh: false } as const;
const LIST = { answerMs: 1_000 } as const;
const RETRY_MS = 300;
/**
 * Time after the last answer from which the store doesn't count as reached, and nothing is written before the
 * objects were read again: a little more than a call that waits takes.
 */
const FRESH_MS = 3_000;

/**
 * Reads the orders and writes their states, in the gateway that drives roll-outs, and only while there is one to
 * drive. Each write names the revision that it replaces, so that a final state is never overwritten; after a write
 * without an answer the objects are read again.
 */
export class RolloutStore {
  readonly #options: RolloutStoreOptions;

  /** Differs for each time in which the store is followed, so that a loop of an earlier one ends. */
  #following = 0;

  #isFollowing = false;

  /** When the store last answered, in ms, monotonic. */
  #heardAt = Number.NEGATIVE_INFINITY;

  #lastCallAnswered = false;

  /** Revision of each object whose unusable content was logged. */
  readonly #loggedUnusable = new Map<string, number>();

  readonly #writing = new Set<string>();

  constructor(options: RolloutStoreOptions) {
    this.#options = options;
  }

  /** Whether the store answered the last call, lately. */
  get isReached(): boolean {
    return this.#lastCallAnswered && this.#options.now() - this.#heardAt <= FRESH_MS;
  }

  /** Begins or ceases to follow the orders. */
  setFollowing(isFollowing: boolean): void {
    if (isFollowing === this.#isFollowing) return;
    this.#isFollowing = isFollowing;
    this.#following += 1;
    if (isFollowing) {
      this.#follow(this.#following).catch((error: unknown) =>
        this.#options.logger.error({ error: `${error}` }, 'roll-out watch failed'),
      );
    }
  }

  /** Writes a state, unless one is being written for the service. */
  write(write: RolloutWrite): void {
    if (this.#writing.has(write.service)) return;
    this.#writing.add(write.service);
    this.#write(write)
      .catch((error: unknown) =>
        this.#options.logger.error({ error: `${error}` }, 'roll-out state not written'),
      )
      .finally(() => this.#writing.delete(write.service));
  }

  async #follow(following: number): Promise<void> {
    const { store, sleep } = this.#options;
    const isCurrent = (): boolean => this.#following === following;
    let revision: StorePosition | undefined;
    let isJustListed = false;
    while (isCurrent()) {
      if (revision === undefined) {
        // eslint-disable-next-line no-await-in-loop -- each call begins where the one before ended
        revision = await this.#list(isCurrent);
        isJustListed = true;
        // eslint-disable-next-line no-await-in-loop
        if (revision === undefined) await sleep(RETRY_MS);
      } else {
        // eslint-disable-next-line no-await-in-loop
        const result = await store.watch('rollouts', revision, WATCH);
        if (!isCurrent()) return;
        switch (result._tag) {
          case 'changed':
            this.#hear();
            revision = result.revision;
            isJustListed = false;
            result.changes.forEach(({ object, removed }) =>
              this.#options.onOrders(
                {
                  _tag: 'one',
                  service: object.name,
                  order: removed ? undefined : this.#read(object),
                },
                true,
              ),
            );
            break;
          case 'expired':
            revision = undefined;
            // A list that leads to no position which can be watched from must not be asked for without a pause.
            // eslint-disable-next-line no-await-in-loop
            if (isJustListed) await sleep(RETRY_MS);
            break;
          case 'unavailable':
            this.#lastCallAnswered = false;
            revision = undefined;
            // eslint-disable-next-line no-await-in-loop
            await sleep(RETRY_MS);
            break;
          default:
            result satisfies never;
        }
      }
    }
  }

  async #list(isCurrent: () => boolean): Promise<StorePosition | undefined> {
    const result = await this.#options.store.list('rollouts', LIST);
    this.#lastCallAnswered = result._tag === 'listed';
    if (result._tag !== 'listed' || !isCurrent()) return undefined;
    this.#hear();
    const orders = new Map<string, RolloutOrder>();
    result.objects.forEach((object) => {
      const order = this.#read(object);
      if (order !== undefined) orders.set(order.service, order);
    });
    this.#options.onOrders({ _tag: 'all', orders }, false);
    return result.revision;
  }

  #read(object: StoreObject): RolloutOrder | undefined {
    const order = this.#options.wire.readRollout(object);
    const { name, revision, spec, status, fault } = object;
    if (order === undefined && this.#loggedUnusable.get(name) !== revision) {
      this.#loggedUnusable.set(name, revision);
      this.#options.logger.warn(
        { name, revision, spec, status, fault },
        'roll-out order not usable',
      );
    }
    return order;
  }

  async #write({ service, state, target, revision }: RolloutWrite): Promise<void> {
    const { store, wire, logger, sleep } = this.#options;
    const isCurrent = (): boolean => this.#isFollowing;
    // A process that was paused decided by what it had read before, and another one may drive by now. That a version
    // is bad holds whoever drives, and is written even to a store whose answers are lost.
    if (state === 'completed' && !this.isReached) {
      if ((await this.#list(isCurrent)) === undefined) await sleep(RETRY_MS);
      return;
    }
    const startedAt = this.#options.now();
    const result = await store.writeStatus('rollouts', {
      name: service,
      revision,
      status: wire.buildRolloutStatus(state, target),
    });
    const afterMs = Math.round(this.#options.now() - startedAt);
    const line = { service, target, state, revision, afterMs, result: result._tag };
    switch (result._tag) {
      case 'written':
        logger.info({ ...line, newRevision: result.object.revision }, 'roll-out state written');
        this.#take(service, result.object);
        return;
      case 'conflict':
        logger.warn({ ...line, found: result.object?.status }, 'roll-out state not written');
        if (result.object === undefined) await this.#list(isCurrent);
        else this.#take(service, result.object);
        return;
      case 'missing':
        logger.warn(line, 'roll-out state not written');
        await this.#list(isCurrent);
        return;
      case 'unavailable':
        this.#lastCallAnswered = false;
        logger.warn({ ...line, detail: result.detail }, 'roll-out state not written');
        // The write may have taken effect, or may still do so: what the store holds decides.
        if ((await this.#list(isCurrent)) === undefined) await sleep(RETRY_MS);
        return;
      default:
        result satisfies never;
    }
  }

  #hear(): void {
    this.#heardAt = this.#options.now();
    this.#lastCallAnswered = true;
  }

  #take(service: string, object: StoreObject): void {
    this.#hear();
    this.#options.onOrders({ _tag: 'one', service, order: this.#read(object) }, false);
  }
}
