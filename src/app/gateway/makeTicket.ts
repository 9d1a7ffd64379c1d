import type { PlacementTicket } from '../../protocol/peer/Placement.ts';
import type { RoutedRequest } from './RoutedRequest.ts';

/** What a ticket says besides what its request says. */
export interface TicketTimes {
  /** Number of the offer, from 1. */
  readonly placementNumber: number;
  readonly waitedMs: number;
  readonly remainingMs: number;
  /** Whether the caller has part of the answer already. */
  readonly begun: boolean;
  /** Endpoints that it was offered to before. */
  readonly avoid: readonly string[];
}

const MAXIMUM_AVOIDED = 16;

/** Units of the account's quota that a request stands for. */
const quotaUnitsOf = ({ account, fields }: RoutedRequest): number => {
  if (account === undefined) return 0;
  if (account.quota.unit === 'requests') return 1;
  return fields.sized
    ? fields.promptTokens + fields.maximumOutputTokens
    : account.quota.defaultTokens;
};

/** Makes the ticket by which a request asks for a slot at a model engine. */
export const makeTicket = (
  request: RoutedRequest,
  { placementNumber: offer, waitedMs, remainingMs, begun, avoid }: TicketTimes,
): PlacementTicket => {
  const { id, fields, account, route, service } = request;
  const expected = fields.expectedOutputTokens ?? fields.maximumOutputTokens;
  return {
    id: `${id}/${offer}`,
    service: service.name,
    route: route.name,
    ...(account && { account: account.name }),
    accountPriority: account?.priority ?? 0,
    priority: route.priority,
    promptTokens: fields.promptTokens,
    outputTokens: Math.min(expected, Math.max(1, fields.maximumOutputTokens)),
    quotaUnits: offer === 1 ? quotaUnitsOf(request) : 0,
    targetMs: begun ? remainingMs : route.targetLatencyMs - waitedMs - request.waitedBeforeMs,
    gapMs: route.targetGapMs,
    tokensPerEvent: service.engine?.tokensPerEvent ?? 1,
    remainingMs,
    avoid: avoid.slice(-MAXIMUM_AVOIDED),
  };
};
