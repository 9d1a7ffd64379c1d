import type { ReplicationAction } from './ReplicationPlan.ts';
import { CONTACT_MS, type ReplicationPromises } from './ReplicationPromises.ts';
import { EXPIRY_MS, type SimulatedEndpoints } from './SimulatedEndpoints.ts';
import type { SimulatedStore } from './SimulatedStore.ts';
import type { VirtualClock } from './VirtualClock.ts';

/** What an outage of the store in a simulation concerns. */
export interface StoreSurroundings {
  readonly clock: VirtualClock;
  readonly store: SimulatedStore;
  readonly endpoints: SimulatedEndpoints;
  readonly rules: ReplicationPromises;
  readonly random: () => number;
  /** Whether nothing has disturbed the store lately, so that gateways know what it lists. */
  readonly isStoreCalm: boolean;
}

/**
 * Has a store that is down come back from an older copy. What lives writes its entries again, and the others expire.
 *
 * @param restore - how long it is down, how old the copy is, and when its contents are written again
 * @param surroundings - the simulation
 */
export const restoreStore = (
  {
    forMs,
    ageMs,
    operatorAfterMs,
    endpointsAfterMs,
  }: Extract<ReplicationAction, { readonly _tag: 'restore' }>,
  { clock, store, endpoints, rules, random, isStoreCalm }: StoreSurroundings,
): void => {
  const copiedAt = clock.now - ageMs;
  // A gateway or an entry that was disturbed, started or written later may have missed the other.
  const from = clock.now - CONTACT_MS;
  const listedBefore = isStoreCalm ? store.names('endpoints', from) : [];

  const configureAgain = (): void => {
    const { configuration } = rules;
    clock.after(operatorAfterMs, () => {
      if (configuration !== undefined && configuration === rules.configuration)
        store.put('configuration', 'main', configuration);
    });
  };
  const registerAgain = (id: string): void =>
    clock.after(random() * endpointsAfterMs, () => {
      const endpoint = endpoints.alive.find((other) => other.id === id);
      if (endpoint !== undefined) endpoints.put(id, endpoint.state);
    });

  clock.after(forMs, () => {
    store.restore(copiedAt);
    configureAgain();
    const alive = endpoints.alive.map(({ id }) => id);
    const listed = store.names('endpoints');
    alive
      .filter((id) => listedBefore.includes(id) && !listed.includes(id))
      .forEach((id) => rules.recordLapse(id, { from, until: clock.now + endpointsAfterMs }));
    listed
      .filter((id) => !alive.includes(id))
      .forEach((id) => {
        rules.recordReturn(id);
        clock.after(EXPIRY_MS, () => store.remove('endpoints', id));
      });
    alive.forEach(registerAgain);
  });
};
