import type { Bundle } from '../state/Bundle.ts';

/** An endpoint as a request is dispatched to it. */
export interface DispatchTarget {
  /** `http://IP:PORT` */
  readonly address: string;
  readonly version: string;
  /** Whether it is a model engine. */
  readonly engine: boolean;
}

/**
 * Finds the endpoint that a grant names.
 *
 * @param bundle - the configuration in force; undefined before the first
 * @param name - name of the endpoint
 * @returns the endpoint; undefined if the configuration doesn't have it
 */
export const findDispatchTarget = (
  bundle: Bundle | undefined,
  name: string,
): DispatchTarget | undefined => {
  const endpoint = bundle?.endpoints.find((candidate) => candidate.name === name);
  if (endpoint === undefined) return undefined;
  const { address, version } = endpoint;
  const pool = bundle?.pools.find((candidate) => candidate.name === endpoint.pool);
  return { address, version, engine: pool?.kind._tag === 'model' };
};
