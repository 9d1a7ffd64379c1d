import type { Bundle } from '../../state/Bundle.ts';
import { EndpointState } from './EndpointState.ts';
import { AddressSlots } from './AddressSlots.ts';

const HTTP_SCHEME = /^http:\/\//;

/**
 * A pool's endpoints by name. An endpoint that leaves the bundle remains until it has no tickets.
 */
export class EndpointTable {
  readonly #states = new Map<string, EndpointState>();

  readonly #slotsByAddress = new Map<string, AddressSlots>();

  /** Results of `eligible`, by the versions joined with spaces. */
  readonly #eligibleByVersions = new Map<string, readonly EndpointState[]>();

  /**
   * Applies a bundle and the addresses of the endpoints that are leaving.
   *
   * @param pool - the pool's name
   * @param bundle - the bundle in force
   * @param leaving - addresses of endpoints that receive no new work, with or without `http://`
   */
  configure(pool: string, bundle: Bundle, leaving: ReadonlySet<string>): void {
    const endpoints = bundle.endpoints.filter((endpoint) => endpoint.pool === pool);
    this.#eligibleByVersions.clear();
    const names = new Set(endpoints.map(({ name }) => name));
    this.#states.forEach((state, name) => {
      if (names.has(name)) return;
      if (state.tickets.size === 0) this.#states.delete(name);
      else this.#states.set(name, Object.assign(state, { isLeaving: true }));
    });
    endpoints.forEach((endpoint) => {
      const { name, address, slots } = endpoint;
      const addressSlots = this.#slotsByAddress.get(address) ?? new AddressSlots();
      this.#slotsByAddress.set(address, addressSlots);
      const existing = this.#states.get(name);
      // A new address or version means a different engine, so its old statistics don't apply.
      const isSame =
        existing?.endpoint.address === address && existing.endpoint.version === endpoint.version;
      const state =
        existing !== undefined && isSame ? existing : new EndpointState(endpoint, addressSlots);
      state.endpoint = endpoint;
      state.isLeaving = leaving.has(address) || leaving.has(address.replace(HTTP_SCHEME, ''));
      addressSlots.slots = slots;
      this.#states.set(name, state);
    });
  }

  /** @returns all endpoints, those that left the bundle but still have tickets included */
  all(): readonly EndpointState[] {
    return [...this.#states.values()];
  }

  /**
   * Finds an endpoint by name.
   *
   * @param name - the endpoint's name
   * @returns the endpoint, or undefined if the name is unknown
   */
  find(name: string): EndpointState | undefined {
    return this.#states.get(name);
  }

  /**
   * Finds an endpoint by name, or else all endpoints at an address.
   *
   * @param nameOrAddress - an endpoint's name or address
   * @returns the matching endpoints
   */
  findByNameOrAddress(nameOrAddress: string): readonly EndpointState[] {
    const named = this.#states.get(nameOrAddress);
    if (named !== undefined) return [named];
    return this.all().filter(({ endpoint }) => endpoint.address === nameOrAddress);
  }

  /**
   * Lists the endpoints that serve one of the given versions and aren't leaving. Health and free
   * slots are not considered.
   *
   * @param versions - the versions to include
   * @returns the endpoints, cached until the next `configure`
   */
  eligible(versions: readonly string[]): readonly EndpointState[] {
    const key = versions.join(' ');
    const known = this.#eligibleByVersions.get(key);
    if (known !== undefined) return known;
    const states = this.all().filter(
      ({ endpoint, isLeaving }) => !isLeaving && versions.includes(endpoint.version),
    );
    this.#eligibleByVersions.set(key, states);
    return states;
  }
}
