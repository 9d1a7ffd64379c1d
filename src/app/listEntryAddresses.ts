import { makeRequestIdPrefix } from '../coordination/home/index.ts';
import type { EntryAddress } from '../protocol/caller/CallerService.ts';
import type { Member } from '../state/Member.ts';
import { interleaveFailureDomains } from './interleaveFailureDomains.ts';

/** Largest number of entries in one answer; more would only lengthen the answer. */
const MAXIMUM_ENTRY_ADDRESSES = 16;

/**
 * Lists the entries that callers may use, with the prefix of the request ids that each one owns.
 *
 * @param members - members that accept new requests, this process first
 * @param wallNow - present Unix time in ms
 * @returns addresses interleaved by failure domain, without members that are suspected of having failed
 */
export const listEntryAddresses = (
  members: readonly Member[],
  wallNow: number,
): readonly EntryAddress[] =>
  interleaveFailureDomains(members.filter(({ status }) => status === 'alive'))
    .slice(0, MAXIMUM_ENTRY_ADDRESSES)
    .map(({ callerAddress, failureDomain, incarnation }) => ({
      address: callerAddress,
      failureDomain,
      requestIdPrefix: makeRequestIdPrefix(incarnation, wallNow),
    }));
