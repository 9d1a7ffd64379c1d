/** Asks whether the process that gave an answer still runs. Times are in ms, monotonic. */
export interface Inquiry {
  /** Present time: what the process sent before it shows nothing. */
  readonly at: number;
  /** When the last bytes arrived before the silence in which another process may have taken its place. */
  readonly quietSince: number;
  /** When that other process can have accepted its first connection. */
  readonly acceptsFrom: number;
}

/** What an inquiry found; only `runs` shows anything, since a connection may break for many reasons. */
export type InquiryFinding = 'runs' | 'unanswered' | 'noConnection';

/** A connection that ended without an answer. */
export interface LostConnection {
  readonly at: number;
  /** Since when its process was known to have run. */
  readonly runsSince: number;
}

/**
 * Returns before when a connection must have been opened to belong to the process of an inquiry. Connections that were opened
 * early in the silence belong to it too, because a new process takes a while to start, unless one from before was lost
 * meanwhile: the new process may then have started sooner.
 *
 * @param inquiry - the inquiry
 * @param losses - connections to the server that ended lately
 * @returns the time in ms
 */
export const findTrustLimit = (
  { quietSince, acceptsFrom }: Inquiry,
  losses: readonly LostConnection[],
): number =>
  losses.some(({ at, runsSince }) => at >= quietSince && runsSince <= quietSince)
    ? quietSince
    : acceptsFrom;
