import type { Action } from '../coordination/Action.ts';
import type { ConfigurationReplica } from '../coordination/configuration/index.ts';
import type { Home, HomeStep, Inquiry } from '../coordination/home/index.ts';
import type { QuotaCache, QuotaLedger } from '../coordination/limits/index.ts';
import type { Membership } from '../coordination/membership/index.ts';
import type { PeerDelivery } from '../protocol/peer/PeerNetwork.ts';
import type { PeerMessage } from '../protocol/peer/PeerMessage.ts';
import type { RequestStatus } from '../state/Outcome.ts';
import { homeOf } from '../state/RequestId.ts';
import type { PoolSchedulers } from './PoolSchedulers.ts';

/** The machines that peers' messages go to. */
export interface PeerMessageHandlers {
  readonly membership: Membership;
  readonly home: Home;
  readonly schedulers: PoolSchedulers;
  readonly quotaLedger: QuotaLedger;
  readonly quotaCache: QuotaCache;
  readonly configurationReplica: ConfigurationReplica;
  readonly inquiry: Inquiry;
  /** What this process knows of a request by itself. */
  readonly statusOf: (id: string) => RequestStatus | undefined;
  /** Whether a request's home may still dispatch it, as far as this process has heard. */
  readonly mayBeAlive: (incarnation: string, now: number) => boolean;
  /** Takes the evidence on versions that a release holds. */
  readonly recordRelease: (
    from: string,
    release: Extract<PeerDelivery['message'], { _tag: 'release' }>,
    now: number,
  ) => readonly Action[];
}

/**
 * Hands a peer's message to the machine that it is for.
 *
 * @param machines - this process's machines
 * @param delivery - the message and its sender
 * @param now - present monotonic time, ms
 * @returns steps to carry out in order
 */
export const routePeerMessage = (
  machines: PeerMessageHandlers,
  { from, message }: PeerDelivery,
  now: number,
): readonly HomeStep[] => {
  const {
    membership,
    home,
    schedulers,
    quotaLedger: ledger,
    quotaCache: cache,
    configurationReplica: board,
    inquiry,
  } = machines;
  switch (message._tag) {
    case 'probe':
    case 'probeAck':
    case 'probeRequest':
    case 'membersRequest':
    case 'membersReply':
      return membership.handle(from, message, now);
    case 'reserve':
      return message.reservations.flatMap((reservation) =>
        schedulers.useScheduler(reservation.pool, now, (scheduler) =>
          scheduler.reserve(from, [reservation], now),
        ),
      );
    case 'withdraw':
      return schedulers.useAllSchedulers((scheduler) => scheduler.withdraw(from, message.ids, now));
    case 'release':
      return [
        ...schedulers.useScheduler(message.pool, now, (scheduler) =>
          scheduler.release(from, message, now),
        ),
        ...machines.recordRelease(from, message, now),
      ];
    case 'suspended':
      return schedulers.useScheduler(message.pool, now, (scheduler) =>
        scheduler.suspended(from, message.id, now),
      );
    case 'inFlight':
      return schedulers.useScheduler(message.pool, now, (scheduler) =>
        scheduler.adopt(from, message, now),
      );
    case 'granted':
      return home.granted(from, message, now);
    case 'refused':
      return home.refused(from, message, now);
    case 'suspend':
      return home.suspend(from, message.id);
    case 'resume':
      return home.resume(message.id);
    case 'quotaRequest':
      return ledger.request(from, message, now);
    case 'quotaReturn':
      ledger.return(from, message, now);
      return [];
    case 'quotaReply':
      cache.handle(message, now);
      return home.retryLimited(message.account, now);
    case 'digest':
    case 'pull':
    case 'push':
    case 'instances':
      return board.handle(from, message, now);
    case 'statusRequest': {
      const { question, id } = message;
      return [
        { _tag: 'send', to: from, message: statusReply(question, id, machines.statusOf(id)) },
      ];
    }
    case 'voidRequest': {
      const { question, id } = message;
      const finding = schedulers.findRequest(id, machines.mayBeAlive(homeOf(id), now));
      return [{ _tag: 'send', to: from, message: { _tag: 'voidReply', question, id, finding } }];
    }
    case 'statusReply':
      return inquiry.statusReply(from, message, now);
    case 'voidReply':
      return inquiry.voidReply(from, message);
    // Said among gateways only, which route requests without homes.
    case 'placementRequest':
    case 'placementGrant':
    case 'placementRefusal':
    case 'placementWithdraw':
    case 'placementStarted':
    case 'placementEnd':
    case 'placementState':
    case 'schedulerAlive':
    case 'schedulerNotes':
    case 'storeChanges':
    case 'storeWatcherAlive':
      return [];
    default:
      return message satisfies never;
  }
};

function statusReply(question: number, id: string, status: RequestStatus | undefined): PeerMessage {
  const reply = { _tag: 'statusReply', question, id } as const;
  return status === undefined ? reply : { ...reply, status };
}
