/** Header names of the caller interface, in lower case as Node gives them. */
export const REQUEST_ID_HEADER = 'x-request-id';
export const DEADLINE_HEADER = 'x-deadline-ms';
export const IDEMPOTENT_HEADER = 'x-idempotent';
export const OUTCOME_HEADER = 'x-outcome';
/** Marks a request that another entry passed on; it isn't passed on again. */
export const FORWARDED_HEADER = 'x-corianderwick-forwarded';
/** Engine interface: the version that is to serve the request. */
export const MODEL_VERSION_HEADER = 'x-model-version';

/** The one header that stands several times and can't be joined by commas. */
export const SET_COOKIE_HEADER = 'set-cookie';
/** Joins several cookies in one value; no header value can hold it. */
export const SET_COOKIE_SEPARATOR = '\n';

const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
]);

const ENTRY_ONLY_HEADERS: ReadonlySet<string> = new Set([
  'authorization',
  'host',
  'content-length',
  REQUEST_ID_HEADER,
  DEADLINE_HEADER,
  IDEMPOTENT_HEADER,
  FORWARDED_HEADER,
]);

type ParsedHeaders = Readonly<Record<string, string | readonly string[] | undefined>>;

const NO_HEADERS: ReadonlySet<string> = new Set();

const listConnectionOptions = ({ connection }: ParsedHeaders): ReadonlySet<string> =>
  typeof connection !== 'string' || connection === 'keep-alive' || connection === 'close'
    ? NO_HEADERS
    : new Set(connection.split(',').map((name) => name.trim().toLowerCase()));

const filterHeaders = (
  headers: ParsedHeaders,
  isDropped: (name: string) => boolean,
): Record<string, string> => {
  const connectionOptions = listConnectionOptions(headers);
  const kept: Record<string, string> = {};
  Object.keys(headers).forEach((name) => {
    const value = headers[name];
    if (
      value === undefined ||
      HOP_BY_HOP_HEADERS.has(name) ||
      connectionOptions.has(name) ||
      isDropped(name)
    )
      return;
    const separator = name === SET_COOKIE_HEADER ? SET_COOKIE_SEPARATOR : ', ';
    kept[name] = typeof value === 'string' ? value : value.join(separator);
  });
  return kept;
};

/**
 * Gives the headers of a caller's request that go on to an endpoint: neither those of the one
 * connection nor those that the entry itself reads, the account key among them.
 *
 * @param headers - headers as Node parsed them
 * @returns headers to pass on
 */
export const filterRequestHeaders = (headers: ParsedHeaders): Record<string, string> =>
  filterHeaders(headers, (name) => ENTRY_ONLY_HEADERS.has(name));

/**
 * Gives the headers of an endpoint's answer that go on to the caller.
 *
 * @param headers - headers as Node parsed them
 * @returns headers to pass on, `content-length` included
 */
export const filterResponseHeaders = (headers: ParsedHeaders): Record<string, string> =>
  filterHeaders(headers, (name) => name === REQUEST_ID_HEADER);
