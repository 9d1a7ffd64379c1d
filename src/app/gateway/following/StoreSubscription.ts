import type { Logger } from 'pino';
import {
  PeerClocks,
  RelianceMonitor,
  StoreContact,
  ViewFreshness,
  graceUntil,
  isBehind,
  type Confirmation,
  type ConfirmationPath,
  type EndpointChange,
  type EndpointDirectory,
  type KnownRevisions,
  type Outage,
  type Pause,
  type ViewKind,
} from '../../../coordination/gateway/index.ts';
import {
  eraOf,
  formatPosition,
  type ObjectStore,
  type StoreObject,
  type StorePosition,
  type WireAdapter,
} from '../../../protocol/gateway/index.ts';
import type { ClockMoment } from '../../../protocol/peer/GatewayMessages.ts';
import type { PeerMessage } from '../../../protocol/peer/PeerMessage.ts';
import type { EndpointRecord, RouteTable } from '../../../state/gateway/index.ts';
import { BACKLOG_MS } from '../PauseMonitor.ts';
import type { PeerGroup } from '../PeerGroup.ts';
import { recordContact } from './recordContact.ts';
import { recoveryDetails } from './recoveryDetails.ts';
import { StoreWatch, type StoreChangeSource, type StoreWatchListener } from './StoreWatch.ts';
import { UnusableEntries } from './UnusableEntries.ts';
import { ViewExchange } from './ViewExchange.ts';
import { ViewLog, type EndpointChangeSource } from './ViewLog.ts';
import { ViewReporter } from './ViewReporter.ts';

/** What became of relayed changes: `gap` if changes before them are missing here, so that the view has a hole. */
export type RelayResult = 'applied' | 'gap';

type ViewReportMessage = Extract<PeerMessage, { readonly _tag: 'storeWatcherAlive' }>;
type StoreChangesMessage = Extract<PeerMessage, { readonly _tag: 'storeChanges' }> & {
  readonly kind: ViewKind;
};
type StoreViewMessage = Extract<PeerMessage, { readonly _tag: 'storeView' }> & {
  readonly kind: ViewKind;
};

/** How old the view of the store is, and what its age depends on. */
export interface ViewAge {
  /** Time since the store last confirmed the view of both kinds of objects, in ms. */
  readonly ageMs: number;
  /** How that confirmation reached this process. */
  readonly path: ConfirmationPath;
}

/** Time since an answer of the store to any member in which it is taken for available. */
const RECENT_CONTACT_MS = 1_500;

/** Whether the store is unavailable, or was so recently that entries may still be missing. */
export type OutagePhase = 'none' | 'unavailable' | 'grace';

/** Collaborators and callbacks of a store subscription. */
export interface StoreSubscriptionOptions {
  readonly store: ObjectStore;
  readonly wire: Pick<WireAdapter, 'readRouteTable' | 'readEndpoint' | 'findFaults'>;
  readonly directory: EndpointDirectory;
  readonly group: Pick<
    PeerGroup,
    | 'incarnation'
    | 'storeWatcher'
    | 'storeCallRank'
    | 'sameDomainPeers'
    | 'liveMembers'
    | 'otherStoreCallers'
    | 'send'
    | 'broadcast'
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
  /** Called with an endpoint that the store lists as ready although the same start of it drained. */
  readonly onReadyAgain?: (record: EndpointRecord) => void;
  /** Called after changes in the directory of endpoints. */
  readonly onEndpointsChanged: () => void;
  /** Called for each message of relayed changes, with what became of it. */
  readonly onRelayReceived: (kind: ViewKind, result: RelayResult) => void;
  /** Called once for each object that can't be used, or not as a whole. */
  readonly onUnusable: (kind: ViewKind) => void;
}

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

  readonly #contact = new StoreContact();

  readonly #clocks: PeerClocks;

  readonly #reporter: ViewReporter;

  readonly #exchange: ViewExchange;

  readonly #log: ViewLog;

  readonly #unusable: UnusableEntries;

  #endpointsListed = false;

  /** Last moment before the changes that are being applied at which the store confirmed the endpoints, in ms. */
  #endpointsListedAt = Number.NEGATIVE_INFINITY;

  /** Position up to which the endpoints are known only from an older copy of the store; -1 if there was none. */
  #copiedEndpointsUntil: StorePosition = -1;

  /** Time in which the store went back to an older copy, without entries that were written since; undefined if it didn't. */
  #restore: Outage | undefined;

  /** End of the last pause of the process in ms. */
  #resumedAt = Number.NEGATIVE_INFINITY;

  constructor(options: StoreSubscriptionOptions) {
    this.#options = options;
    const { store, now, random, sleep, group } = options;
    this.#clocks = new PeerClocks(group.incarnation);
    // While the store answers others, they supply the members of the domain.
    const isReliedOn = (): boolean =>
      group.storeWatcher() === group.incarnation && !this.#isAnsweredToOthers();
    const common = { store, now, random, sleep, isReliedOn };
    const watch = (kind: ViewKind, listener: StoreWatchListener): StoreWatch =>
      new StoreWatch({
        ...common,
        kind,
        listener,
        onWatchResult: (span, sentAt) => this.#exchange.relay(kind, span, now() - sentAt),
        onConfirmed: (at) =>
          this.#confirm(kind, { at, path: 'call', moment: this.#clocks.momentOf(at) }),
        onAnswered: () => this.#reportCallResult(),
        onError: (err) => options.logger.error({ err, kind }, 'store watch failed'),
      });
    this.#watches = {
      configuration: watch('configuration', this.#makeConfigurationListener()),
      endpoints: watch('endpoints', this.#makeEndpointsListener()),
    };
    this.#reporter = new ViewReporter({
      group,
      watches: this.#watches,
      freshness: this.#freshness,
      contact: this.#contact,
    });
    this.#exchange = new ViewExchange({
      group,
      watches: this.#watches,
      freshness: this.#freshness,
      contact: this.#contact,
      reliance: this.#relianceMonitor,
      reporter: this.#reporter,
      logger: options.logger,
      now,
    });
    this.#unusable = new UnusableEntries(options);
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

  /** Era of the store that the view is of; 0 before the first list, and for a store without eras. */
  get era(): number {
    return eraOf(this.#watches.endpoints.revision);
  }

  /**
   * Returns the phase of the present outage.
   *
   * @param now - present time in ms, monotonic
   * @returns `none` if a missing entry means that its endpoint has left
   */
  outagePhase(now: number): OutagePhase {
    const outage = this.#outage(now);
    if (outage?.endedAt === Number.POSITIVE_INFINITY) return 'unavailable';
    return graceUntil(outage) > now ? 'grace' : 'none';
  }

  /**
   * Records that the process was paused until now. That time is no outage of the store, and what peers sent meanwhile
   * arrives only now.
   *
   * @param pause - how long, by which clock
   */
  recordPause(pause: Pause): void {
    this.#freshness.age(pause.uncountedMs);
    this.#contact.recordPause(pause, this.#options.now());
    this.#clocks.recordPause();
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
   * Removes missing endpoints that need not be kept any longer, decides whether to rely on peers, asks them for what is
   * missing and reports to them what is known here. Call it periodically.
   */
  tick(): void {
    const { directory, group, now } = this.#options;
    const outage = this.#outage(now());
    this.#reportChanges(directory.removeMissing(outage, now()), 'graceExpired');
    const listedAt = this.#freshness.confirmationOf('endpoints').at;
    this.#reportChanges(directory.takeBack(now(), listedAt), 'drainExpired');
    const watcher = group.storeWatcher();
    const rank = group.storeCallRank();
    const known = this.#known();
    const view = { known, ageMs: this.#freshness.ageMs(now()) };
    const obstacle = this.#relianceMonitor.findObstacle(view, rank, now());
    this.#exchange.requestMissing(known);
    const relies = rank > 0 && obstacle === undefined;
    this.#reporter.sendChange(now());
    if (rank === 0) this.#reporter.sendWhenDue(now());
    // Changes that the watcher relays meanwhile are not relayed from here, so that the revisions
    // recorded here no longer tell what the other members have received.
    if (relies) this.#exchange.forgetRelayed();
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
      answeredMsAgo: Math.round(now() - (this.#contact.latest?.until ?? Number.NEGATIVE_INFINITY)),
    });
    this.#log.recordAge(this.viewAge(now()), { watcher, relies });
  }

  /**
   * Processes reports of peers, what they send of their views and their requests; other messages are ignored.
   *
   * @param from - incarnation of the sender
   * @param message - the decoded message
   */
  handle(from: string, message: PeerMessage): void {
    if (message._tag === 'storeWatcherAlive') {
      this.#receiveReport(from, message);
      return;
    }
    if (!('kind' in message) || message.kind === 'domainDrains') return;
    const { kind } = message;
    if (message._tag === 'storeChanges') this.#receiveChanges(from, { ...message, kind });
    else if (message._tag === 'storeView') this.#receiveView({ ...message, kind });
    else if (message._tag === 'storeChangesRequest')
      this.#exchange.answerRequest(from, kind, message.sinceRevision);
  }

  #known(): KnownRevisions {
    const { configuration, endpoints } = this.#watches;
    return { configuration: configuration.revision, endpoints: endpoints.revision };
  }

  /**
   * Returns the last time in which entries may have been lost although their endpoints live: the store answered no member,
   * or went back to an older copy.
   */
  #outage(now: number): Outage | undefined {
    const outage = this.#contact.outage(now);
    const restore = this.#restore;
    if (outage === undefined || restore === undefined) return outage ?? restore;
    return restore.endedAt > outage.endedAt ? restore : outage;
  }

  /** The store has come back from an older copy. What was written since is gone, and is written again by its owners. */
  #enterEra(kind: ViewKind, before: StorePosition, after: StorePosition): void {
    const { logger, now } = this.#options;
    if (kind === 'endpoints') {
      this.#copiedEndpointsUntil = after;
      this.#restore = { startedAt: this.#endpointsListedAt, endedAt: now() };
    }
    logger.warn(
      {
        kind,
        before: formatPosition(before),
        after: formatPosition(after),
        confirmedMsAgo: Math.round(now() - this.#endpointsListedAt),
      },
      'store went back to an older copy',
    );
  }

  /** Whether the store has answered any member lately. */
  #isAnsweredToOthers(): boolean {
    const { latest } = this.#contact;
    return latest !== undefined && this.#options.now() - latest.until < RECENT_CONTACT_MS;
  }

  /** A peer that holds nothing that is missing here vouches for this view as far as the store does for its own. */
  #receiveReport(from: string, report: ViewReportMessage): void {
    const { reached, configurationRevision, endpointsRevision, completeSince, gaps } = report;
    // Reports of the build before may lack revisions of lists and the age.
    const required = completeSince ?? {
      configuration: configurationRevision,
      endpoints: endpointsRevision,
    };
    const isConfirmed = reached || report.confirmedMsAgo !== undefined;
    const moment = report.confirmedAt;
    const at = this.#momentToLocal(moment, report.confirmedMsAgo ?? 0);
    const confirmedAt = isConfirmed ? at : Number.NEGATIVE_INFINITY;
    this.#relianceMonitor.recordReport(from, { required, confirmedAt });
    this.#hearOfStore(report);
    const known = this.#known();
    if (!isConfirmed || isBehind(known, required)) return;
    (['configuration', 'endpoints'] as const).forEach((kind) => {
      const gap = gaps?.[kind];
      const isInGap = gap !== undefined && known[kind] > gap.after && known[kind] < gap.until;
      if (!isInGap) this.#confirm(kind, { at, path: 'peer', moment });
    });
  }

  #receiveChanges(from: string, message: StoreChangesMessage): void {
    const { logger, onRelayReceived } = this.#options;
    const { kind, fromRevision, toRevision, confirmedMsAgo = 0, confirmedAt: moment } = message;
    const watch = this.#watches[kind];
    const known = watch.revision;
    this.#hearOfStore({ ...message, confirmedMsAgo });
    if (watch.canApply(fromRevision) && toRevision >= known)
      this.#confirm(kind, {
        at: this.#momentToLocal(moment, confirmedMsAgo),
        path: 'peer',
        moment,
      });
    const isApplied = watch.applyRelayed(message);
    onRelayReceived(kind, isApplied ? 'applied' : 'gap');
    if (isApplied) return;
    const positions = {
      fromRevision: formatPosition(fromRevision),
      toRevision: formatPosition(toRevision),
      known: formatPosition(known),
    };
    logger.warn({ kind, from, ...positions }, 'relayed changes leave a gap');
  }

  #receiveView(message: StoreViewMessage): void {
    const { kind, revision, objects, confirmedMsAgo, confirmedAt: moment } = message;
    const watch = this.#watches[kind];
    this.#hearOfStore(message);
    if (revision < watch.revision) return;
    const at = this.#momentToLocal(moment, confirmedMsAgo);
    this.#confirm(kind, { at, path: 'peer', moment });
    watch.applyView(revision, objects);
  }

  #momentToLocal(moment: ClockMoment | undefined, msAgo: number): number {
    const now = this.#options.now();
    return this.#clocks.toLocal(moment, now - msAgo, now);
  }

  /** Records what a peer says of when the store answered the group, unless the message may have waited in a pause. */
  #hearOfStore(message: Parameters<typeof recordContact>[2]): void {
    const now = this.#options.now();
    if (now - this.#resumedAt >= BACKLOG_MS)
      recordContact(this.#contact, this.#clocks, message, now);
  }

  /** Records a confirmation of the view, before the changes that come with it are applied. */
  #confirm(kind: ViewKind, confirmation: Confirmation): void {
    const { path } = confirmation;
    if (path === 'peer' && this.#options.now() - this.#resumedAt < BACKLOG_MS) return;
    const previousAt = this.#freshness.confirm(kind, confirmation);
    if (kind === 'endpoints') this.#endpointsListedAt = previousAt;
    // The store may have come back only after the call was sent.
    const now = this.#options.now();
    if (path === 'call')
      this.#contact.record({ from: now, until: now, untilMoment: this.#clocks.momentOf(now) });
  }

  /** Tells the failure domain of an answer to a call of this process, whose changes are applied by now. */
  #reportCallResult(): void {
    const { now, group } = this.#options;
    if (!this.#isRelying && group.storeCallRank() > 0 && this.#endpointsListed)
      this.#reporter.sendCallResult(now());
  }

  #makeConfigurationListener(): StoreWatchListener {
    return {
      ...this.#makeHealthListener('store: configuration'),
      onList: (count) => this.#log.recordList('configuration', count),
      onNewEra: (before, after) => this.#enterEra('configuration', before, after),
      onChanges: (changes, source) =>
        changes
          .filter(({ removed }) => !removed)
          .forEach(({ object }) => this.#applyConfiguration(object, source)),
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
      onNewEra: (before, after) => this.#enterEra('endpoints', before, after),
      onChanges: (changes, source) => {
        const outage = this.#outage(now());
        const directoryChanges = changes.flatMap(({ removed, object }) => {
          const record = removed ? undefined : wire.readEndpoint(object.name, object.spec);
          if (removed || record !== undefined) this.#unusable.forget('endpoints', object.name);
          else this.#unusable.record('endpoints', object);
          if (record === undefined)
            return directory.remove(object.name, this.#endpointsListedAt, outage, now());
          const isFromCopy = object.revision <= this.#copiedEndpointsUntil;
          const changed = directory.put(record, now(), isFromCopy);
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
      onAvailable: (recovery) => {
        if (group.storeWatcher() === group.incarnation) this.#reporter.sendToAll(now());
        const details = recoveryDetails(recovery, now());
        logger.info({ dependency: name, ...details }, 'dependency regained');
      },
      onUnavailable: (detail) => {
        if (group.storeWatcher() === group.incarnation) this.#reporter.sendToAll(now());
        logger.warn({ dependency: name, detail }, 'dependency lost');
      },
    };
  }

  /** A configuration that can't be read leaves the one before in force; entries that can't be are left out. */
  #applyConfiguration(object: StoreObject, source: StoreChangeSource): void {
    const { wire, onConfiguration } = this.#options;
    const table = wire.readRouteTable(object.spec);
    this.#unusable.forget('configuration', object.name);
    if (table === undefined || table.leftOut !== undefined)
      this.#unusable.record('configuration', object);
    if (table !== undefined) onConfiguration(table, source);
  }

  #reportChanges(changes: readonly EndpointChange[], source: EndpointChangeSource): void {
    this.#log.recordEndpoints(changes, source, this.#options.now());
    changes
      .filter(({ _tag }) => _tag === 'readyAgain')
      .forEach(({ record }) => this.#options.onReadyAgain?.(record));
    if (changes.length > 0) this.#options.onEndpointsChanged();
  }
}
