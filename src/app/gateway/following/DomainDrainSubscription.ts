import type { Logger } from 'pino';
import type {
  ChangeSpan,
  DomainDrains,
  DrainChange,
  DrainObstacle,
} from '../../../coordination/gateway/index.ts';
import { eraOf, type ObjectStore, type StoreChange } from '../../../protocol/gateway/index.ts';
import type { PeerMessage } from '../../../protocol/peer/PeerMessage.ts';
import type { PeerGroup } from '../PeerGroup.ts';
import { recoveryDetails } from './recoveryDetails.ts';
import { StoreWatch } from './StoreWatch.ts';

/** Collaborators and callbacks of a subscription to the drains of failure domains. */
export interface DomainDrainSubscriptionOptions {
  readonly store: ObjectStore;
  readonly drains: DomainDrains;
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
  /** Called with drains that began or ended. */
  readonly onChanged: (changes: readonly DrainChange[]) => void;
}

const KIND = 'domainDrains';
/** Time after which a gateway calls the store itself for a change that a peer knows and that may follow others. */
const MAXIMUM_LAG_MS = 400;
/** Time without a tick after which messages that arrive may have been sent long ago, and for how long that holds. */
const PAUSE_MS = 400;
const AFTER_PAUSE_MS = 1_000;
/** The pauses after failed calls are longer than those of the other kinds, in proportion to the waits. */
const RETRY_FACTOR = 2.5;

/**
 * Keeps the drains of failure domains up to date with the platform's store. One member of each failure domain, the
 * watcher, calls the store; the others rely on what it relays while their view is young enough.
 */
export class DomainDrainSubscription {
  readonly #options: DomainDrainSubscriptionOptions;

  readonly #watch: StoreWatch | undefined;

  #isRelying = false;

  /** Whether the store has confirmed the view and peers haven't been notified yet. */
  #isConfirmationDue = false;

  /** Revision up to which this process has relayed all changes since it began to watch; undefined if unknown. */
  #relayedTo: number | undefined;

  /** Highest revision of a change that was relayed here. */
  #requiredRevision = 0;

  #laggingSince: number | undefined;

  #tickedAt: number | undefined;

  /** Until when confirmations of peers don't count, because they may have waited while this process was paused. */
  #distrustsUntil = Number.NEGATIVE_INFINITY;

  #reportedObstacle: DrainObstacle | undefined;

  constructor(options: DomainDrainSubscriptionOptions) {
    this.#options = options;
    const { store, drains, group, logger, now, random, sleep } = options;
    if (drains.timing === undefined) return;
    const dependency = 'store: drains';
    this.#watch = new StoreWatch({
      store,
      kind: KIND,
      now,
      random,
      sleep,
      isReliedOn: () => group.storeWatcher() === group.incarnation,
      timing: { waitMs: drains.timing.waitMs, retryFactor: RETRY_FACTOR },
      listener: {
        onList: (objects) => {
          drains.recordRead();
          logger.info({ kind: KIND, revision: this.#watch?.revision, objects }, 'store listed');
          this.#options.onChanged([]);
        },
        onChanges: (changes) => this.#apply(changes),
        onAvailable: (recovery) =>
          logger.info({ dependency, ...recoveryDetails(recovery, now()) }, 'dependency regained'),
        onUnavailable: (detail) => logger.warn({ dependency, detail }, 'dependency lost'),
      },
      onFailed: (sentAt) => drains.recordFailure(sentAt),
      onWatchResult: (span) => this.#relay(span),
      onConfirmed: (at) => {
        drains.confirm(at);
        this.#isConfirmationDue = true;
      },
    });
  }

  /** Starts the watch, if drains are followed. */
  start(): void {
    this.#watch?.run().catch((error: Error) => {
      this.#options.logger.error({ err: error }, 'store watch failed');
    });
  }

  /** Stops the watch. */
  stop(): void {
    this.#watch?.stop();
  }

  /** Decides whether to rely on peers, and notifies them that the store confirmed the view. Call it periodically. */
  tick(): void {
    const { drains, group, logger, now } = this.#options;
    const { timing } = drains;
    if (this.#watch === undefined || timing === undefined) return;
    this.#notePause(now());
    this.#tickedAt = now();
    const rank = group.storeCallRank();
    const ageMs = now() - drains.confirmedAt;
    const relies = rank > 0 && ageMs <= timing.relianceMs(rank) && !this.#isLagging(now());
    const wasRelying = this.#isRelying;
    if (relies) this.#relayedTo = undefined;
    if (relies !== wasRelying) {
      this.#isRelying = relies;
      const details = { kind: KIND, watcher: group.storeWatcher(), rank, relies, ageMs };
      logger.info(details, 'store watcher changed');
    }
    this.#watch.setRelayed(relies);
    // A member that had to call relies on others again by now, some of which the store may not answer.
    if (this.#isConfirmationDue && (!relies || !wasRelying)) {
      const { revision } = this.#watch;
      this.#relay({ fromRevision: revision, toRevision: revision, changes: [] });
    }
    this.#logObstacle();
  }

  /**
   * Processes relayed changes of the drains; other messages are ignored.
   *
   * @param message - the decoded message
   */
  handle(message: PeerMessage): void {
    if (message._tag !== 'storeChanges' || message.kind !== KIND) return;
    const { drains, now } = this.#options;
    const watch = this.#watch;
    if (watch === undefined) return;
    const { fromRevision, toRevision, changes, present, confirmedMsAgo = 0 } = message;
    this.#notePause(now());
    const isTrusted = now() >= this.#distrustsUntil;
    if (isTrusted && watch.canApply(fromRevision) && toRevision >= watch.revision)
      drains.confirm(now() - confirmedMsAgo);
    const { revision } = watch;
    watch.applyRelayed({ fromRevision, toRevision, changes, present });
    // What a peer has relayed needn't have reached those that rely on this process.
    if (watch.revision !== revision) this.#relayedTo = undefined;
    this.#requiredRevision = Math.max(
      this.#requiredRevision,
      ...changes.map(({ object }) => object.revision),
    );
  }

  #notePause(now: number): void {
    if (this.#tickedAt !== undefined && now - this.#tickedAt > PAUSE_MS)
      this.#distrustsUntil = now + AFTER_PAUSE_MS;
  }

  #isLagging(now: number): boolean {
    const isBehind = (this.#watch?.revision ?? 0) < this.#requiredRevision;
    this.#laggingSince = isBehind ? (this.#laggingSince ?? now) : undefined;
    return this.#laggingSince !== undefined && now - this.#laggingSince > MAXIMUM_LAG_MS;
  }

  /** Relays the result of an own call: changes to all members, a confirmation to those of the failure domain. */
  #relay({ fromRevision, toRevision, changes, present }: ChangeSpan): void {
    const { drains, group, now, logger } = this.#options;
    this.#isConfirmationDue = false;
    const isOfOneEra = eraOf(fromRevision) === eraOf(toRevision);
    const from = isOfOneEra ? (this.#relayedTo ?? fromRevision) : fromRevision;
    this.#relayedTo = toRevision;
    const message: PeerMessage = {
      _tag: 'storeChanges',
      kind: KIND,
      fromRevision: from,
      toRevision,
      confirmedMsAgo: Math.max(0, now() - drains.confirmedAt),
      afterOutage: false,
      changes,
      ...(present !== undefined && { present }),
    };
    if (changes.length === 0) {
      group.sameDomainPeers().forEach(({ incarnation }) => group.send(incarnation, message));
      return;
    }
    group.broadcast(message);
    logger.info({ kind: KIND, fromRevision: from, toRevision }, 'store changes relayed');
  }

  #apply(changes: readonly StoreChange[]): void {
    const { drains, onChanged } = this.#options;
    const changed = drains.apply(changes);
    if (changed.length > 0) onChanged(changed);
  }

  /** Logs that requests are held back because the drains aren't known, or no longer are. */
  #logObstacle(): void {
    const { drains, logger, now } = this.#options;
    const obstacle = drains.findObstacle(now());
    if (obstacle === this.#reportedObstacle) return;
    this.#reportedObstacle = obstacle;
    const ageMs = Math.round(now() - drains.confirmedAt);
    logger.info({ obstacle: obstacle ?? 'none', ageMs }, 'domain drains obstacle');
  }
}
