/** What a path of the caller interface asks for. */
export type CallerRoute =
  | { readonly _tag: 'entries' }
  | { readonly _tag: 'chat' }
  | { readonly _tag: 'service' }
  | { readonly _tag: 'models' }
  | { readonly _tag: 'status'; readonly id: string }
  | { readonly _tag: 'health' }
  | { readonly _tag: 'ready' }
  | { readonly _tag: 'metrics' }
  | { readonly _tag: 'drain' }
  | { readonly _tag: 'wrongMethod' }
  | { readonly _tag: 'unknown' };

const STATUS_PREFIX = '/v1/requests/';
const SERVICE_PREFIX = '/services/';

// A service that resolves such segments would answer paths outside of its pool's prefix.
const DOT_SEGMENT = /\/(\.|%2e){1,2}(\/|$)/i;

const FIXED_ROUTES: Readonly<
  Record<string, { readonly method: string; readonly route: CallerRoute }>
> = {
  '/v1/entries': { method: 'GET', route: { _tag: 'entries' } },
  '/v1/chat/completions': { method: 'POST', route: { _tag: 'chat' } },
  '/v1/models': { method: 'GET', route: { _tag: 'models' } },
  '/healthz': { method: 'GET', route: { _tag: 'health' } },
  '/readyz': { method: 'GET', route: { _tag: 'ready' } },
  '/metrics': { method: 'GET', route: { _tag: 'metrics' } },
  '/v1/drain': { method: 'POST', route: { _tag: 'drain' } },
};

const unescape = (text: string): string => {
  try {
    return decodeURIComponent(text);
  } catch {
    return text;
  }
};

/**
 * Finds what a request line asks for.
 *
 * @param method - HTTP method
 * @param url - path with query
 * @returns the route
 */
export const routeCallerPath = (method: string, url: string): CallerRoute => {
  const query = url.indexOf('?');
  const path = query < 0 ? url : url.slice(0, query);
  if (path.startsWith(SERVICE_PREFIX)) {
    return DOT_SEGMENT.test(path) ? { _tag: 'unknown' } : { _tag: 'service' };
  }
  if (path.startsWith(STATUS_PREFIX) && path.length > STATUS_PREFIX.length) {
    return method === 'GET'
      ? { _tag: 'status', id: unescape(path.slice(STATUS_PREFIX.length)) }
      : { _tag: 'wrongMethod' };
  }
  const fixed = Object.hasOwn(FIXED_ROUTES, path) ? FIXED_ROUTES[path] : undefined;
  if (!fixed) return { _tag: 'unknown' };
  return fixed.method === method ? fixed.route : { _tag: 'wrongMethod' };
};
