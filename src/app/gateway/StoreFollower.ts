import type { Logger } from 'pino';
import {
  RelayTrust,
  ToldRevisions,
  type DirectoryChange,
  type EndpointDirectory,
} from '../../coordination/gateway/index.ts';
import type { ObjectStore, StoredChange, WireAdapter } from '../../protocol/gateway/index.ts';
import type { PeerMessage } from '../../protocol/peer/PeerMessage.ts';
import type { WatchedKind } from '../../protocol/peer/Placement.ts';
import type { RouteTable } from '../../state/gateway/index.ts';
import type { PeerGroup } from './PeerGroup.ts';
import { StoreWatch, type StoreWatchListener } from './StoreWatch.ts';

/** What a follower is made of. */
export interface StoreFollowerOptions {
  readonly store: ObjectStore;
  readonly wire: Pick<WireAdapter, 'readRouteTable' | 'readEndpoint'>;
  readonly directory: EndpointDirectory;
  readonly group: Pick<PeerGroup, 'incarnation' | 'storeWatcher' | 'nearby' | 'send' | 'broadcast'>;
  readonly logger: Logger;
  /** Present time in ms, monotonic. */
  readonly now: () => number;
  readonly random: () => number;
  readonly onConfiguration: (table: RouteTable) => void;
  /** Told after the directory of endpoints may have changed. */
  readonly onEndpoints: () => void;
}

/** Longest wait of one watch: a connection that went silent is noticed soon after it. */
const WATCH_WAIT_MS = 900;
/** The same where nobody else relies on the watch; each call is paid for. */
const OWN_WATCH_WAIT_MS = 2_000;
/** How often a watcher gives a sign of life to those who rely on it. */
const SIGN_INTERVAL_MS = 400;
/** How often it gives one to the others, who hear of changes at once besides. */
const FAR_SIGN_INTERVAL_MS = 1_600;

/**
 * Follows the configuration and the endpoints in the platform's store. One member of each failure
 * domain watches the store and tells the others of its domain; who can't rely on it watches itself.
 */
export class StoreFollower {
  readonly #options: StoreFollowerOptions;

  readonly #watches: Readonly<Record<WatchedKind, StoreWatch>>;

  readonly #trust = new RelayTrust();

  #relies = false;

  /** Up to where those who rely on this process were told. */
  readonly #told: Readonly<Record<WatchedKind, ToldRevisions>> = {
    configuration: new ToldRevisions(),
    endpoints: new ToldRevisions(),
  };

  #farSignSentAt = Number.NEGATIVE_INFINITY;

  #signSentAt = Number.NEGATIVE_INFINITY;

  #endpointsKnown = false;

  constructor(options: StoreFollowerOptions) {
    this.#options = options;
    const { store, random, group } = options;
    const isReliedOn = (): boolean => group.storeWatcher() === group.incarnation;
    const waitMs = (): number => (isReliedOn() ? WATCH_WAIT_MS : OWN_WATCH_WAIT_MS);
    const common = { store, random, waitMs, isReliedOn };
    const watch = (kind: WatchedKind, listener: StoreWatchListener): StoreWatch =>
      new StoreWatch({
        ...common,
        kind,
        listener,
        onWatched: (from, to, changes) => this.#relay(kind, from, to, changes),
      });
    this.#watches = {
      configuration: watch('configuration', this.#configurationListener()),
      endpoints: watch('endpoints', this.#endpointsListener()),
    };
  }

  /** Whether the endpoints have been listed once. */
  get endpointsKnown(): boolean {
    return this.#endpointsKnown;
  }

  start(): void {
    Object.values(this.#watches).forEach((watch) => {
      watch.run().catch((error: Error) => {
        this.#options.logger.error({ err: error }, 'watch ended');
      });
    });
  }

  stop(): void {
    Object.values(this.#watches).forEach((watch) => watch.stop());
  }

  /** Does what is due: removes endpoints that stayed missing, and decides who watches. */
  tick(): void {
    const { directory, group, now } = this.#options;
    this.#note(directory.removeMissing(now()));
    const watcher = group.storeWatcher();
    const isWatcher = watcher === group.incarnation;
    if (isWatcher) this.#signal(now());
    const { configuration, endpoints } = this.#watches;
    const known = { configuration: configuration.revision, endpoints: endpoints.revision };
    const relies = !isWatcher && this.#trust.mayRely(watcher, known, now());
    // What another one tells meanwhile isn't told on from here.
    if (relies) Object.values(this.#told).forEach((told) => told.forget());
    if (relies !== this.#relies) {
      this.#relies = relies;
      this.#options.logger.info({ watcher, relies, known }, 'store watcher changed');
    }
    configuration.setRelayed(relies);
    endpoints.setRelayed(relies);
  }

  /** Takes a message of one that watches the store. */
  handle(from: string, message: PeerMessage): void {
    const { directory, group, now } = this.#options;
    if (message._tag === 'storeWatcherAlive') {
      this.#trust.hear(from, group.storeWatcher(), message, now());
    }
    if (message._tag !== 'storeChanges') return;
    const { kind, fromRevision, toRevision, changes, afterOutage } = message;
    if (afterOutage && !directory.isAfterOutage(now())) {
      directory.storeFailed();
      directory.storeAnswered(now());
    }
    this.#watches[kind].takeRelayed(fromRevision, toRevision, changes);
  }

  /** Tells members how far the store is seen here: often, and all of them at once where something changed. */
  #signal(now: number, isNews = false): void {
    if (!isNews && now - this.#signSentAt < SIGN_INTERVAL_MS) return;
    this.#signSentAt = now;
    const { configuration, endpoints } = this.#watches;
    const sign: PeerMessage = {
      _tag: 'storeWatcherAlive',
      reached: configuration.reached && endpoints.reached,
      configurationRevision: configuration.changedRevision,
      endpointsRevision: endpoints.changedRevision,
    };
    const { group } = this.#options;
    if (isNews || now - this.#farSignSentAt >= FAR_SIGN_INTERVAL_MS) {
      this.#farSignSentAt = now;
      group.broadcast(sign);
    } else {
      group.nearby().forEach(({ incarnation }) => group.send(incarnation, sign));
    }
  }

  #relay(
    kind: WatchedKind,
    fromRevision: number,
    toRevision: number,
    changes: readonly StoredChange[],
  ): void {
    const { group, directory, now } = this.#options;
    if (group.storeWatcher() !== group.incarnation) return;
    const afterOutage = directory.isAfterOutage(now());
    const watched = {
      from: fromRevision,
      to: toRevision,
      isNews: changes.length > 0 || afterOutage,
    };
    const from = this.#told[kind].advance(watched, now());
    if (from === undefined) return;
    const message: PeerMessage = {
      _tag: 'storeChanges',
      kind,
      fromRevision: from,
      toRevision,
      changes,
      afterOutage,
    };
    group.nearby().forEach(({ incarnation }) => group.send(incarnation, message));
    if (changes.length > 0) this.#signal(now(), true);
  }

  #configurationListener(): StoreWatchListener {
    return {
      ...this.#dependency('store: configuration'),
      onList: (objects) => {
        this.#told.configuration.forget();
        objects.forEach(({ spec }) => this.#takeConfiguration(spec));
      },
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
        this.#told.endpoints.forget();
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
    const { directory, group, logger, now } = this.#options;
    return {
      onRegained: () => {
        directory.storeAnswered(now());
        if (group.storeWatcher() === group.incarnation) this.#signal(now(), true);
        logger.info({ dependency: name }, 'dependency regained');
      },
      onFailed: (detail) => {
        directory.storeFailed();
        if (group.storeWatcher() === group.incarnation) this.#signal(now(), true);
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
