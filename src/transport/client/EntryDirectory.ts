import * as Effect from 'effect/Effect';
import * as Schema from 'effect/Schema';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { EntryAddress } from '../../protocol/caller/CallerService.ts';
import { decodeJson } from '../../protocol/decodeJson.ts';
import { requestWhole } from '../http/index.ts';
import type { ConnectionPool, WholeOutcome } from '../http/index.ts';

const EntryList = Schema.Struct({
  entries: Schema.Array(
    Schema.Struct({
      address: Schema.NonEmptyString,
      failureDomain: Schema.String,
      requestIdPrefix: Schema.NonEmptyString,
    }),
  ),
  keepForMs: Schema.Finite,
});
const decodeEntryList = decodeJson(EntryList);

const ENTRIES_TIMEOUT_MS = 2_000;
const MAXIMUM_LIST_BYTES = 1024 * 1024;
const HTTP_OK = 200;
/** Time for which an entry that failed is passed over. */
const AVOID_MS = 3_000;

/** What a directory is made of. */
export interface EntryDirectoryOptions {
  /** `IP:PORT` of entries to ask first. */
  readonly seeds: readonly string[];
  /** Present time in ms, monotonic. */
  readonly now: () => number;
  readonly generator: RandomGenerator;
}

/** The entries that a caller may use, asked for and kept as long as they allow. */
export class EntryDirectory {
  readonly #pool: ConnectionPool;

  readonly #options: EntryDirectoryOptions;

  #entries: readonly EntryAddress[] = [];

  #keepUntil = Number.NEGATIVE_INFINITY;

  #refreshing: Promise<void> | undefined;

  readonly #avoidUntil = new Map<string, number>();

  constructor(pool: ConnectionPool, options: EntryDirectoryOptions) {
    this.#pool = pool;
    this.#options = options;
  }

  /**
   * Gives the entries, asking for them where the kept list is too old. An old list is better than
   * none while no entry answers, and nobody waits for a new one while entries of the old one are good:
   * the entry that is asked for it may be the next one to fail.
   *
   * @returns the entries, empty where none was ever reached
   */
  current(): Effect.Effect<readonly EntryAddress[]> {
    if (this.#options.now() < this.#keepUntil) return Effect.succeed(this.#entries);
    const refreshed = this.#refreshOnce();
    if (this.#entries.some(({ address }) => !this.#isAvoided(address))) {
      return Effect.succeed(this.#entries);
    }
    return Effect.promise(() => refreshed).pipe(Effect.map(() => this.#entries));
  }

  /**
   * Chooses an entry: first a failure domain at random, then one of its entries.
   *
   * @returns undefined where no entry is known
   */
  choose(): Effect.Effect<EntryAddress | undefined> {
    return this.current().pipe(
      Effect.map((entries) => {
        const good = entries.filter(({ address }) => !this.#isAvoided(address));
        const usable = good.length > 0 ? good : entries;
        const domains = Array.from(new Set(usable.map(({ failureDomain }) => failureDomain)));
        const domain = this.#pick(domains);
        return this.#pick(usable.filter(({ failureDomain }) => failureDomain === domain));
      }),
    );
  }

  /**
   * Passes over an entry for a while, and asks anew for the list.
   *
   * @param address - an entry that failed
   */
  avoid(address: string): void {
    const now = this.#options.now();
    this.#avoidUntil.forEach((until, avoided) => {
      if (until <= now) this.#avoidUntil.delete(avoided);
    });
    this.#avoidUntil.set(address, now + AVOID_MS);
    this.#keepUntil = Number.NEGATIVE_INFINITY;
  }

  #isAvoided(address: string): boolean {
    return (this.#avoidUntil.get(address) ?? 0) > this.#options.now();
  }

  #pick<A>(choices: readonly A[]): A | undefined {
    return choices.length === 0
      ? undefined
      : choices[uniformInt(this.#options.generator, 0, choices.length - 1)];
  }

  #refreshOnce(): Promise<void> {
    this.#refreshing ??= Effect.runPromise(this.#refresh()).finally(() => {
      this.#refreshing = undefined;
    });
    return this.#refreshing;
  }

  #refresh(): Effect.Effect<void> {
    const known = this.#entries.map(({ address }) => address);
    const addresses = Array.from(new Set([...known, ...this.#options.seeds]));
    const start = uniformInt(this.#options.generator, 0, Math.max(0, addresses.length - 1));
    const rotated = [...addresses.slice(start), ...addresses.slice(0, start)];
    const good = rotated.filter((address) => !this.#isAvoided(address));
    return this.#ask([...good, ...rotated.filter((address) => this.#isAvoided(address))]);
  }

  #ask(addresses: readonly string[]): Effect.Effect<void> {
    const [address, ...others] = addresses;
    if (address === undefined) return Effect.void;
    return this.#fetch(address).pipe(
      Effect.flatMap((outcome) => {
        const list =
          outcome._tag === 'answered' && outcome.status === HTTP_OK
            ? decodeEntryList(outcome.text)
            : undefined;
        if (!list || list.entries.length === 0) return this.#ask(others);
        this.#entries = list.entries;
        this.#keepUntil = this.#options.now() + list.keepForMs;
        return Effect.void;
      }),
    );
  }

  #fetch(address: string): Effect.Effect<WholeOutcome> {
    return Effect.callback<WholeOutcome>((resume) => {
      const call = requestWhole(
        this.#pool,
        {
          address: `http://${address}`,
          method: 'GET',
          path: '/v1/entries',
          fresh: false,
          timeoutMs: ENTRIES_TIMEOUT_MS,
          maximumBytes: MAXIMUM_LIST_BYTES,
        },
        (outcome) => resume(Effect.succeed(outcome)),
      );
      return Effect.sync(call.abort);
    });
  }
}
