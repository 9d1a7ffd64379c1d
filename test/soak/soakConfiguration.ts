/** Names that stand in every configuration of the soak. */
export const SOAK_HOST = 'desk.example';

/** Client accounts of the soak by key. The second is limited to so many tokens. */
export const ACCOUNTS: Readonly<Record<string, string>> = {
  'key-of-the-office': 'office',
  'key-of-the-limited': 'limited',
};

/** Quota of the limited account: tokens a second, and a burst. */
export const LIMITED_QUOTA = { ratePerS: 40, burst: 100 } as const;

/** Versions for which the route that a version added stays. */
export const ADDED_ROUTES_KEPT = 3;
const ROUTE_TIMEOUT_MS = 1_500;
const STREAM_TIMEOUT_MS = 4_000;

/** Names of the services that runners register for. */
export const SERVICES = { plain: 'plain', other: 'other', model: 'model' } as const;

/** The path of the route that a version adds. */
export const addedPath = (version: number): string => `/added-${version}/`;

/** The service that a version moves the route `/moved/` to. */
export const movedTo = (turn: number): string => (turn % 2 === 0 ? SERVICES.plain : SERVICES.other);

/** The services that a path may lead to, in one version or another. */
export const servicesOf = (path: string): readonly string[] => {
  if (path.startsWith('/moved/')) return [SERVICES.plain, SERVICES.other];
  const isStream = path.startsWith('/stream/') || path.startsWith('/resumed/');
  return [isStream ? SERVICES.model : SERVICES.plain];
};

/**
 * Makes a configuration in the platform's format.
 *
 * @param versions - every version so far, oldest first; the last is the one that is made
 * @returns what the operator writes
 */
export const makeSoakConfiguration = (versions: readonly number[]): Record<string, unknown> => {
  const route = (path: string, kind: string, service: string, more: object = {}) => ({
    name: path.replaceAll('/', ''),
    host: SOAK_HOST,
    path_prefix: path,
    kind,
    timeout_ms: kind === 'stream' ? STREAM_TIMEOUT_MS : ROUTE_TIMEOUT_MS,
    target_latency_ms: 400,
    priority: 1,
    service,
    max_attempts: 2,
    allow_anonymous: false,
    session_affinity: kind === 'stream',
    stream_resume: false,
    gap_aim_ms: 500,
    ...more,
  });
  const service = (name: string, more: object = {}) => ({
    name,
    health_path: '/healthz',
    max_connections: 100,
    protocol: 'h1',
    tls: false,
    ...more,
  });
  return {
    version: versions.at(-1),
    routes: [
      route('/read/', 'safe', SERVICES.plain),
      route('/write/', 'unsafe', SERVICES.plain),
      route('/stream/', 'stream', SERVICES.model),
      route('/resumed/', 'stream', SERVICES.model, { stream_resume: true }),
      route('/moved/', 'safe', movedTo(versions.length)),
      ...versions
        .slice(-ADDED_ROUTES_KEPT)
        .map((version) => route(addedPath(version), 'safe', SERVICES.plain)),
    ],
    services: [
      service(SERVICES.plain),
      service(SERVICES.other),
      service(SERVICES.model, { engine: { slots: 4, kv_capacity_tokens: 100_000, stride: 5 } }),
    ],
    limits: {
      max_header_bytes: 8_192,
      max_body_bytes: 100_000,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: Object.entries(ACCOUNTS).map(([key, name]) => ({
      name,
      api_keys: [key],
      priority: 1,
      unit: 'tokens',
      plain_tokens: 0,
      rate_per_s: name === 'limited' ? LIMITED_QUOTA.ratePerS : 0,
      burst: name === 'limited' ? LIMITED_QUOTA.burst : 0,
    })),
  };
};
