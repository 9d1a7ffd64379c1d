import type { StoreContact } from '../../../coordination/gateway/index.ts';
import type { StoreContactReport } from '../../../protocol/peer/GatewayMessages.ts';

/**
 * Records what a peer says of when the store answered the group.
 *
 * @param contact - where it is recorded
 * @param message - the peer's message; one of an older build has no contact, but may have a confirmation
 * @param now - present time in ms, monotonic
 */
export const recordContact = (
  contact: StoreContact,
  message: {
    readonly contact?: StoreContactReport | undefined;
    readonly confirmedMsAgo?: number | undefined;
  },
  now: number,
): void => {
  const { contact: report, confirmedMsAgo } = message;
  if (report !== undefined)
    contact.record({ from: now - report.fromMsAgo, until: now - report.untilMsAgo });
  else if (confirmedMsAgo !== undefined)
    contact.record({ from: now - confirmedMsAgo, until: now - confirmedMsAgo });
};
