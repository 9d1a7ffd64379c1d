import type { ColdStartCaps, EndpointDirectory } from '../../../coordination/gateway/index.ts';
import { endpointStartOf, type EndpointRecord } from '../../../state/gateway/index.ts';
import { MAXIMUM_GRANT_AGE_MS } from '../placement/CapGuard.ts';
import type { ExclusionMonitor } from '../reach/ExclusionMonitor.ts';

/** What a permission to send depends on. */
export interface SendPermissionOptions {
  readonly directory: Pick<EndpointDirectory, 'findReady'>;
  readonly exclusions: Pick<ExclusionMonitor, 'find'>;
  readonly coldCaps: Pick<ColdStartCaps, 'isCapped'>;
  /** Present time in ms, monotonic. */
  readonly now: () => number;
}

/**
 * Makes the check that a request still may be sent to the endpoint that was chosen for it. It is asked right before the
 * request is written, since the connection may have taken long to open: the endpoint may have left meanwhile, have
 * asked for rest, or be a cold one whose caps no longer count the choice.
 *
 * @param options - what it depends on
 * @returns the check, of an endpoint and the moment of the choice in ms
 */
export const makeSendPermission =
  ({ directory, exclusions, coldCaps, now }: SendPermissionOptions) =>
  (record: EndpointRecord, chosenAt: number): boolean => {
    const ready = directory.findReady(record.id);
    if (ready === undefined || ready.bornAt !== record.bornAt) return false;
    if (exclusions.find(record) !== undefined) return false;
    const isLate = now() - chosenAt > MAXIMUM_GRANT_AGE_MS;
    return !(isLate && coldCaps.isCapped(endpointStartOf(record)));
  };
