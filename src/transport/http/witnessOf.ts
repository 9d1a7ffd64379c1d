import type { ServerCheck } from './askServer.ts';
import type { ConnectionPool } from './ConnectionPool.ts';
import { ServerWitness } from './ServerWitness.ts';

const witnesses = new WeakMap<ConnectionPool, Map<string, ServerWitness>>();

/**
 * Returns the witness that all answers of a server share, for as long as it is in use.
 *
 * @param pool - where the connections of the server come from
 * @param check - the server, and what to ask it
 * @returns the witness, possibly a new one
 */
export const witnessOf = (pool: ConnectionPool, check: ServerCheck): ServerWitness => {
  const ofPool = witnesses.get(pool) ?? new Map<string, ServerWitness>();
  witnesses.set(pool, ofPool);
  const key = `${check.address} ${check.method} ${check.path}`;
  const known = ofPool.get(key);
  if (known !== undefined) return known;
  const witness = new ServerWitness(pool, check, () => {
    if (ofPool.get(key) === witness) ofPool.delete(key);
  });
  ofPool.set(key, witness);
  return witness;
};
