import type { Account, Route, RouteTable, Service } from '../../state/gateway/index.ts';

/** What became of looking a request up. */
export type RouteMatch =
  | { readonly _tag: 'matched'; readonly route: Route; readonly account: Account | undefined }
  | { readonly _tag: 'noRoute' }
  | { readonly _tag: 'unknownKey' };

const withoutPort = (host: string): string => host.replace(/:\d+$/, '').toLowerCase();

/** A configuration, indexed for looking requests up. */
export class RouteIndex {
  readonly table: RouteTable;

  readonly #routes = new Map<string, Route[]>();

  readonly #accounts = new Map<string, Account>();

  readonly #accountsByName = new Map<string, Account>();

  readonly #services = new Map<string, Service>();

  constructor(table: RouteTable) {
    this.table = table;
    table.routes.forEach((route) => {
      const host = withoutPort(route.host);
      this.#routes.set(host, [...(this.#routes.get(host) ?? []), route]);
    });
    this.#routes.forEach((routes) =>
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length),
    );
    (table.accounts ?? []).forEach((account) => {
      this.#accountsByName.set(account.name, account);
      account.keys.forEach((key) => this.#accounts.set(key, account));
    });
    table.services.forEach((service) => this.#services.set(service.name, service));
  }

  /**
   * Finds the route with the longest prefix of the path, and the account that the key belongs to.
   *
   * @param host - the request's `Host`
   * @param path - the request's target, query included
   * @param key - the key that it carries
   * @returns route and account, or why the request isn't allowed
   */
  match(host: string, path: string, key: string | undefined): RouteMatch {
    const [pathname = ''] = path.split('?', 1);
    const route = this.#routes
      .get(withoutPort(host))
      ?.find(({ pathPrefix }) => pathname.startsWith(pathPrefix));
    if (route === undefined) return { _tag: 'noRoute' };
    const account = key === undefined ? undefined : this.#accounts.get(key);
    const needsKey = this.table.accounts !== undefined && !route.anonymous;
    if (needsKey && account === undefined) return { _tag: 'unknownKey' };
    return { _tag: 'matched', route, account };
  }

  /** Gives a client account by its name. */
  findAccount(name: string): Account | undefined {
    return this.#accountsByName.get(name);
  }

  /** Gives a service by its name. */
  findService(name: string): Service | undefined {
    return this.#services.get(name);
  }
}
