import type { StoreContact } from '../../../coordination/gateway/index.ts';
import type { StoreContactReport } from '../../../protocol/peer/GatewayMessages.ts';

/**
 * Makes the part of a message that tells when the store answered the group.
 *
 * @param contact - what this process has heard of that
 * @param now - present time in ms, monotonic
 * @returns an empty object if the store has answered nobody yet
 */
export const reportContact = (
  contact: StoreContact,
  now: number,
): { readonly contact?: StoreContactReport } => {
  const { latest } = contact;
  if (latest === undefined) return {};
  const { from, until, untilMoment } = latest;
  return {
    contact: {
      fromMsAgo: now - from,
      untilMsAgo: Math.max(0, now - until),
      ...(untilMoment !== undefined && { until: untilMoment }),
    },
  };
};
