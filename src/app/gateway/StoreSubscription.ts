import type { Logger } from 'pino';
import {
  MISSING_ENTRY_GRACE_MS,
  StoreWatcherMonitor,
  RelayedRevisions,
  ViewFreshness,
  isBehind,
  type ConfirmationPath,
  type EndpointChange,
  type EndpointDirectory,
  type OutagePhase,
} from '../../coordination/gateway/index.ts';
import type { ObjectStore, StoreChange, WireAdapter } from '../../protocol/gateway/index.ts';
import type { PeerMessage } from '../../protocol/peer/PeerMessage.ts';
import type { WatchedKind } from '../../protocol/peer/GatewayMessages.ts';
import type { RouteTable } from '../../state/gateway/index.ts';
import type { PeerGroup } from './PeerGroup.ts';
import { StoreWatch, type StoreChangeSource, type StoreWatchListener } from './StoreWatch.ts';

/** What became of relayed changes: `gap` if changes before them are missing here, so that the view has a hole. */
export type RelayResult = 'applied' | 'gap';

/** How old the view of the store is, and what its age depends on. */
export interface ViewAge {
  /** Time since the store last confirmed the view of both kinds of objects, in ms. */
  readonly ageMs: number;
  /** How that confirmation reached this process. */
  readonly path: ConfirmationPath;
}

/** Collaborators and callbacks of a store subscription. */
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
  /** A random number in [0, 1). */
  readonly random: () => number;
  /** Resolves after a time in ms. */
  readonly sleep: (ms: number) => Promise<void>;
  /** Called for each readable configuration, also for one that is not newer than the last. */
  readonly onConfiguration: (table: RouteTable, source: StoreChangeSource) => void;
  /** Called after changes in the directory of endpoints. */
  readonly onEndpointsChanged: () => void;
  /** Called for each message of relayed changes, with what became of it. */
  readonly onRelayReceived: (kind: WatchedKind, result: RelayResult) => void;
}

/** Longest wait of one watch call that others rely on; a dead connection is detected soon after it. */
const SHARED_WATCH_WAIT_MS = 900;
/** The same if only this process uses the watch; longer, because calls to the store are costly. */
const PRIVATE_WATCH_WAIT_MS = 2_000;
/** Interval of heartbeats from a watcher to the members of its failure domain. */
const HEARTBEAT_INTERVAL_MS = 400;
/** Interval of heartbeats to all members, which are also sent at once after each change. */
const BROADCAST_INTERVAL_MS = 1_600;
/** Age of the view that is logged, with the reason: what the promises leave is then short. */
const OLD_VIEW_MS = 1_500;

/**
 * Keeps the configuration and the endpoint directory up to date with the platform's store. One member
 * of each failure domain watches the store and relays changes to the others of its domain; a member that
 * cannot rely on it watches the store itself.
 */
export class StoreSubscription {
  readonly #options: StoreSubscriptionOptions;

  readonly #watches: Readonly<Record<WatchedKind, StoreWatch>>;

  readonly #watcherMonitor = new StoreWatcherMonitor();

  readonly #freshness = new ViewFreshness();

  #isOldViewReported = false;

  /** Whether the watches are suspended because the watcher of the domain relays changes. */
  #isRelying = false;

  /** Store revisions up to which this process has relayed changes. */
  readonly #relayedRevisions: Readonly<Record<WatchedKind, RelayedRevisions>> = {
    configuration: new RelayedRevisions(),
    endpoints: new RelayedRevisions(),
  };

  #broadcastSentAt = Number.NEGATIVE_INFINITY;

  #heartbeatSentAt = Number.NEGATIVE_INFINITY;

  #endpointsListed = false;

  #reportedOutagePhase: OutagePhase = 'none';

  constructor(options: StoreSubscriptionOptions) {
    this.#options = options;
    const { store, now, random, sleep, group } = options;
    const isReliedOn = (): boolean => group.storeWatcher() === group.incarnation;
    const waitMs = (): number => (isReliedOn() ? SHARED_WATCH_WAIT_MS : PRIVATE_WATCH_WAIT_MS);
    const common = { store, now, random, sleep, waitMs, isReliedOn };
    const watch = (kind: WatchedKind, listener: StoreWatchListener): StoreWatch =>
      new StoreWatch({
        ...common,
        kind,
        listener,
        onWatchResult: (from, to, changes) => this.#relayChanges(kind, from, to, changes),
        onConfirmed: (at) => this.#freshness.confirm(kind, { at, path: 'call' }),
      });
    this.#watches = {
      configuration: watch('configuration', this.#makeConfigurationListener()),
      endpoints: watch('endpoints', this.#makeEndpointsListener()),
    };
  }

  /** Whether the endpoints have been listed at least once. */
  get endpointsListed(): boolean {
    return this.#endpointsListed;
  }

  /**
   * Returns how old the view of the store is.
   *
   * @param now - present time in ms, monotonic
   * @returns the age, and how the last confirmation got here
   */
  viewAge(now: number): ViewAge {
    return { ageMs: this.#freshness.ageMs(now), path: this.#freshness.oldest.path };
  }

  /** Starts both watches. */
  start(): void {
    Object.values(this.#watches).forEach((watch) => {
      watch.run().catch((error: Error) => {
        this.#options.logger.error({ err: error }, 'store watch failed');
      });
    });
  }

  /** Stops both watches. */
  stop(): void {
    Object.values(this.#watches).forEach((watch) => watch.stop());
  }

  /**
   * Removes endpoints that are still missing after an outage of the store and its grace time, sends
   * heartbeats if this process is the watcher, and decides whether to rely on the watcher. Call it
   * periodically.
   */
  tick(): void {
    const { directory, group, now } = this.#options;
    this.#reportChanges(directory.removeMissing(now()), 'graceExpired');
    const watcher = group.storeWatcher();
    const isWatcher = watcher === group.incarnation;
    if (isWatcher) this.#sendHeartbeat(now());
    const { configuration, endpoints } = this.#watches;
    const known = { configuration: configuration.revision, endpoints: endpoints.revision };
    const obstacle = this.#watcherMonitor.findObstacle(watcher, known, now());
    const relies = !isWatcher && obstacle === undefined;
    // Changes that the watcher relays meanwhile are not relayed from here, so that the revisions
    // recorded here no longer tell what the other members have received.
    if (relies) Object.values(this.#relayedRevisions).forEach((revisions) => revisions.reset());
    if (relies !== this.#isRelying) {
      this.#isRelying = relies;
      const isFailing = Object.values(this.#watches).some((watch) => watch.isFailing);
      if (!relies && isFailing) directory.recordStoreFailure();
      const reported = this.#watcherMonitor.latestRevisions;
      this.#options.logger.info(
        { watcher, relies, obstacle, known, reported, ...this.viewAge(now()) },
        'store watcher changed',
      );
    }
    configuration.setRelayed(relies);
    endpoints.setRelayed(relies);
    // A process that relies on the watcher makes no calls that could end an outage of its own.
    if (relies) directory.recordStoreResponse(now());
    this.#reportOutage();
    this.#reportOldView(watcher);
  }

  /**
   * Processes a heartbeat or relayed changes of a watcher; other messages are ignored.
   *
   * @param from - incarnation of the sender
   * @param message - the decoded message
   */
  handle(from: string, message: PeerMessage): void {
    const { directory, group, now, logger, onRelayReceived } = this.#options;
    if (message._tag === 'storeWatcherAlive') {
      this.#watcherMonitor.recordHeartbeat(from, group.storeWatcher(), message, now());
      const { completeSince, confirmedMsAgo } = message;
      const { configuration, endpoints } = this.#watches;
      const known = { configuration: configuration.revision, endpoints: endpoints.revision };
      if (completeSince !== undefined && confirmedMsAgo !== undefined)
        if (!isBehind(known, completeSince)) {
          const confirmation = { at: now() - confirmedMsAgo, path: 'peer' } as const;
          this.#freshness.confirm('configuration', confirmation);
          this.#freshness.confirm('endpoints', confirmation);
        }
    }
    if (message._tag !== 'storeChanges') return;
    const { kind, fromRevision, toRevision, changes, afterOutage, graceMs } = message;
    // The watcher has seen an outage of the store that this process may not have seen.
    if (afterOutage) directory.extendGrace(graceMs ?? MISSING_ENTRY_GRACE_MS, now());
    const watch = this.#watches[kind];
    const known = watch.revision;
    const isApplied = watch.applyRelayed(fromRevision, toRevision, changes);
    onRelayReceived(kind, isApplied ? 'applied' : 'gap');
    if (isApplied) return;
    logger.warn({ kind, from, fromRevision, toRevision, known }, 'relayed changes leave a gap');
  }

  /**
   * Sends a heartbeat with the latest store revisions: to the failure domain at the short interval, to
   * all members at the long one or after a change.
   */
  #sendHeartbeat(now: number, isUrgent = false): void {
    if (!isUrgent && now - this.#heartbeatSentAt < HEARTBEAT_INTERVAL_MS) return;
    this.#heartbeatSentAt = now;
    const { configuration, endpoints } = this.#watches;
    const heartbeat: PeerMessage = {
      _tag: 'storeWatcherAlive',
      reached: configuration.reached && endpoints.reached,
      configurationRevision: configuration.lastChangeRevision,
      endpointsRevision: endpoints.lastChangeRevision,
      completeSince: {
        configuration: configuration.completeSince,
        endpoints: endpoints.completeSince,
      },
      confirmedMsAgo: now - Math.min(configuration.confirmedAt, endpoints.confirmedAt),
    };
    const { group } = this.#options;
    if (isUrgent || now - this.#broadcastSentAt >= BROADCAST_INTERVAL_MS) {
      this.#broadcastSentAt = now;
      group.broadcast(heartbeat);
    } else {
      group.sameDomainPeers().forEach(({ incarnation }) => group.send(incarnation, heartbeat));
    }
  }

  #relayChanges(
    kind: WatchedKind,
    fromRevision: number,
    toRevision: number,
    changes: readonly StoreChange[],
  ): void {
    const { group, directory, now, logger } = this.#options;
    const watcher = group.storeWatcher();
    if (watcher !== group.incarnation) {
      if (changes.length > 0) {
        logger.info({ kind, fromRevision, toRevision, watcher }, 'store changes not relayed');
      }
      return;
    }
    const graceMs = directory.remainingGraceMs(now());
    const afterOutage = graceMs > 0;
    const watched = {
      from: fromRevision,
      to: toRevision,
      isNews: changes.length > 0 || afterOutage,
    };
    const from = this.#relayedRevisions[kind].planRelay(watched, now());
    if (from === undefined) return;
    const message: PeerMessage = {
      _tag: 'storeChanges',
      kind,
      fromRevision: from,
      toRevision,
      changes,
      afterOutage,
      graceMs,
    };
    const peers = group
      .sameDomainPeers()
      .filter(({ incarnation }) => group.send(incarnation, message)).length;
    if (changes.length === 0) return;
    logger.info({ kind, fromRevision: from, toRevision, peers }, 'store changes relayed');
    this.#sendHeartbeat(now(), true);
  }

  #makeConfigurationListener(): StoreWatchListener {
    return {
      ...this.#makeHealthListener('store: configuration'),
      onList: (count) => this.#logList('configuration', count),
      onChanges: (changes, source) =>
        changes
          .filter(({ removed }) => !removed)
          .forEach(({ object }) => this.#applyConfiguration(object.spec, source)),
    };
  }

  #makeEndpointsListener(): StoreWatchListener {
    const { wire, directory, now } = this.#options;
    return {
      ...this.#makeHealthListener('store: endpoints'),
      onList: (count) => {
        this.#endpointsListed = true;
        this.#logList('endpoints', count);
      },
      onChanges: (changes, source) => {
        const directoryChanges = changes.flatMap(({ removed, object }) => {
          const record = removed ? undefined : wire.readEndpoint(object.name, object.spec);
          return record === undefined
            ? directory.remove(object.name, now())
            : directory.put(record);
        });
        this.#reportChanges(directoryChanges, source);
      },
    };
  }

  #makeHealthListener(name: string): Pick<StoreWatchListener, 'onAvailable' | 'onUnavailable'> {
    const { directory, group, logger, now } = this.#options;
    return {
      onAvailable: () => {
        directory.recordStoreResponse(now());
        if (group.storeWatcher() === group.incarnation) this.#sendHeartbeat(now(), true);
        logger.info({ dependency: name }, 'dependency regained');
      },
      onUnavailable: (detail) => {
        if (!this.#isRelying) directory.recordStoreFailure();
        if (group.storeWatcher() === group.incarnation) this.#sendHeartbeat(now(), true);
        logger.warn({ dependency: name, detail }, 'dependency lost');
      },
    };
  }

  #logList(kind: WatchedKind, objects: number): void {
    const { revision } = this.#watches[kind];
    this.#options.logger.info({ kind, revision, objects }, 'store listed');
  }

  /** Logs that the view has become old, with what it waits for, and that it no longer is. */
  #reportOldView(watcher: string): void {
    const { now, logger } = this.#options;
    const view = this.viewAge(now());
    const isOld = Number.isFinite(view.ageMs) && view.ageMs > OLD_VIEW_MS;
    if (isOld === this.#isOldViewReported) return;
    this.#isOldViewReported = isOld;
    const { configuration, endpoints } = this.#watches;
    const phases = { configuration: configuration.phase, endpoints: endpoints.phase };
    logger.info({ ...view, isOld, watcher, relies: this.#isRelying, phases }, 'store view age');
  }

  #reportOutage(): void {
    const { directory, now, logger } = this.#options;
    const phase = directory.outagePhase(now());
    if (phase === this.#reportedOutagePhase) return;
    const before = this.#reportedOutagePhase;
    this.#reportedOutagePhase = phase;
    logger.info({ phase, before, missing: directory.missingCount }, 'store outage');
  }

  #applyConfiguration(spec: unknown, source: StoreChangeSource): void {
    const table = this.#options.wire.readRouteTable(spec);
    if (table === undefined)
      this.#options.logger.warn('configuration in the store cannot be parsed');
    else this.#options.onConfiguration(table, source);
  }

  #reportChanges(
    changes: readonly EndpointChange[],
    source: StoreChangeSource | 'graceExpired',
  ): void {
    changes.forEach(({ _tag, record }) => {
      this.#options.logger.info(
        {
          endpoint: record.id,
          address: record.address,
          service: record.service,
          failureDomain: record.failureDomain,
          version: record.version,
          change: _tag,
          source,
          revision: this.#watches.endpoints.revision,
        },
        'endpoint changed',
      );
    });
    if (changes.length > 0) this.#options.onEndpointsChanged();
  }
}
