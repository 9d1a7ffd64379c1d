import { performance } from 'node:perf_hooks';
import * as Effect from 'effect/Effect';
import type * as Scope from 'effect/Scope';
import {
  API_VERSION,
  decodeList,
  decodeObject,
  encodeObject,
} from '../../protocol/platform/platformObjects.ts';
import type {
  ListOutcome,
  ObjectKind,
  PlatformApi,
  ReadOutcome,
  WatchEvent,
  WriteOutcome,
} from '../../protocol/platform/PlatformApi.ts';
import type { EntrySettings } from '../../state/EntrySettings.ts';
import { makeConnectionPool, requestWhole } from '../http/index.ts';
import type { ConnectionPool, WholeOutcome } from '../http/index.ts';
import { watchCollection } from './watchCollection.ts';
import { writeOutcome } from './writeOutcome.ts';

const CONNECTION_TRUST_MS = 4_000;
const WATCH_SILENCE_MS = 15_000;
const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;
const MAXIMUM_OBJECT_BYTES = 2 * 1024 * 1024;
const MAXIMUM_LIST_BYTES = 64 * 1024 * 1024;

class PlatformClient implements PlatformApi {
  readonly #pool: ConnectionPool;

  readonly #settings: EntrySettings['platform'];

  readonly #headers: Readonly<Record<string, string>>;

  readonly #watchSilenceMs: number;

  constructor(pool: ConnectionPool, settings: EntrySettings['platform'], watchSilenceMs: number) {
    this.#pool = pool;
    this.#settings = settings;
    this.#headers =
      settings.token === undefined ? {} : { authorization: `Bearer ${settings.token}` };
    this.#watchSilenceMs = watchSilenceMs;
  }

  read(kind: ObjectKind, name: string): Effect.Effect<ReadOutcome> {
    return this.#run('GET', this.#path(kind, name), undefined, MAXIMUM_OBJECT_BYTES).pipe(
      Effect.map((outcome): ReadOutcome => {
        if (outcome._tag !== 'answered') return { _tag: 'unavailable', detail: outcome.detail };
        if (outcome.status === HTTP_NOT_FOUND) return { _tag: 'absent' };
        const object = outcome.status === HTTP_OK ? decodeObject(kind, outcome.text) : undefined;
        return object
          ? { _tag: 'found', object }
          : { _tag: 'unavailable', detail: `status ${outcome.status}` };
      }),
    );
  }

  list(kind: ObjectKind): Effect.Effect<ListOutcome> {
    return this.#run('GET', this.#path(kind), undefined, MAXIMUM_LIST_BYTES).pipe(
      Effect.map((outcome): ListOutcome => {
        if (outcome._tag !== 'answered') return { _tag: 'unavailable', detail: outcome.detail };
        const list = outcome.status === HTTP_OK ? decodeList(kind, outcome.text) : undefined;
        return list
          ? { _tag: 'listed', ...list }
          : { _tag: 'unavailable', detail: `status ${outcome.status}` };
      }),
    );
  }

  create(kind: ObjectKind, name: string, value: unknown): Effect.Effect<WriteOutcome> {
    const body = encodeObject(kind, this.#settings.namespace, name, value, undefined);
    return this.#write('POST', this.#path(kind), kind, body);
  }

  replace(
    kind: ObjectKind,
    name: string,
    value: unknown,
    resourceVersion: string,
  ): Effect.Effect<WriteOutcome> {
    const body = encodeObject(kind, this.#settings.namespace, name, value, resourceVersion);
    return this.#write('PUT', this.#path(kind, name), kind, body);
  }

  watch(
    kind: ObjectKind,
    resourceVersion: string,
    onEvent: (event: WatchEvent) => void,
  ): Effect.Effect<void, never, Scope.Scope> {
    const query = `?watch=true&resourceVersion=${encodeURIComponent(resourceVersion)}`;
    return Effect.acquireRelease(
      Effect.sync(() =>
        watchCollection(
          this.#pool,
          {
            address: this.#settings.address,
            path: `${this.#path(kind)}${query}`,
            headers: this.#headers,
            kind,
            silenceMs: this.#watchSilenceMs,
          },
          onEvent,
        ),
      ),
      (watch) => Effect.sync(watch.abort),
    ).pipe(Effect.asVoid);
  }

  #write(
    method: string,
    path: string,
    kind: ObjectKind,
    body: unknown,
  ): Effect.Effect<WriteOutcome> {
    return this.#run(method, path, body, MAXIMUM_OBJECT_BYTES).pipe(
      Effect.map((outcome) => writeOutcome(kind, outcome)),
    );
  }

  #run(
    method: string,
    path: string,
    json: unknown,
    maximumBytes: number,
  ): Effect.Effect<WholeOutcome> {
    return Effect.callback<WholeOutcome>((resume) => {
      const call = requestWhole(
        this.#pool,
        {
          address: this.#settings.address,
          method,
          path,
          headers: this.#headers,
          json,
          // A write on a stale connection would end unsettled without need.
          fresh: json !== undefined,
          timeoutMs: this.#settings.timeoutMs,
          maximumBytes,
        },
        (outcome) => resume(Effect.succeed(outcome)),
      );
      return Effect.sync(call.abort);
    });
  }

  #path(kind: ObjectKind, name?: string): string {
    const collection = `/apis/${API_VERSION}/namespaces/${encodeURIComponent(this.#settings.namespace)}/${kind}`;
    return name === undefined ? collection : `${collection}/${encodeURIComponent(name)}`;
  }
}

/**
 * Makes the way to the platform's object API. Connections close with the scope.
 *
 * @param settings - where the platform is and how long to wait for it
 * @param watchSilenceMs - silence after which a watch counts as broken
 * @returns the client; none of its methods fails
 */
export const makePlatformClient = (
  settings: EntrySettings['platform'],
  watchSilenceMs = WATCH_SILENCE_MS,
): Effect.Effect<PlatformApi, never, Scope.Scope> =>
  makeConnectionPool({
    connectTimeoutMs: settings.timeoutMs,
    connectionTrustMs: CONNECTION_TRUST_MS,
    now: () => performance.now(),
  }).pipe(Effect.map((pool) => new PlatformClient(pool, settings, watchSilenceMs)));
