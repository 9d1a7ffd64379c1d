import { requestIdPrefix } from '../coordination/home/index.ts';
import type { EntryAddress } from '../protocol/caller/CallerRequest.ts';
import type { Member } from '../state/Member.ts';
import { interleaveFailureDomains } from './interleaveFailureDomains.ts';

/** Entries told to a caller at once; more would only lengthen the answer. */
const MAXIMUM_ENTRIES = 16;

/**
 * Gives the entries that callers may use, with the prefixes of the ids that they own.
 *
 * @param members - members that take new requests, the answering one first
 * @param wallNow - present Unix time, ms
 * @returns addresses spread over failure domains; suspected members are left out
 */
export const listEntryAddresses = (
  members: readonly Member[],
  wallNow: number,
): readonly EntryAddress[] =>
  interleaveFailureDomains(members.filter(({ status }) => status === 'alive'))
    .slice(0, MAXIMUM_ENTRIES)
    .map(({ callerAddress, failureDomain, incarnation }) => ({
      address: callerAddress,
      failureDomain,
      requestIdPrefix: requestIdPrefix(incarnation, wallNow),
    }));
