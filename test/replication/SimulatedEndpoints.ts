import { SERVICE } from './SimulatedGateway.ts';
import type { SimulatedStore } from './SimulatedStore.ts';
import type { VirtualClock } from './VirtualClock.ts';

/** Time for which a draining endpoint stays listed. */
const DRAINING_LISTED_MS = 2_500;
/** Time without a heartbeat after which an entry is removed. */
export const EXPIRY_MS = 3_600;
/** Time after which another endpoint takes the place of one that has left. */
const REPLACEMENT_MS = 500;

/** The endpoints of a simulation, and their entries in the store. */
export class SimulatedEndpoints {
  readonly #clock: VirtualClock;

  readonly #store: SimulatedStore;

  #running: string[] = [];

  readonly #draining = new Set<string>();

  #created = 0;

  constructor(clock: VirtualClock, store: SimulatedStore) {
    this.#clock = clock;
    this.#store = store;
  }

  /** Starts one more. */
  add(): void {
    this.#created += 1;
    const id = `endpoint-${this.#created}`;
    this.#running.push(id);
    this.put(id, 'ready');
  }

  /** Ids of those that run, also while they drain. */
  get alive(): readonly { readonly id: string; readonly state: 'ready' | 'draining' }[] {
    return [
      ...this.#running.map((id) => ({ id, state: 'ready' as const })),
      ...[...this.#draining].map((id) => ({ id, state: 'draining' as const })),
    ];
  }

  /** Returns the id of one that runs; the index is taken modulo their number. */
  idAt(index: number): string {
    return this.#running[index % this.#running.length] as string;
  }

  /** Writes the entry of one. */
  put(id: string, state: 'ready' | 'draining'): void {
    this.#store.put('endpoints', id, {
      id,
      service: SERVICE,
      address: '10.0.0.1:80',
      failureDomain: 'a',
      version: 'v1',
      slots: 4,
      state,
      coldMs: 0,
      bornAt: 1,
    });
  }

  /** Has one leave: it drains first, or its entry is removed at once. Another one is started later. */
  leave(id: string, drains: boolean): void {
    this.#running = this.#running.filter((other) => other !== id);
    if (drains) {
      this.put(id, 'draining');
      this.#draining.add(id);
      this.#clock.after(DRAINING_LISTED_MS, () => {
        this.#draining.delete(id);
        this.#store.remove('endpoints', id);
      });
    } else this.#store.remove('endpoints', id);
    this.#clock.after(REPLACEMENT_MS, () => this.add());
  }
}
