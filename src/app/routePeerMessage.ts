import type { Action } from '../coordination/Action.ts';
import type { ConfigurationReplica } from '../coordination/configuration/index.ts';
import type { RequestHome, HomeAction, OutcomeResolver } from '../coordination/home/index.ts';
import type { QuotaCache, QuotaAllocator } from '../coordination/limits/index.ts';
import type { Membership } from '../coordination/membership/index.ts';
import type { PeerDelivery } from '../protocol/peer/PeerNetwork.ts';
import type { PeerMessage } from '../protocol/peer/PeerMessage.ts';
import type { RequestStatus } from '../state/RequestOutcome.ts';
import { owningIncarnation } from '../state/RequestId.ts';
import type { PoolSchedulers } from './PoolSchedulers.ts';

/** Components of an entry that handle messages from peers. */
export interface PeerMessageHandlers {
  readonly membership: Membership;
  readonly home: RequestHome;
  readonly schedulers: PoolSchedulers;
  readonly quotaAllocator: QuotaAllocator;
  readonly quotaCache: QuotaCache;
  readonly configurationReplica: ConfigurationReplica;
  readonly outcomeResolver: OutcomeResolver;
  /** Status of a request as far as this process knows it, without asking peers. */
  readonly statusOf: (id: string) => RequestStatus | undefined;
  /** Whether an incarnation may still dispatch requests, by the time of its last message to this process. */
  readonly mayBeAlive: (incarnation: string, now: number) => boolean;
  /** Records the evidence about versions that a release message contains. */
  readonly recordRelease: (
    from: string,
    release: Extract<PeerDelivery['message'], { _tag: 'release' }>,
    now: number,
  ) => readonly Action[];
}

/**
 * Passes a peer's message to the component that handles it.
 *
 * @param handlers - components of this process
 * @param delivery - the message and its sender
 * @param now - present monotonic time in ms
 * @returns actions to execute in order
 */
export const routePeerMessage = (
  handlers: PeerMessageHandlers,
  { from, message }: PeerDelivery,
  now: number,
): readonly HomeAction[] => {
  const {
    membership,
    home,
    schedulers,
    quotaAllocator,
    quotaCache,
    configurationReplica,
    outcomeResolver,
  } = handlers;
  switch (message._tag) {
    case 'probe':
    case 'probeAck':
    case 'probeRequest':
    case 'membersRequest':
    case 'membersReply':
    case 'memberHashes':
    case 'memberRecords':
      return membership.handle(from, message, now);
    case 'reserve':
      return message.reservations.flatMap((reservation) =>
        schedulers.useScheduler(reservation.pool, now, (scheduler) =>
          scheduler.reserve(from, [reservation], now),
        ),
      );
    case 'withdraw':
      return schedulers.useAll((scheduler) => scheduler.withdraw(from, message.ids, now));
    case 'release':
      return [
        ...schedulers.useScheduler(message.pool, now, (scheduler) =>
          scheduler.release(from, message, now),
        ),
        ...handlers.recordRelease(from, message, now),
      ];
    case 'suspended':
      return schedulers.useScheduler(message.pool, now, (scheduler) =>
        scheduler.confirmSuspension(from, message.id, now),
      );
    case 'inFlight':
      return schedulers.useScheduler(message.pool, now, (scheduler) =>
        scheduler.adoptGrants(from, message, now),
      );
    case 'granted':
      return home.receiveGrants(from, message, now);
    case 'refused':
      return home.receiveRefusal(from, message, now);
    case 'suspend':
      return home.suspend(from, message.id);
    case 'resume':
      return home.resume(message.id);
    case 'quotaRequest':
      return quotaAllocator.handleRequest(from, message, now);
    case 'quotaReturn':
      quotaAllocator.handleReturn(from, message, now);
      return [];
    case 'quotaReply':
      quotaCache.handleReply(message, now);
      return home.retryQuota(message.account, now);
    case 'digest':
    case 'pull':
    case 'push':
    case 'instances':
      return configurationReplica.handle(from, message, now);
    case 'statusRequest': {
      const { question, id } = message;
      return [
        { _tag: 'send', to: from, message: createStatusReply(question, id, handlers.statusOf(id)) },
      ];
    }
    case 'voidRequest': {
      const { question, id } = message;
      const finding = schedulers.findRequest(id, handlers.mayBeAlive(owningIncarnation(id), now));
      return [{ _tag: 'send', to: from, message: { _tag: 'voidReply', question, id, finding } }];
    }
    case 'statusReply':
      return outcomeResolver.receiveStatusReply(from, message, now);
    case 'voidReply':
      return outcomeResolver.receiveVoidReply(from, message);
    // Sent only between gateways, which route requests without homes.
    case 'placementRequest':
    case 'placementGrant':
    case 'placementRefusal':
    case 'placementQueued':
    case 'placementWithdraw':
    case 'placementStarted':
    case 'placementEnd':
    case 'placementState':
    case 'schedulerAlive':
    case 'schedulerNotes':
    case 'endpointLimits':
    case 'crashReports':
    case 'servedReports':
    case 'quarantinedParts':
    case 'storeChanges':
    case 'storeChangesRequest':
    case 'storeView':
    case 'endpointsLeaving':
    case 'rolloutReports':
    case 'rolloutSteps':
    case 'storeWatcherAlive':
      return [];
    default:
      return message satisfies never;
  }
};

function createStatusReply(
  question: number,
  id: string,
  status: RequestStatus | undefined,
): PeerMessage {
  const reply = { _tag: 'statusReply', question, id } as const;
  return status === undefined ? reply : { ...reply, status };
}
