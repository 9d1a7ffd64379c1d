import type { EndpointRecord } from '../../state/gateway/index.ts';

/**
 * Names one start of an engine, as an engine may start again under its id.
 *
 * @param record - the engine's record in the store
 * @returns a name that differs between two starts
 */
export const engineStartOf = ({ id, bornAt }: EndpointRecord): string => `${id}/${bornAt}`;
