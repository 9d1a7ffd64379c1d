import type { Logger } from 'pino';
import type { ColdStartCaps, DrainChange } from '../../../coordination/gateway/index.ts';
import type { EndpointRecord } from '../../../state/gateway/index.ts';

/** What drains that began or ended concern. */
export interface DrainRecording {
  /** All endpoints that the store lists. */
  readonly records: readonly EndpointRecord[];
  readonly coldCaps: ColdStartCaps;
  readonly logger: Logger;
  /** Present time in ms, monotonic. */
  readonly now: number;
}

/**
 * Logs drains of failure domains that began or ended, and takes the endpoints of a domain whose drain ended as cold.
 *
 * @param changes - the drains
 * @param recording - what they concern
 */
export const recordDrainChanges = (
  changes: readonly DrainChange[],
  { records, coldCaps, logger, now }: DrainRecording,
): void =>
  changes.forEach(({ _tag, failureDomain, revision }) => {
    const endpoints = records.filter((record) => record.failureDomain === failureDomain).length;
    const details = { failureDomain, revision, endpoints };
    switch (_tag) {
      case 'begun':
        if (endpoints === 0) logger.warn(details, 'drain of a domain that no endpoint has');
        else logger.info(details, 'domain drain begun');
        return;
      case 'ended': {
        const takenAsCold = coldCaps.takeDomainAsCold(failureDomain, revision, now);
        logger.info({ ...details, takenAsCold }, 'domain drain ended');
        return;
      }
      default:
        _tag satisfies never;
    }
  });
