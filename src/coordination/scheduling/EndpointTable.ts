import type { Bundle } from '../../state/Bundle.ts';
import { EndpointState } from './EndpointState.ts';
import { EngineHost } from './EngineHost.ts';

const SCHEME = /^http:\/\//;

/** A pool's endpoints by name. Those that left the bundle stay while something runs there. */
export class EndpointTable {
  readonly #states = new Map<string, EndpointState>();

  readonly #hosts = new Map<string, EngineHost>();

  readonly #usable = new Map<string, readonly EndpointState[]>();

  /**
   * Takes over a bundle and the list of leaving addresses.
   *
   * @param pool - the pool's name
   * @param bundle - the bundle in force
   * @param leaving - addresses of endpoints that leave, with or without `http://`
   */
  configure(pool: string, bundle: Bundle, leaving: ReadonlySet<string>): void {
    const endpoints = bundle.endpoints.filter((endpoint) => endpoint.pool === pool);
    this.#usable.clear();
    const names = new Set(endpoints.map(({ name }) => name));
    this.#states.forEach((state, name) => {
      if (names.has(name)) return;
      if (state.tickets.size === 0) this.#states.delete(name);
      else this.#states.set(name, Object.assign(state, { isLeaving: true }));
    });
    endpoints.forEach((endpoint) => {
      const { name, address, slots } = endpoint;
      const host = this.#hosts.get(address) ?? new EngineHost();
      this.#hosts.set(address, host);
      const held = this.#states.get(name);
      // The same name at another address or version is another engine: nothing learned holds.
      const isSame =
        held?.endpoint.address === address && held.endpoint.version === endpoint.version;
      const state = held !== undefined && isSame ? held : new EndpointState(endpoint, host);
      state.endpoint = endpoint;
      state.isLeaving = leaving.has(address) || leaving.has(address.replace(SCHEME, ''));
      host.slots = slots;
      this.#states.set(name, state);
    });
  }

  /** @returns all endpoints */
  all(): readonly EndpointState[] {
    return [...this.#states.values()];
  }

  /** @returns the endpoint of a name */
  find(name: string): EndpointState | undefined {
    return this.#states.get(name);
  }

  /** @returns the endpoints of a name, or all at an address */
  findByNameOrAddress(nameOrAddress: string): readonly EndpointState[] {
    const named = this.#states.get(nameOrAddress);
    if (named !== undefined) return [named];
    return this.all().filter(({ endpoint }) => endpoint.address === nameOrAddress);
  }

  /** @returns the endpoints that may get new work of the versions named, now or soon */
  usable(versions: readonly string[]): readonly EndpointState[] {
    const key = versions.join(' ');
    const known = this.#usable.get(key);
    if (known !== undefined) return known;
    const states = this.all().filter(
      ({ endpoint, isLeaving }) => !isLeaving && versions.includes(endpoint.version),
    );
    this.#usable.set(key, states);
    return states;
  }
}
