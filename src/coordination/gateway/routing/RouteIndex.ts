import type { Account, Route, RouteTable, Service } from '../../../state/gateway/index.ts';

/** Result of matching a request to a route. */
export type RouteMatch =
  | { readonly _tag: 'matched'; readonly route: Route; readonly account: Account | undefined }
  | { readonly _tag: 'noRoute' }
  | { readonly _tag: 'unknownKey' };

const withoutPort = (host: string): string => host.replace(/:\d+$/, '').toLowerCase();

/** Lookup of routes, client accounts and services in a configuration. */
export class RouteIndex {
  readonly table: RouteTable;

  readonly #routesByHost = new Map<string, Route[]>();

  readonly #accountsByKey = new Map<string, Account>();

  readonly #accountsByName = new Map<string, Account>();

  readonly #servicesByName = new Map<string, Service>();

  constructor(table: RouteTable) {
    this.table = table;
    table.routes.forEach((route) => {
      const host = withoutPort(route.host);
      this.#routesByHost.set(host, [...(this.#routesByHost.get(host) ?? []), route]);
    });
    this.#routesByHost.forEach((routes) =>
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length),
    );
    (table.accounts ?? []).forEach((account) => {
      this.#accountsByName.set(account.name, account);
      account.keys.forEach((key) => this.#accountsByKey.set(key, account));
    });
    table.services.forEach((service) => this.#servicesByName.set(service.name, service));
  }

  /**
   * Finds the route whose path prefix is the longest that matches, and the account of the key.
   *
   * @param host - the request's `Host`
   * @param target - the request's target, query included
   * @param key - the request's key, if any
   * @returns route and account, or why the request is rejected: `unknownKey` also if a required key is
   *   missing
   */
  match(host: string, target: string, key: string | undefined): RouteMatch {
    const [pathname = ''] = target.split('?', 1);
    const route = this.#routesByHost
      .get(withoutPort(host))
      ?.find(({ pathPrefix }) => pathname.startsWith(pathPrefix));
    if (route === undefined) return { _tag: 'noRoute' };
    const account = key === undefined ? undefined : this.#accountsByKey.get(key);
    const needsKey = this.table.accounts !== undefined && !route.anonymous;
    if (needsKey && account === undefined) return { _tag: 'unknownKey' };
    return { _tag: 'matched', route, account };
  }

  /** Returns the client account with a name, if it exists. */
  findAccount(name: string): Account | undefined {
    return this.#accountsByName.get(name);
  }

  /** Returns the service with a name, if it exists. */
  findService(name: string): Service | undefined {
    return this.#servicesByName.get(name);
  }
}
