// All header names in this file are in lower case, as Node reports them.

/** Id of the request. */
export const REQUEST_ID_HEADER = 'x-request-id';
/** Time left until the deadline, in ms. */
export const DEADLINE_HEADER = 'x-deadline-ms';
/** Whether the caller declares the request idempotent. */
export const IDEMPOTENT_HEADER = 'x-idempotent';
/** Outcome of a request that failed, see `ErrorOutcome`. */
export const OUTCOME_HEADER = 'x-outcome';
/** Marks a request that another entry forwarded, so that it isn't forwarded again. */
export const FORWARDED_HEADER = 'x-corianderwick-forwarded';
/** Tells an engine which version must serve the request. */
export const MODEL_VERSION_HEADER = 'x-model-version';

/** Header whose repeated values, unlike those of any other header, can't be joined by commas. */
export const SET_COOKIE_HEADER = 'set-cookie';
/** Separates several cookies in one value; a line feed can't occur in a header value. */
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
 * Filters the headers of a caller's request before it is forwarded to an endpoint. Removes hop-by-hop
 * headers and those that are meant for the entry, among them the account key.
 *
 * @param headers - headers as Node parsed them
 * @returns headers to forward
 */
export const filterRequestHeaders = (headers: ParsedHeaders): Record<string, string> =>
  filterHeaders(headers, (name) => ENTRY_ONLY_HEADERS.has(name));

/**
 * Filters the headers of an endpoint's response before it is forwarded to the caller. Removes
 * hop-by-hop headers and the request id, which the entry sets itself.
 *
 * @param headers - headers as Node parsed them
 * @returns headers to forward, including `content-length`
 */
export const filterResponseHeaders = (headers: ParsedHeaders): Record<string, string> =>
  filterHeaders(headers, (name) => name === REQUEST_ID_HEADER);
