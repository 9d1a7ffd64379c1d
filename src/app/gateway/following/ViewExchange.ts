import type { Logger } from 'pino';
import {
  RelayedRevisions,
  type ChangeSpan,
  type KnownRevisions,
  type RelianceMonitor,
  type StoreContact,
  type ViewFreshness,
  type ViewKind,
} from '../../../coordination/gateway/index.ts';
import { formatPosition } from '../../../protocol/gateway/index.ts';
import type { ClockMoment } from '../../../protocol/peer/GatewayMessages.ts';
import type { PeerMessage } from '../../../protocol/peer/PeerMessage.ts';
import type { PeerGroup } from '../PeerGroup.ts';
import type { StoreWatch } from './StoreWatch.ts';
import { reportContact } from './reportContact.ts';
import type { ViewReporter } from './ViewReporter.ts';

/** Rank of the first member after the watcher. */
const DEPUTY_RANK = 1;

/** What a view exchange sends, and to whom. */
export interface ViewExchangeOptions {
  readonly group: Pick<
    PeerGroup,
    'incarnation' | 'storeWatcher' | 'storeCallRank' | 'sameDomainPeers' | 'liveMembers' | 'send'
  >;
  readonly watches: Readonly<Record<ViewKind, StoreWatch>>;
  readonly freshness: ViewFreshness;
  readonly contact: StoreContact;
  readonly reliance: RelianceMonitor;
  readonly reporter: ViewReporter;
  readonly logger: Logger;
  /** Present time in ms, monotonic. */
  readonly now: () => number;
}

/** Sends peers what this process has read of the store, and asks them for what it lacks. */
export class ViewExchange {
  readonly #options: ViewExchangeOptions;

  /** Store revisions up to which this process has relayed changes. */
  readonly #relayedRevisions: Readonly<Record<ViewKind, RelayedRevisions>> = {
    configuration: new RelayedRevisions(),
    endpoints: new RelayedRevisions(),
  };

  constructor(options: ViewExchangeOptions) {
    this.#options = options;
  }

  /**
   * Relays the result of an own call to the members of the failure domain.
   *
   * @param kind - kind of the objects
   * @param span - the changes, and between which store revisions they are complete
   * @param callMs - how long the call took, in ms
   */
  relay(
    kind: ViewKind,
    { fromRevision, toRevision, changes, present }: ChangeSpan,
    callMs: number,
  ): void {
    const { group, logger, now, reporter } = this.#options;
    const isWatcher = group.storeWatcher() === group.incarnation;
    const revisions = this.#relayedRevisions[kind];
    const watched = {
      from: fromRevision,
      to: toRevision,
      isNews: changes.length > 0 || present !== undefined,
    };
    // A member that calls the store though it isn't the watcher relays only what has changed.
    if (!isWatcher && !watched.isNews) {
      revisions.recordUnchanged(watched);
      return;
    }
    const from = revisions.planRelay(watched, now());
    if (from === undefined) return;
    const message = this.#makeChanges(kind, { fromRevision: from, toRevision, changes, present });
    const peers = group
      .sameDomainPeers()
      .filter(({ incarnation }) => group.send(incarnation, message)).length;
    if (changes.length === 0) return;
    // The store may have answered at any time within the call.
    const times = {
      callMs: Math.round(callMs),
      ageMs: Math.round(this.#confirmation(kind).confirmedMsAgo),
    };
    const positions = {
      fromRevision: formatPosition(from),
      toRevision: formatPosition(toRevision),
    };
    logger.info({ kind, ...positions, peers, isWatcher, ...times }, 'store changes relayed');
    if (group.storeCallRank() <= DEPUTY_RANK) reporter.reportChange();
  }

  /** Records that another member relays what changes from now on, so that spans from here can't reach back. */
  forgetRelayed(): void {
    Object.values(this.#relayedRevisions).forEach((revisions) => revisions.reset());
  }

  /**
   * Asks a peer for what the view lacks, if anything. Call it periodically.
   *
   * @param known - store revisions of the view
   */
  requestMissing(known: KnownRevisions): void {
    const { group, reliance, watches, now } = this.#options;
    const kinds = (['configuration', 'endpoints'] as const).filter(
      // A process that has no view yet lists the objects itself, unless the store doesn't answer it.
      (kind) => known[kind] > 0 || watches[kind].hasFailed,
    );
    if (kinds.length === 0) return;
    const peer = reliance.takeRequest(this.#listPeers(), now());
    if (peer === undefined) return;
    kinds.forEach((kind) =>
      group.send(peer, { _tag: 'storeChangesRequest', kind, sinceRevision: known[kind] }),
    );
  }

  /**
   * Answers a peer that asks what its view lacks: with the changes, or all objects if it has none, and with a report,
   * which confirms the view if it lacks nothing.
   *
   * @param to - incarnation of the peer
   * @param kind - kind of the objects
   * @param revision - store revision up to which its view is complete
   */
  answerRequest(to: string, kind: ViewKind, revision: number): void {
    const { group, watches, logger, now, reporter } = this.#options;
    const watch = watches[kind];
    const span = watch.changesSince(revision);
    if (span !== undefined) {
      group.send(to, this.#makeChanges(kind, span));
      const { fromRevision, toRevision, changes } = span;
      const details = {
        kind,
        to,
        fromRevision: formatPosition(fromRevision),
        toRevision: formatPosition(toRevision),
        changes: changes.length,
      };
      logger.info(details, 'store changes sent on request');
    } else if (revision < watch.revision) {
      group.send(to, {
        _tag: 'storeView',
        kind,
        revision: watch.revision,
        objects: watch.objects,
        ...this.#confirmation(kind),
        ...reportContact(this.#options.contact, now()),
      });
      const details = {
        kind,
        to,
        known: formatPosition(revision),
        revision: formatPosition(watch.revision),
      };
      logger.info(details, 'store view sent on request');
    }
    if (watch.revision > 0) reporter.sendTo(to, now());
  }

  #makeChanges(kind: ViewKind, { fromRevision, toRevision, changes, present }: ChangeSpan) {
    const { contact, now } = this.#options;
    return {
      _tag: 'storeChanges',
      kind,
      fromRevision,
      toRevision,
      changes,
      ...(present !== undefined && { present }),
      ...this.#confirmation(kind),
      afterOutage: false,
      ...reportContact(contact, now()),
    } satisfies PeerMessage;
  }

  /** Returns the part of a message that tells when the store confirmed the view. */
  #confirmation(kind: ViewKind): {
    readonly confirmedMsAgo: number;
    readonly confirmedAt?: ClockMoment;
  } {
    const { freshness, now } = this.#options;
    const { at, moment } = freshness.confirmationOf(kind);
    const confirmedMsAgo = Math.max(0, now() - at);
    return moment === undefined ? { confirmedMsAgo } : { confirmedMsAgo, confirmedAt: moment };
  }

  /** Lists the other members, beginning at another one in each process, so that not all ask the same. */
  #listPeers(): readonly string[] {
    const { group } = this.#options;
    const members = group.liveMembers().map(({ incarnation }) => incarnation);
    members.sort();
    const own = members.indexOf(group.incarnation);
    return [...members.slice(own + 1), ...members.slice(0, Math.max(0, own))];
  }
}
