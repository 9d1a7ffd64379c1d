import type { Account, Route, RouteTable, Service } from '../RouteTable.ts';

/** Something in a configuration that can't work, or that has no effect. */
export interface ReviewFinding {
  /** `error`: requests are rejected or limits contradict each other; `warning`: the entry has no effect. */
  readonly severity: 'error' | 'warning';
  /** Path of the entry or the value, such as `routes.quote.timeout`. */
  readonly place: string;
  readonly message: string;
}

const error = (place: string, message: string): ReviewFinding => ({
  severity: 'error',
  place,
  message,
});

const warning = (place: string, message: string): ReviewFinding => ({
  severity: 'warning',
  place,
  message,
});

/** Returns the entries that have the same key as an earlier one, with that one. */
const findDuplicates = <T>(
  entries: readonly T[],
  keyOf: (entry: T) => string,
): { readonly entry: T; readonly earlier: T }[] => {
  const first = new Map<string, T>();
  return entries.flatMap((entry) => {
    const earlier = first.get(keyOf(entry));
    if (earlier === undefined) first.set(keyOf(entry), entry);
    return earlier === undefined ? [] : [{ entry, earlier }];
  });
};

const reviewRouteLimits = (route: Route): ReviewFinding[] => {
  const place = `routes.${route.name}`;
  const { timeoutMs, targetLatencyMs, targetGapMs, maximumAttempts, kind } = route;
  const findings: ReviewFinding[] = [];
  if (timeoutMs <= 0) findings.push(error(`${place}.timeout`, 'must be above 0'));
  if (targetLatencyMs > timeoutMs)
    findings.push(
      error(
        `${place}.targetLatency`,
        `${targetLatencyMs} ms can't be met within the timeout of ${timeoutMs} ms`,
      ),
    );
  if (kind === 'stream' && targetGapMs > timeoutMs)
    findings.push(
      error(`${place}.targetGap`, `${targetGapMs} ms is above the timeout of ${timeoutMs} ms`),
    );
  if (maximumAttempts < 1 || !Number.isInteger(maximumAttempts))
    findings.push(error(`${place}.maximumAttempts`, 'must be a whole number from 1'));
  if (route.resumable && kind !== 'stream')
    findings.push(warning(`${place}.resumable`, `has no effect on a route of the kind ${kind}`));
  if (kind === 'unsafe' && maximumAttempts > 1)
    findings.push(
      warning(
        `${place}.maximumAttempts`,
        'requests of this kind run once at most; further attempts follow only a rejection',
      ),
    );
  return findings;
};

const reviewRouteTargets = (
  route: Route,
  services: ReadonlyMap<string, Service>,
): ReviewFinding[] => {
  const place = `routes.${route.name}.services`;
  const unknown = route.services
    .filter(({ service }) => !services.has(service))
    .map(({ service }) => error(place, `the service ${service} isn't configured`));
  const negative = route.services
    .filter(({ weight }) => weight < 0)
    .map(({ service }) => error(place, `the weight of ${service} is below 0`));
  const isUnreachable =
    route.services.length > 1 && route.services.every(({ weight }) => weight <= 0);
  return [
    ...unknown,
    ...negative,
    ...(isUnreachable ? [error(place, 'all weights are 0, so that no service is chosen')] : []),
  ];
};

const reviewRoutes = ({ routes, services, accounts }: RouteTable): ReviewFinding[] => {
  const known = new Map(services.map((service) => [service.name, service]));
  const hasKeys = accounts === undefined || accounts.some(({ keys }) => keys.length > 0);
  return [
    ...routes.flatMap((route) => {
      const place = `routes.${route.name}`;
      const { pathPrefix } = route;
      const isFramed = pathPrefix.startsWith('/') && pathPrefix.endsWith('/');
      return [
        ...reviewRouteLimits(route),
        ...reviewRouteTargets(route, known),
        ...(isFramed ? [] : [error(`${place}.pathPrefix`, 'must begin and end with a slash')]),
        ...(hasKeys || route.anonymous
          ? []
          : [error(place, 'needs a key, and no account has one')]),
      ];
    }),
    ...findDuplicates(routes, ({ host, pathPrefix }) => `${host.toLowerCase()} ${pathPrefix}`).map(
      ({ entry, earlier }) =>
        error(
          `routes.${entry.name}`,
          `never matches: ${earlier.name} has the same host and prefix`,
        ),
    ),
    ...findDuplicates(routes, ({ name }) => name).map(({ entry }) =>
      error(`routes.${entry.name}`, 'the name is used twice'),
    ),
  ];
};

const reviewServices = ({ routes, services }: RouteTable): ReviewFinding[] => {
  const used = new Set(routes.flatMap((route) => route.services.map(({ service }) => service)));
  return [
    ...services.flatMap(({ name, engine, coldStart }) => {
      const place = `services.${name}`;
      return [
        ...(used.has(name) ? [] : [warning(place, 'no route uses it')]),
        ...(engine !== undefined && engine.slots < 1
          ? [error(`${place}.engine.slots`, 'must be at least 1')]
          : []),
        ...(coldStart !== undefined && coldStart.durationMs > 0 && coldStart.requestsPerSecond === 0
          ? [warning(`${place}.coldStart`, 'has no effect without a rate of requests')]
          : []),
      ];
    }),
    ...findDuplicates(services, ({ name }) => name).map(({ entry }) =>
      error(`services.${entry.name}`, 'the name is used twice'),
    ),
  ];
};

const reviewQuota = ({ name, quota }: Account): ReviewFinding[] => {
  const { unit, ratePerSecond, burst, defaultTokens } = quota;
  const place = `accounts.${name}.quota`;
  if (ratePerSecond < 0 || burst < 0) return [error(place, 'rate and burst must not be below 0')];
  if (ratePerSecond === 0)
    return burst > 0 ? [warning(place, 'a burst without a rate limits nothing')] : [];
  const units = unit === 'tokens' ? defaultTokens : 1;
  return ratePerSecond + burst < units
    ? [
        error(
          place,
          `${ratePerSecond} a second and a burst of ${burst} allow no request of ${units}`,
        ),
      ]
    : [];
};

const reviewAccounts = ({ accounts = [] }: RouteTable): ReviewFinding[] => {
  const keys = accounts.flatMap((account) => account.keys.map((key) => ({ key, account })));
  return [
    ...accounts.flatMap(reviewQuota),
    ...accounts
      .filter((account) => account.keys.length === 0)
      .map(({ name }) => warning(`accounts.${name}`, 'has no key, so that nobody can use it')),
    ...findDuplicates(keys, ({ key }) => key)
      .filter(({ entry, earlier }) => entry.account !== earlier.account)
      .map(({ entry, earlier }) =>
        error(
          `accounts.${earlier.account.name}.keys`,
          `one of its keys belongs to ${entry.account.name} as well, which gets its requests`,
        ),
      ),
    ...findDuplicates(accounts, ({ name }) => name).map(({ entry }) =>
      error(`accounts.${entry.name}`, 'the name is used twice'),
    ),
  ];
};

const reviewClientLimits = ({ limits, routes }: RouteTable): ReviewFinding[] => {
  const values = Object.entries(limits)
    .filter(([, value]) => value <= 0)
    .map(([name]) => error(`limits.${name}`, 'must be above 0'));
  const shortest = Math.min(...routes.map(({ timeoutMs }) => timeoutMs));
  return limits.headerTimeoutMs > shortest
    ? [
        ...values,
        warning(
          'limits.headerTimeoutMs',
          `${limits.headerTimeoutMs} ms is above the shortest timeout of a route, ${shortest} ms`,
        ),
      ]
    : values;
};

/**
 * Reviews a configuration before it is put in force: entries that can't work, that can never match, and limits that
 * contradict each other.
 *
 * @param table - the configuration
 * @returns the findings; empty if there are none
 */
export const reviewRouteTable = (table: RouteTable): readonly ReviewFinding[] => [
  ...reviewRoutes(table),
  ...reviewServices(table),
  ...reviewAccounts(table),
  ...reviewClientLimits(table),
];
