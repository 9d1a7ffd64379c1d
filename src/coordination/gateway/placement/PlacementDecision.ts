import type {
  PlacementRefusalReason,
  PlacementTicket,
} from '../../../protocol/peer/GatewayMessages.ts';

/** Whether an engine is faster than the mean of its service's usable engines. */
export type EngineSpeedGroup = 'fast' | 'slow';

/** A scheduler's decision for one ticket. */
export type PlacementDecision =
  | {
      readonly _tag: 'grant';
      readonly owner: string;
      readonly ticket: PlacementTicket;
      readonly endpoint: string;
      readonly waitedMs: number;
      /** Expected time to first token, in ms. */
      readonly firstTokenMs: number;
      /** Slots that are left at the engine after the grant. */
      readonly freeSlots: number;
      readonly engineGroup: EngineSpeedGroup;
      /** Whether its account was above its share, so that it yielded to others. */
      readonly aboveShare: boolean;
      /** Whether the ticket waited because all endpoints that it could use were at their caps. */
      readonly isDelayedByCap?: boolean;
    }
  | {
      readonly _tag: 'refuse';
      readonly owner: string;
      readonly ticket: PlacementTicket;
      readonly reason: PlacementRefusalReason;
      readonly waitedMs: number;
      /** Expected time until a slot would have been free, in ms. */
      readonly expectedWaitMs: number;
      /** Time after which the caller should retry, in ms. */
      readonly retryAfterMs: number;
      /** Whether its account was above its share, so that it yielded to others; absent if it wasn't queued. */
      readonly aboveShare?: boolean;
      /** Engines of the service, and those of them that this request could use; absent if it wasn't queued. */
      readonly engines?: { readonly listed: number; readonly usable: number };
      /** Whether the ticket waited because all endpoints that it could use were at their caps. */
      readonly isDelayedByCap?: boolean;
    };
