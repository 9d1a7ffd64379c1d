import { LAPSE_MS, type ReplicationAction } from './ReplicationPlan.ts';
import type { StoreSurroundings } from './restoreStore.ts';

/**
 * Has the entry of an endpoint expire while the store is down for long; the endpoint registers again afterwards.
 *
 * @param lapse - which endpoint, how long the store is down, and when the entry expires and returns
 * @param surroundings - the simulation
 */
export const lapseEntry = (
  {
    endpoint,
    forMs,
    fraction,
    returnsAfterMs,
  }: Extract<ReplicationAction, { readonly _tag: 'lapse' }>,
  { clock, store, endpoints, rules }: StoreSurroundings,
): void => {
  const id = endpoints.idAt(endpoint);
  const expiresAfterMs = LAPSE_MS.first + fraction * (forMs - LAPSE_MS.first);
  rules.recordLapse(id, { from: clock.now, until: clock.now + forMs + returnsAfterMs });
  clock.after(expiresAfterMs, () => store.remove('endpoints', id));
  clock.after(forMs + returnsAfterMs, () => endpoints.put(id, 'ready'));
};
