import type { PeerClocks, StoreContact } from '../../../coordination/gateway/index.ts';
import type { StoreContactReport } from '../../../protocol/peer/GatewayMessages.ts';

/**
 * Records what a peer says of when the store answered the group.
 *
 * @param contact - where it is recorded
 * @param clocks - the clocks of the members
 * @param message - the peer's message; one of an older build has no contact, but may have a confirmation
 * @param now - present time in ms, monotonic
 */
export const recordContact = (
  contact: StoreContact,
  clocks: PeerClocks,
  message: {
    readonly contact?: StoreContactReport | undefined;
    readonly confirmedMsAgo?: number | undefined;
  },
  now: number,
): void => {
  const { contact: report, confirmedMsAgo } = message;
  if (report !== undefined) {
    const until = clocks.toLocal(report.until, now - report.untilMsAgo, now);
    const from = Math.min(until, now - report.fromMsAgo);
    contact.record({ from, until, untilMoment: report.until });
  } else if (confirmedMsAgo !== undefined)
    contact.record({ from: now - confirmedMsAgo, until: now - confirmedMsAgo });
};
