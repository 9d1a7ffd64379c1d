import type { Logger } from 'pino';
import type { DirectoryChange, EndpointDirectory } from '../../coordination/gateway/index.ts';
import type { ObjectStore, WireAdapter } from '../../protocol/gateway/index.ts';
import type { RouteTable } from '../../state/gateway/index.ts';
import { StoreWatch, type StoreWatchListener } from './StoreWatch.ts';

/** What a follower is made of. */
export interface StoreFollowerOptions {
  readonly store: ObjectStore;
  readonly wire: Pick<WireAdapter, 'readRouteTable' | 'readEndpoint'>;
  readonly directory: EndpointDirectory;
  readonly logger: Logger;
  /** Present time in ms, monotonic. */
  readonly now: () => number;
  readonly random: () => number;
  readonly onConfiguration: (table: RouteTable) => void;
  /** Told after the directory of endpoints may have changed. */
  readonly onEndpoints: () => void;
}

/** Longest wait of one watch: a connection that went silent is noticed within it. */
const WATCH_WAIT_MS = 2_500;

/** Follows the configuration and the endpoints in the platform's store. */
export class StoreFollower {
  readonly #options: StoreFollowerOptions;

  readonly #watches: readonly StoreWatch[];

  #endpointsKnown = false;

  constructor(options: StoreFollowerOptions) {
    this.#options = options;
    const { store, random } = options;
    const common = { store, random, waitMs: WATCH_WAIT_MS };
    this.#watches = [
      new StoreWatch({
        ...common,
        kind: 'configuration',
        listener: this.#configurationListener(),
      }),
      new StoreWatch({ ...common, kind: 'endpoints', listener: this.#endpointsListener() }),
    ];
  }

  /** Whether the endpoints have been listed once. */
  get endpointsKnown(): boolean {
    return this.#endpointsKnown;
  }

  start(): void {
    this.#watches.forEach((watch) => {
      watch.run().catch((error: Error) => {
        this.#options.logger.error({ err: error }, 'watch ended');
      });
    });
  }

  stop(): void {
    this.#watches.forEach((watch) => watch.stop());
  }

  /** Removes endpoints that stayed missing after an outage of the store. */
  tick(): void {
    const { directory, now } = this.#options;
    this.#note(directory.tick(now()));
  }

  #configurationListener(): StoreWatchListener {
    return {
      ...this.#dependency('store: configuration'),
      onList: (objects) => objects.forEach(({ spec }) => this.#takeConfiguration(spec)),
      onChanges: (changes) => changes.forEach(({ object }) => this.#takeConfiguration(object.spec)),
    };
  }

  #endpointsListener(): StoreWatchListener {
    const { wire, directory, now } = this.#options;
    return {
      ...this.#dependency('store: endpoints'),
      onList: (objects) => {
        const records = objects
          .map(({ name, spec }) => wire.readEndpoint(name, spec))
          .filter((record) => record !== undefined);
        this.#endpointsKnown = true;
        this.#note(directory.replaceAll(records, now()));
      },
      onChanges: (changes) => {
        const noted = changes.flatMap(({ removed, object }) => {
          const record = removed ? undefined : wire.readEndpoint(object.name, object.spec);
          return record === undefined
            ? directory.remove(object.name, now())
            : directory.put(record);
        });
        this.#note(noted);
      },
    };
  }

  #dependency(name: string): Pick<StoreWatchListener, 'onRegained' | 'onFailed'> {
    const { directory, logger, now } = this.#options;
    return {
      onRegained: () => {
        directory.storeAnswered(now());
        logger.info({ dependency: name }, 'dependency regained');
      },
      onFailed: (detail) => {
        directory.storeFailed();
        logger.warn({ dependency: name, detail }, 'dependency lost');
      },
    };
  }

  #takeConfiguration(spec: unknown): void {
    const table = this.#options.wire.readRouteTable(spec);
    if (table === undefined) this.#options.logger.warn('configuration in the store is unreadable');
    else this.#options.onConfiguration(table);
  }

  #note(changes: readonly DirectoryChange[]): void {
    changes.forEach(({ _tag, record }) => {
      this.#options.logger.info(
        {
          endpoint: record.id,
          address: record.address,
          service: record.service,
          failureDomain: record.failureDomain,
          version: record.version,
          change: _tag,
        },
        'endpoint changed',
      );
    });
    if (changes.length > 0) this.#options.onEndpoints();
  }
}
