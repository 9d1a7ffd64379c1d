import type { SimulatedConfiguration, SimulatedGateway } from './SimulatedGateway.ts';

/**
 * A gateway that acted on a view of the store that is older than the bound, or didn't keep an endpoint that the store had
 * lost while it was down.
 */
export interface StaleView {
  readonly promise: 'DRAIN' | 'CONFIG' | 'KEPT';
  readonly at: number;
  readonly gateway: string;
  readonly detail: string;
}

/** An endpoint that has left. */
interface Departure {
  /** When the store acknowledged it, in ms. */
  readonly at: number;
  /** Whether the store was stable then; otherwise the promise doesn't count from it. */
  readonly isCalm: boolean;
  readonly drains: boolean;
}

/** A time in which the entry of an endpoint that lives may be missing: from the start of an outage of the store. */
interface Lapse {
  readonly from: number;
  readonly until: number;
}

/** Time without disturbance after which the promises hold for a gateway. */
export const CONTACT_MS = 3_000;

/** Promises to the users: time after which a change of the store is in force in every gateway. */
const BOUND_MS = 2_000;

/** What has changed in a simulated store, and what gateways may still do therefore. */
export class ReplicationPromises {
  readonly #departures = new Map<string, Departure>();

  /** Gateways with the endpoints that said to them that they leave. */
  readonly #heard = new Map<string, number>();

  readonly #lapses = new Map<string, Lapse>();

  /** Endpoints that the store lists as ready again though they have left. */
  readonly #returned = new Set<string>();

  /** Gateways with the endpoints that they had listed and then had out of use, after these had left. */
  readonly #dropped = new Set<string>();

  readonly #configurations: (SimulatedConfiguration & { readonly at: number })[] = [];

  /** The last configuration; undefined before the first. */
  get configuration(): SimulatedConfiguration | undefined {
    return this.#configurations.at(-1);
  }

  /** Version of the last configuration; 0 before the first. */
  get latestVersion(): number {
    return this.#configurations.at(-1)?.version ?? 0;
  }

  recordConfiguration(configuration: SimulatedConfiguration & { readonly at: number }): void {
    this.#configurations.push(configuration);
  }

  recordDeparture(id: string, departure: Departure): void {
    this.#departures.set(id, departure);
  }

  /** Records that an endpoint has said to a gateway that it leaves. */
  recordHeard(gateway: string, id: string, now: number): void {
    this.#heard.set(`${gateway} ${id}`, now);
  }

  /** Records that the store lists an endpoint that has left as ready again; only a process that saw it leave can know. */
  recordReturn(id: string): void {
    this.#returned.add(id);
  }

  hasLeft(id: string): boolean {
    return this.#departures.has(id);
  }

  /** Records that the entry of an endpoint that lives expires in an outage of the store. */
  recordLapse(id: string, lapse: Lapse): void {
    this.#lapses.set(id, lapse);
  }

  /** Returns the endpoints that a gateway doesn't use though only an outage of the store has lost their entries. */
  checkKept(
    { incarnation: gateway, directory }: SimulatedGateway,
    lastDisturbedAt: number,
    now: number,
  ): readonly StaleView[] {
    return [...this.#lapses]
      .filter(
        ([id, { from, until }]) =>
          lastDisturbedAt < from && now > from && now <= until && !this.#departures.has(id),
      )
      .filter(([id]) => directory.findReady(id) === undefined)
      .map(([id, { from, until }]) => ({
        promise: 'KEPT',
        at: now,
        gateway,
        detail: `${id} isn't used, whose entry expired in an outage from ${from} and is back at ${until}`,
      }));
  }

  /** Returns what the view of an undisturbed gateway breaks. */
  checkView(process: SimulatedGateway, now: number): readonly StaleView[] {
    const { incarnation: gateway } = process;
    const used = new Set(process.directory.listAllReady().map(({ id }) => id));
    process.directory
      .listAll()
      .filter(({ id }) => this.#departures.has(id) && !used.has(id))
      .forEach(({ id }) => this.#dropped.add(`${gateway} ${id}`));
    const late = [...this.#departures]
      .filter(([id, { at, isCalm }]) => isCalm && at < now - BOUND_MS && used.has(id))
      .filter(([id]) => this.#canKnow(gateway, id))
      .map(([id, { at, drains }]) => ({
        promise: 'DRAIN' as const,
        at: now,
        gateway,
        detail: `${id} left at ${at} (${drains ? 'drained' : 'removed'}) and is used`,
      }));
    return [...this.#checkConfiguration(process, now), ...late];
  }

  /** Returns what a request breaks that an undisturbed gateway writes to an endpoint which has left. */
  checkWritten(
    { incarnation: gateway }: SimulatedGateway,
    id: string,
    now: number,
  ): readonly StaleView[] {
    const departure = this.#departures.get(id);
    if (departure === undefined || !this.#canKnow(gateway, id)) return [];
    const { at, isCalm, drains } = departure;
    const heardAt = this.#heard.get(`${gateway} ${id}`);
    const isLate = isCalm && now - at > BOUND_MS;
    if (!isLate && heardAt === undefined) return [];
    const said = heardAt === undefined ? '' : `, and said so to it at ${heardAt}`;
    const how = drains ? 'drained' : 'removed';
    const detail = `a request is written to ${id}, which left at ${at} (${how})${said}`;
    return [{ promise: 'DRAIN', at: now, gateway, detail }];
  }

  #canKnow(gateway: string, id: string): boolean {
    return !this.#returned.has(id) || this.#dropped.has(`${gateway} ${id}`);
  }

  /** A route of all versions that may be in force is served, and one of none isn't. */
  #checkConfiguration(
    { incarnation: gateway, configuration }: SimulatedGateway,
    now: number,
  ): readonly StaleView[] {
    const owed = this.#configurations.findLastIndex(({ at }) => at < now - BOUND_MS);
    const [oldest, ...newer] = this.#configurations.slice(Math.max(0, owed));
    if (owed < 0 || oldest === undefined) return [];
    const { version, routes } = configuration;
    const allowed = [oldest, ...newer];
    const isMissing = oldest.routes.some(
      (route) => allowed.every((other) => other.routes.includes(route)) && !routes.includes(route),
    );
    const isOutdated = routes.some((route) =>
      allowed.every((other) => !other.routes.includes(route)),
    );
    if (!isMissing && !isOutdated && version >= oldest.version) return [];
    const detail = `version ${version} in force with ${routes.join()}, ${oldest.version} owed`;
    return [{ promise: 'CONFIG', at: now, gateway, detail }];
  }
}
