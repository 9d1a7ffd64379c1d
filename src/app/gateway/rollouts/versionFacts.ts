import type { EndpointRecord } from '../../../state/gateway/index.ts';

/**
 * Counts the slots of a service's endpoints by version.
 *
 * @param records - ready endpoints of all services
 * @param service - the service
 */
export const slotsByVersion = (
  records: readonly EndpointRecord[],
  service: string,
): ReadonlyMap<string, number> => {
  const slots = new Map<string, number>();
  records
    .filter((record) => record.service === service)
    .forEach((record) =>
      slots.set(record.version, (slots.get(record.version) ?? 0) + Math.max(1, record.slots)),
    );
  return slots;
};

/**
 * Finds when the first endpoint of a version started.
 *
 * @param records - ready endpoints of all services
 * @param service - the service
 * @param version - the version
 * @returns Unix ms; undefined if no endpoint states its start
 */
export const firstStartOf = (
  records: readonly EndpointRecord[],
  service: string,
  version: string,
): number | undefined => {
  const starts = records
    .filter((record) => record.service === service && record.version === version)
    .map(({ bornAt }) => bornAt)
    .filter((bornAt) => bornAt > 0);
  return starts.length === 0 ? undefined : Math.min(...starts);
};
