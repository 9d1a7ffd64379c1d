import type { PlacementTicket } from '../../../protocol/peer/GatewayMessages.ts';
import { chooseEngine, type EngineCandidate, type PlacementLimits } from './chooseEngine.ts';
import type { EngineGroup } from './EngineGroup.ts';
import type { EngineLoad } from './EngineLoad.ts';
import { MAXIMUM_HEDGED_OCCUPANCY } from './HedgePolicy.ts';

/** Expected times count as equal up to this ratio, since they are estimates. */
const EQUAL_TIME_FACTOR = 1.1;

/** State of the service at the turn of a ticket. */
export interface HedgeContext {
  /** All usable engines of the service. */
  readonly group: EngineGroup;
  /** Engines that may get the second copy. */
  readonly engines: readonly EngineLoad[];
  /** Whether other tickets wait for a slot. */
  readonly hasQueue: boolean;
}

/**
 * Chooses the engine of a second copy, in another failure domain than the first if one is about as fast.
 *
 * @param ticket - the ticket of the second copy
 * @param context - state of the service
 * @param limits - the conditions that the placement must meet
 * @returns the engine; undefined if none is suitable or the service is short of free slots
 */
export const admitHedge = (
  ticket: PlacementTicket & { readonly hedge: NonNullable<PlacementTicket['hedge']> },
  { group, engines, hasQueue }: HedgeContext,
  limits: PlacementLimits,
): EngineCandidate | undefined => {
  const slots = group.engines.reduce((sum, engine) => sum + limits.slotLimitOf(engine), 0);
  const occupied = group.engines.reduce((sum, { running }) => sum + running.size, 0);
  if (hasQueue || occupied + 1 > MAXIMUM_HEDGED_OCCUPANCY * slots) return undefined;
  const warm = engines.filter(({ record }) => record.coldMs <= 0);
  const best = chooseEngine(ticket, warm, limits);
  const { failureDomain } = ticket.hedge;
  const elsewhere = warm.filter(({ record }) => record.failureDomain !== failureDomain);
  const other = chooseEngine(ticket, elsewhere, limits);
  const isAsGood =
    best !== undefined && other !== undefined && other.totalMs <= EQUAL_TIME_FACTOR * best.totalMs;
  return isAsGood ? other : best;
};
