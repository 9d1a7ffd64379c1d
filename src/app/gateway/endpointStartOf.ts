import type { EndpointRecord } from '../../state/gateway/index.ts';

/**
 * Names one start of an endpoint, as an endpoint may start again under its id.
 *
 * @param record - the endpoint's record in the store
 * @returns a name that differs between two starts
 */
export const endpointStartOf = ({ id, bornAt }: EndpointRecord): string => `${id}/${bornAt}`;
