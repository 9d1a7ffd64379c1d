import type { Logger } from 'pino';
import {
  EXPIRY_OUTAGE_MS,
  RelayedRevisions,
  RelianceMonitor,
  ViewFreshness,
  isBehind,
  type Confirmation,
  type ConfirmationPath,
  type EndpointChange,
  type EndpointDirectory,
  type KnownRevisions,
  type Pause,
  type ViewKind,
} from '../../../coordination/gateway/index.ts';
import type { ObjectStore, StoreChange, WireAdapter } from '../../../protocol/gateway/index.ts';
import type { PeerMessage } from '../../../protocol/peer/PeerMessage.ts';
import type { EndpointRecord, RouteTable } from '../../../state/gateway/index.ts';
import { BACKLOG_MS } from '../PauseMonitor.ts';
import type { PeerGroup } from '../PeerGroup.ts';
import { StoreWatch, type StoreChangeSource, type StoreWatchListener } from './StoreWatch.ts';
import { ViewLog } from './ViewLog.ts';
import { ViewReporter } from './ViewReporter.ts';

/** What became of relayed changes: `gap` if changes before them are missing here, so that the view has a hole. */
export type RelayResult = 'applied' | 'gap';

type ViewReportMessage = Extract<PeerMessage, { readonly _tag: 'storeWatcherAlive' }>;
type StoreChangesMessage = Extract<PeerMessage, { readonly _tag: 'storeChanges' }> & {
  readonly kind: ViewKind;
};

/** How old the view of the store is, and what its age depends on. */
export interface ViewAge {
  /** Time since the store last confirmed the view of both kinds of objects, in ms. */
  readonly ageMs: number;
  /** How that confirmation reached this process. */
  readonly path: ConfirmationPath;
}

/** Whether the store is unavailable, or was so recently that entries may still be missing. */
export type OutagePhase = 'none' | 'unavailable' | 'grace';

/** Collaborators and callbacks of a store subscription. */
export interface StoreSubscriptionOptions {
  readonly store: ObjectStore;
  readonly wire: Pick<WireAdapter, 'readRouteTable' | 'readEndpoint'>;
  readonly directory: EndpointDirectory;
  readonly group: Pick<
    PeerGroup,
    'incarnation' | 'storeWatcher' | 'storeCallRank' | 'sameDomainPeers' | 'send' | 'broadcast'
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
  /**
   * Called with each record of an endpoint, its store revision, and whether the endpoint has registered since the
   * first list.
   */
  readonly onEndpointRecord?: (
    record: EndpointRecord,
    seen: { readonly revision: number; readonly isNew: boolean },
  ) => void;
  /** Called after changes in the directory of endpoints. */
  readonly onEndpointsChanged: () => void;
  /** Called for each message of relayed changes, with what became of it. */
  readonly onRelayReceived: (kind: ViewKind, result: RelayResult) => void;
}

/** Rank of the first member after the watcher, which reports to its failure domain while it calls the store itself. */
const DEPUTY_RANK = 1;

/**
 * Keeps the configuration and the endpoint directory up to date with the platform's store. One member
 * of each failure domain, the watcher, watches the store and relays changes to the others of its domain; a member
 * whose view gets old, or lacks what a peer reports, watches the store itself.
 */
export class StoreSubscription {
  readonly #options: StoreSubscriptionOptions;

  readonly #watches: Readonly<Record<ViewKind, StoreWatch>>;

  readonly #relianceMonitor = new RelianceMonitor();

  readonly #freshness = new ViewFreshness();

  /** Whether the watches are suspended because the watcher of the domain relays changes. */
  #isRelying = false;

  /** Store revisions up to which this process has relayed changes. */
  readonly #relayedRevisions: Readonly<Record<ViewKind, RelayedRevisions>> = {
    configuration: new RelayedRevisions(),
    endpoints: new RelayedRevisions(),
  };

  readonly #reporter: ViewReporter;

  readonly #log: ViewLog;

  /** The latest confirmation that a peer has reported, whether or not it holds for the view of this process. */
  #peerConfirmation: { readonly from: string; readonly at: number } | undefined;

  #endpointsListed = false;

  /** Last moment before the changes that are being applied at which the store confirmed the endpoints, in ms. */
  #endpointsListedAt = Number.NEGATIVE_INFINITY;

  /** Time since the last confirmation of the endpoints for which this process was paused, in ms. */
  #pausedMs = 0;

  /** End of the last pause of the process in ms. */
  #resumedAt = Number.NEGATIVE_INFINITY;

  constructor(options: StoreSubscriptionOptions) {
    this.#options = options;
    const { store, now, random, sleep, group } = options;
    const isReliedOn = (): boolean => group.storeWatcher() === group.incarnation;
    const common = { store, now, random, sleep, isReliedOn };
    const watch = (kind: ViewKind, listener: StoreWatchListener): StoreWatch =>
      new StoreWatch({
        ...common,
        kind,
        listener,
        onWatchResult: (from, to, changes) => this.#relayChanges(kind, from, to, changes),
        onConfirmed: (at) => this.#confirm(kind, { at, path: 'call' }),
      });
    this.#watches = {
      configuration: watch('configuration', this.#makeConfigurationListener()),
      endpoints: watch('endpoints', this.#makeEndpointsListener()),
    };
    this.#reporter = new ViewReporter({
      group,
      watches: this.#watches,
      freshness: this.#freshness,
    });
    this.#log = new ViewLog(options.logger, this.#watches);
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

  /**
   * Returns the phase of the present outage.
   *
   * @param now - present time in ms, monotonic
   * @returns `none` if a missing entry means that its endpoint has left
   */
  outagePhase(now: number): OutagePhase {
    const { at } = this.#freshness.confirmationOf('endpoints');
    if (Number.isFinite(at) && now - at - this.#pausedMs > EXPIRY_OUTAGE_MS) return 'unavailable';
    return this.#options.directory.remainingGraceMs(now) > 0 ? 'grace' : 'none';
  }

  /**
   * Records that the process was paused until now. That time is no outage of the store, and what peers sent meanwhile
   * arrives only now.
   *
   * @param pause - how long, by which clock
   */
  recordPause({ countedMs, uncountedMs }: Pause): void {
    this.#freshness.age(uncountedMs);
    this.#pausedMs += countedMs + uncountedMs;
    this.#resumedAt = this.#options.now();
    Object.values(this.#watches).forEach((watch) => watch.recordPause());
  }

  /** Asks the store for what has changed; resolves once it has answered or can't be reached. */
  async refresh(): Promise<void> {
    await Promise.all(Object.values(this.#watches).map((watch) => watch.refresh()));
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
   * Removes endpoints that are still missing after an outage of the store and its grace time, decides whether to
   * rely on peers, asks them for what is missing and reports to them what is known here. Call it periodically.
   */
  tick(): void {
    const { directory, group, now } = this.#options;
    // Entries that expired in an outage are registered again only after its end.
    if (this.outagePhase(now()) !== 'unavailable')
      this.#reportChanges(directory.removeMissing(now()), 'graceExpired');
    const watcher = group.storeWatcher();
    const rank = group.storeCallRank();
    const known = this.#known();
    const view = { known, ageMs: this.#freshness.ageMs(now()) };
    const obstacle = this.#relianceMonitor.findObstacle(view, rank, now());
    this.#requestMissing(known);
    const relies = rank > 0 && obstacle === undefined;
    if (rank === 0 || (rank === DEPUTY_RANK && !relies)) this.#reporter.sendWhenDue(now());
    // Changes that the watcher relays meanwhile are not relayed from here, so that the revisions
    // recorded here no longer tell what the other members have received.
    if (relies) Object.values(this.#relayedRevisions).forEach((revisions) => revisions.reset());
    if (relies !== this.#isRelying) {
      this.#isRelying = relies;
      const reported = this.#relianceMonitor.latestRevisions;
      this.#options.logger.info(
        { watcher, rank, relies, obstacle, known, reported, ...this.viewAge(now()) },
        'store watcher changed',
      );
    }
    Object.values(this.#watches).forEach((watch) => watch.setRelayed(relies));
    this.#log.recordOutage(this.outagePhase(now()), {
      missing: directory.missingCount,
      ageMs: Math.round(view.ageMs),
      peer: this.#peerConfirmation?.from,
      peerConfirmedMsAgo: this.#peerConfirmation && Math.round(now() - this.#peerConfirmation.at),
    });
    this.#log.recordAge(this.viewAge(now()), { watcher, relies });
  }

  /**
   * Processes reports of peers, changes that they send and their requests for changes; other messages are ignored.
   *
   * @param from - incarnation of the sender
   * @param message - the decoded message
   */
  handle(from: string, message: PeerMessage): void {
    if (message._tag === 'storeWatcherAlive') this.#receiveReport(from, message);
    else if (message._tag === 'storeChanges' && message.kind !== 'domainDrains')
      this.#receiveChanges(from, { ...message, kind: message.kind });
    else if (message._tag === 'storeChangesRequest' && message.kind !== 'domainDrains')
      this.#sendChangesSince(from, message.kind, message.sinceRevision);
  }

  #known(): KnownRevisions {
    const { configuration, endpoints } = this.#watches;
    return { configuration: configuration.revision, endpoints: endpoints.revision };
  }

  /** A peer that holds nothing that is missing here vouches for this view as far as the store does for its own. */
  #receiveReport(from: string, report: ViewReportMessage): void {
    const { reached, configurationRevision, endpointsRevision, completeSince } = report;
    // Reports of the build before may lack revisions of lists and the age.
    const required = completeSince ?? {
      configuration: configurationRevision,
      endpoints: endpointsRevision,
    };
    this.#relianceMonitor.recordReport(from, { required });
    if (!reached && report.confirmedMsAgo === undefined) return;
    const at = this.#options.now() - (report.confirmedMsAgo ?? 0);
    if (at > (this.#peerConfirmation?.at ?? Number.NEGATIVE_INFINITY))
      this.#peerConfirmation = { from, at };
    if (isBehind(this.#known(), required)) return;
    this.#confirm('configuration', { at, path: 'peer' });
    this.#confirm('endpoints', { at, path: 'peer' });
  }

  #receiveChanges(from: string, message: StoreChangesMessage): void {
    const { now, logger, onRelayReceived } = this.#options;
    const { kind, fromRevision, toRevision, changes, confirmedMsAgo = 0 } = message;
    const watch = this.#watches[kind];
    const known = watch.revision;
    if (watch.canApply(fromRevision) && toRevision >= known)
      this.#confirm(kind, { at: now() - confirmedMsAgo, path: 'peer' });
    const isApplied = watch.applyRelayed(fromRevision, toRevision, changes);
    onRelayReceived(kind, isApplied ? 'applied' : 'gap');
    if (isApplied) return;
    logger.warn({ kind, from, fromRevision, toRevision, known }, 'relayed changes leave a gap');
  }

  /** Asks the peer that reported the highest revisions for the changes that are missing here. */
  #requestMissing(known: KnownRevisions): void {
    const { group, now } = this.#options;
    const peer = this.#relianceMonitor.takeRequest(now());
    if (peer === undefined) return;
    const { latestRevisions } = this.#relianceMonitor;
    const kinds = ['configuration', 'endpoints'] as const;
    kinds
      .filter((kind) => known[kind] > 0 && known[kind] < latestRevisions[kind])
      .forEach((kind) =>
        group.send(peer, { _tag: 'storeChangesRequest', kind, sinceRevision: known[kind] }),
      );
  }

  #sendChangesSince(to: string, kind: ViewKind, revision: number): void {
    const { group, now, logger } = this.#options;
    const span = this.#watches[kind].changesSince(revision);
    if (span === undefined) return;
    const confirmedMsAgo = Math.max(0, now() - this.#freshness.confirmationOf(kind).at);
    group.send(to, { _tag: 'storeChanges', kind, ...span, confirmedMsAgo, afterOutage: false });
    logger.info(
      { kind, to, ...span, changes: span.changes.length },
      'store changes sent on request',
    );
  }

  /** Records a confirmation of the view, before the changes that come with it are applied. */
  #confirm(kind: ViewKind, confirmation: Confirmation): void {
    if (confirmation.path === 'peer' && this.#options.now() - this.#resumedAt < BACKLOG_MS) return;
    const previousAt = this.#freshness.confirm(kind, confirmation);
    if (kind !== 'endpoints') return;
    this.#endpointsListedAt = previousAt;
    this.#options.directory.recordConfirmation(previousAt + this.#pausedMs, confirmation.at);
    if (confirmation.at > previousAt) this.#pausedMs = 0;
  }

  #relayChanges(
    kind: ViewKind,
    fromRevision: number,
    toRevision: number,
    changes: readonly StoreChange[],
  ): void {
    const { group, directory, now, logger } = this.#options;
    const graceMs = directory.remainingGraceMs(now());
    const afterOutage = graceMs > 0;
    const isWatcher = group.storeWatcher() === group.incarnation;
    // A member that calls the store though it isn't the watcher passes on only what has changed.
    if (!isWatcher && changes.length === 0) return;
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
    logger.info(
      { kind, fromRevision: from, toRevision, peers, isWatcher },
      'store changes relayed',
    );
    if (group.storeCallRank() <= DEPUTY_RANK) this.#reporter.sendToAll(now());
  }

  #makeConfigurationListener(): StoreWatchListener {
    return {
      ...this.#makeHealthListener('store: configuration'),
      onList: (count) => this.#log.recordList('configuration', count),
      onChanges: (changes, source) =>
        changes
          .filter(({ removed }) => !removed)
          .forEach(({ object }) => this.#applyConfiguration(object.spec, source)),
    };
  }

  #makeEndpointsListener(): StoreWatchListener {
    const { wire, directory, now, onEndpointRecord } = this.#options;
    return {
      ...this.#makeHealthListener('store: endpoints'),
      onList: (count) => {
        this.#endpointsListed = true;
        this.#log.recordList('endpoints', count);
      },
      onChanges: (changes, source) => {
        const directoryChanges = changes.flatMap(({ removed, object }) => {
          const record = removed ? undefined : wire.readEndpoint(object.name, object.spec);
          if (record === undefined)
            return directory.remove(object.name, this.#endpointsListedAt, now());
          const changed = directory.put(record);
          const isAdded = changed.some(({ _tag }) => _tag === 'added');
          const isNew = isAdded && this.#endpointsListed;
          onEndpointRecord?.(record, { revision: object.revision, isNew });
          return changed;
        });
        this.#reportChanges(directoryChanges, source);
      },
    };
  }

  #makeHealthListener(name: string): Pick<StoreWatchListener, 'onAvailable' | 'onUnavailable'> {
    const { group, logger, now } = this.#options;
    return {
      onAvailable: () => {
        if (group.storeWatcher() === group.incarnation) this.#reporter.sendToAll(now());
        logger.info({ dependency: name }, 'dependency regained');
      },
      onUnavailable: (detail) => {
        if (group.storeWatcher() === group.incarnation) this.#reporter.sendToAll(now());
        logger.warn({ dependency: name, detail }, 'dependency lost');
      },
    };
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
    this.#log.recordEndpoints(changes, source, this.#options.now());
    if (changes.length > 0) this.#options.onEndpointsChanged();
  }
}
