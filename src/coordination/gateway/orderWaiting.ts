import type { PlacementTicket } from '../../protocol/peer/Placement.ts';
import { forecast } from './chooseEngine.ts';
import type { EngineLoad } from './EngineLoad.ts';
import type { ServedShares } from './ServedShares.ts';

/** A request in the queue. */
export interface WaitingPlacement {
  /** Incarnation of the gateway that it came to. */
  readonly owner: string;
  readonly ticket: PlacementTicket;
  readonly arrivedAt: number;
}

/** Share of its requests that a route gets before any rank counts, so that none is starved. */
const LEAST_SERVED_SHARE = 0.2;

/**
 * Orders what waits: first routes that get too little, then what can still be on time, then by rank
 * and arrival.
 *
 * @param waiting - the queue
 * @param engines - engines of the service
 * @param shares - what each route got lately
 * @param now - present time in ms
 * @returns the queue in the order in which slots are given out
 */
export const orderWaiting = (
  waiting: readonly WaitingPlacement[],
  engines: readonly EngineLoad[],
  shares: ServedShares,
  now: number,
): WaitingPlacement[] => {
  const keyed = waiting.map((entry) => {
    const { ticket, arrivedAt } = entry;
    const leftMs = ticket.targetMs - (now - arrivedAt) - forecast(ticket, engines).firstTokenMs;
    return {
      entry,
      starved: shares.share(ticket.route, now) < LEAST_SERVED_SHARE ? 0 : 1,
      late: leftMs < 0 ? 1 : 0,
    };
  });
  keyed.sort(
    (a, b) =>
      a.starved - b.starved ||
      a.late - b.late ||
      a.entry.ticket.priority - b.entry.ticket.priority ||
      a.entry.arrivedAt - b.entry.arrivedAt,
  );
  return keyed.map(({ entry }) => entry);
};
