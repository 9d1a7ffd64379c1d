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
export interface StoreSubscriptionOptions {
  readonly store: ObjectStore;
  readonly wire: Pick<WireAdapter, 'readRouteTable' | 'readEndpoint'>;
  readonly directory: EndpointDirectory;
  readonly group: Pick<
    PeerGroup,
    'incarnation' | 'storeWatcher' | 'sameDomainPeers' | 'send' | 'broadcast'
  >;
  readonly logger: Logger;
  /** Present time in ms, monotonic. */
  readonly now: () => number;
  readonly random: () => number;
  readonly onConfiguration: (table: RouteTable) => void;
  /** Told after the directory of endpoints may have changed. */
  readonly onEndpointsChanged: () => void;
}

/** Longest wait of one watch: a connection that went silent is noticed soon after it. */
const SHARED_WATCH_WAIT_MS = 900;
/** The same where nobody else relies on the watch; each call is paid for. */
const PRIVATE_WATCH_WAIT_MS = 2_000;
/** How often a watcher gives a sign of life to those who rely on it. */
const HEARTBEAT_INTERVAL_MS = 400;
/** How often it gives one to the others, who hear of changes at once besides. */
const BROADCAST_INTERVAL_MS = 1_600;

/**
 * Follows the configuration and the endpoints in the platform's store. One member of each failure
 * domain watches the store and tells the others of its domain; who can't rely on it watches itself.
 */
export class StoreSubscription {
  readonly #options: StoreSubscriptionOptions;

  readonly #watches: Readonly<Record<WatchedKind, StoreWatch>>;

  readonly #relayTrust = new RelayTrust();

  #isRelying = false;

  /** Up to where those who rely on this process were told. */
  readonly #relayedRevisions: Readonly<Record<WatchedKind, ToldRevisions>> = {
    configuration: new ToldRevisions(),
    endpoints: new ToldRevisions(),
  };

  #broadcastSentAt = Number.NEGATIVE_INFINITY;

  #heartbeatSentAt = Number.NEGATIVE_INFINITY;

  #endpointsListed = false;

  constructor(options: StoreSubscriptionOptions) {
    this.#options = options;
    const { store, random, group } = options;
    const isReliedOn = (): boolean => group.storeWatcher() === group.incarnation;
    const waitMs = (): number => (isReliedOn() ? SHARED_WATCH_WAIT_MS : PRIVATE_WATCH_WAIT_MS);
    const common = { store, random, waitMs, isReliedOn };
    const watch = (kind: WatchedKind, listener: StoreWatchListener): StoreWatch =>
      new StoreWatch({
        ...common,
        kind,
        listener,
        onWatchResult: (from, to, changes) => this.#relayChanges(kind, from, to, changes),
      });
    this.#watches = {
      configuration: watch('configuration', this.#makeConfigurationListener()),
      endpoints: watch('endpoints', this.#makeEndpointsListener()),
    };
  }

  /** Whether the endpoints have been listed once. */
  get endpointsListed(): boolean {
    return this.#endpointsListed;
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
    this.#reportChanges(directory.tick(now()));
    const watcher = group.storeWatcher();
    const isWatcher = watcher === group.incarnation;
    if (isWatcher) this.#sendHeartbeat(now());
    const { configuration, endpoints } = this.#watches;
    const known = { configuration: configuration.revision, endpoints: endpoints.revision };
    const relies = !isWatcher && this.#relayTrust.mayRely(watcher, known, now());
    // What another one tells meanwhile isn't told on from here.
    if (relies) Object.values(this.#relayedRevisions).forEach((told) => told.forget());
    if (relies !== this.#isRelying) {
      this.#isRelying = relies;
      this.#options.logger.info({ watcher, relies, known }, 'store watcher changed');
    }
    configuration.setRelayed(relies);
    endpoints.setRelayed(relies);
  }

  /** Takes a message of one that watches the store. */
  handle(from: string, message: PeerMessage): void {
    const { directory, group, now } = this.#options;
    if (message._tag === 'storeWatcherAlive') {
      this.#relayTrust.hear(from, group.storeWatcher(), message, now());
    }
    if (message._tag !== 'storeChanges') return;
    const { kind, fromRevision, toRevision, changes, afterOutage } = message;
    if (afterOutage && !directory.isAfterOutage(now())) {
      directory.storeFailed();
      directory.storeAnswered(now());
    }
    this.#watches[kind].applyRelayed(fromRevision, toRevision, changes);
  }

  /** Tells members how far the store is seen here: often, and all of them at once where something changed. */
  #sendHeartbeat(now: number, isNews = false): void {
    if (!isNews && now - this.#heartbeatSentAt < HEARTBEAT_INTERVAL_MS) return;
    this.#heartbeatSentAt = now;
    const { configuration, endpoints } = this.#watches;
    const sign: PeerMessage = {
      _tag: 'storeWatcherAlive',
      reached: configuration.reached && endpoints.reached,
      configurationRevision: configuration.lastChangeRevision,
      endpointsRevision: endpoints.lastChangeRevision,
    };
    const { group } = this.#options;
    if (isNews || now - this.#broadcastSentAt >= BROADCAST_INTERVAL_MS) {
      this.#broadcastSentAt = now;
      group.broadcast(sign);
    } else {
      group.sameDomainPeers().forEach(({ incarnation }) => group.send(incarnation, sign));
    }
  }

  #relayChanges(
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
    const from = this.#relayedRevisions[kind].next(watched, now());
    if (from === undefined) return;
    const message: PeerMessage = {
      _tag: 'storeChanges',
      kind,
      fromRevision: from,
      toRevision,
      changes,
      afterOutage,
    };
    group.sameDomainPeers().forEach(({ incarnation }) => group.send(incarnation, message));
    if (changes.length > 0) this.#sendHeartbeat(now(), true);
  }

  #makeConfigurationListener(): StoreWatchListener {
    return {
      ...this.#makeHealthListener('store: configuration'),
      onList: (objects) => {
        this.#relayedRevisions.configuration.forget();
        objects.forEach(({ spec }) => this.#applyConfiguration(spec));
      },
      onChanges: (changes) =>
        changes.forEach(({ object }) => this.#applyConfiguration(object.spec)),
    };
  }

  #makeEndpointsListener(): StoreWatchListener {
    const { wire, directory, now } = this.#options;
    return {
      ...this.#makeHealthListener('store: endpoints'),
      onList: (objects) => {
        const records = objects
          .map(({ name, spec }) => wire.readEndpoint(name, spec))
          .filter((record) => record !== undefined);
        this.#endpointsListed = true;
        this.#relayedRevisions.endpoints.forget();
        this.#reportChanges(directory.replaceAll(records, now()));
      },
      onChanges: (changes) => {
        const noted = changes.flatMap(({ removed, object }) => {
          const record = removed ? undefined : wire.readEndpoint(object.name, object.spec);
          return record === undefined
            ? directory.remove(object.name, now())
            : directory.put(record);
        });
        this.#reportChanges(noted);
      },
    };
  }

  #makeHealthListener(name: string): Pick<StoreWatchListener, 'onRegained' | 'onFailed'> {
    const { directory, group, logger, now } = this.#options;
    return {
      onRegained: () => {
        directory.storeAnswered(now());
        if (group.storeWatcher() === group.incarnation) this.#sendHeartbeat(now(), true);
        logger.info({ dependency: name }, 'dependency regained');
      },
      onFailed: (detail) => {
        directory.storeFailed();
        if (group.storeWatcher() === group.incarnation) this.#sendHeartbeat(now(), true);
        logger.warn({ dependency: name, detail }, 'dependency lost');
      },
    };
  }

  #applyConfiguration(spec: unknown): void {
    const table = this.#options.wire.readRouteTable(spec);
    if (table === undefined) this.#options.logger.warn('configuration in the store is unreadable');
    else this.#options.onConfiguration(table);
  }

  #reportChanges(changes: readonly DirectoryChange[]): void {
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
    if (changes.length > 0) this.#options.onEndpointsChanged();
  }
}
