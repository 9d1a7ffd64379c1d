import {
  MAXIMUM_EXCLUDED_ENDPOINTS,
  limitPromptParts,
  type PlacementTicket,
} from '../../../protocol/peer/GatewayMessages.ts';
import type { Account } from '../../../state/gateway/index.ts';
import type { RoutedRequest } from '../request/RoutedRequest.ts';

/** How far a request has progressed when it asks for a slot. */
export interface RequestProgress {
  /** Number of this placement of the request, from 1. */
  readonly placementNumber: number;
  /** Time since the arrival of the request. */
  readonly waitedMs: number;
  /** Time until the deadline of the request. */
  readonly remainingMs: number;
  /** Whether the caller has already received part of the answer. */
  readonly answerBegun: boolean;
  /** Ids of endpoints that did not serve the request earlier, the latest one last. */
  readonly avoid: readonly string[];
  /** Endpoints of the service to which this gateway must not send requests for now. */
  readonly excluded: NonNullable<PlacementTicket['excluded']>;
  /** Whether it is refused rather than queued. */
  readonly immediate: boolean;
  /** Whether an earlier ticket of the request may have been charged to its quota. */
  readonly isCharged: boolean;
  /** The request's fingerprint if it is in quarantine; otherwise empty. */
  readonly quarantined: readonly string[];
}

/** Limit of the peer protocol for the `avoid` list of a ticket. */
const MAXIMUM_AVOIDED_ENDPOINTS = 16;

/**
 * Returns the units that a request takes of its client account's quota: requests or tokens. Requests of plain
 * services take none.
 */
const computeQuotaUnits = ({ account, fields, service }: RoutedRequest): number => {
  if (account === undefined || service.engine === undefined) return 0;
  if (account.quota.unit === 'requests') return 1;
  return fields.hasTokenCount
    ? fields.promptTokens + fields.maximumOutputTokens
    : account.quota.defaultTokens;
};

/** Rates in requests and in tokens can't be compared, so only token quotas weigh shares. */
const accountWeightOf = ({
  quota: { unit, ratePerSecond },
}: Account): Pick<PlacementTicket, 'accountWeight'> =>
  unit === 'tokens' && ratePerSecond > 0 ? { accountWeight: ratePerSecond } : {};

/**
 * Creates the ticket with which a request asks the scheduler for a slot at a model engine, or at an
 * endpoint that states a limit. Only the first ticket of a request is charged against the quota.
 *
 * @param request - the routed request
 * @param progress - earlier placements and remaining time
 * @returns the ticket
 */
export const makePlacementTicket = (
  request: RoutedRequest,
  {
    placementNumber,
    waitedMs,
    remainingMs,
    answerBegun,
    avoid,
    excluded,
    immediate,
    quarantined,
    isCharged,
  }: RequestProgress,
): PlacementTicket => {
  const { id, fields, account, route, service, forwarded } = request;
  const number =
    forwarded === undefined ? `${placementNumber}` : `${forwarded.forwarding}.${placementNumber}`;
  const expectedOutputTokens = fields.expectedOutputTokens ?? fields.maximumOutputTokens;
  return {
    id: `${id}/${number}`,
    service: service.name,
    route: route.name,
    ...(account && { account: account.name }),
    accountPriority: account?.priority ?? 0,
    ...(account && accountWeightOf(account)),
    priority: route.priority,
    promptTokens: fields.promptTokens,
    outputTokens: Math.min(expectedOutputTokens, Math.max(1, fields.maximumOutputTokens)),
    quotaUnits: isCharged ? 0 : computeQuotaUnits(request),
    targetMs: answerBegun ? remainingMs : route.targetLatencyMs - waitedMs - request.waitedBeforeMs,
    ...(request.waitedBeforeMs > 0 && { retriedAfterMs: request.waitedBeforeMs }),
    gapMs: route.targetGapMs,
    tokensPerEvent: service.engine?.tokensPerEvent ?? 1,
    remainingMs,
    avoid: avoid.slice(-MAXIMUM_AVOIDED_ENDPOINTS),
    promptParts: limitPromptParts([...quarantined, ...fields.sharedPromptParts]),
    ...(excluded.length > 0 && { excluded: excluded.slice(0, MAXIMUM_EXCLUDED_ENDPOINTS) }),
    ...(immediate && { immediate }),
  };
};
