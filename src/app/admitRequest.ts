import { createHash } from 'node:crypto';
import type { CallerResponse, CallerRequest } from '../protocol/caller/CallerService.ts';
import { decodeChatRequest } from '../protocol/caller/ChatRequest.ts';
import { hashPromptPrefixes } from '../protocol/engine/promptPrefixes.ts';
import type { HomeRequest } from '../coordination/home/index.ts';
import type { Bundle } from '../state/Bundle.ts';
import type { ClientAccount } from '../state/ClientAccount.ts';
import type { Pool } from '../state/Pool.ts';
import type { EntrySettings } from '../state/EntrySettings.ts';

const CHAT_PATH = '/v1/chat/completions';
/** Expected number of output tokens if the caller sets no maximum. */
const DEFAULT_OUTPUT_TOKENS = 256;
/** HTTP methods that are idempotent unless the caller declares otherwise. */
const IDEMPOTENT_METHODS = new Set(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE']);

/** A request matched with its account, tier and pool, or the reason why it is refused. */
export type Admission =
  | {
      readonly _tag: 'matched';
      readonly request: Omit<HomeRequest, 'id' | 'receivedAt' | 'deadlineAt'>;
      readonly deadlineMs: number;
      readonly streamed: boolean;
    }
  | {
      readonly _tag: 'refused';
      readonly status: number;
      readonly code: string;
      readonly message: string;
    };

const createRefusal = (status: number, code: string, message: string): Admission => ({
  _tag: 'refused',
  status,
  code,
  message,
});

/**
 * Computes the digest of an account's key in the form that bundles contain.
 *
 * @param key - the key as presented by a caller
 * @returns `sha256:` and lower-case hex
 */
export const digestKey = (key: string): string =>
  `sha256:${createHash('sha256').update(key).digest('hex')}`;

/**
 * Finds the client account with a key.
 *
 * @param bundle - the bundle in force
 * @param key - the key as presented by a caller
 * @returns the account, undefined if no account has the key
 */
export const findAccount = (bundle: Bundle, key: string): ClientAccount | undefined => {
  const digest = digestKey(key);
  return bundle.accounts.find(({ keyDigest }) => keyDigest === digest);
};

const findServicePool = (bundle: Bundle, path: string): Pool | undefined =>
  bundle.pools.find(({ kind }) => {
    if (kind._tag !== 'service') return false;
    const { pathPrefix } = kind;
    return (
      path === pathPrefix || path.startsWith(`${pathPrefix}/`) || path.startsWith(`${pathPrefix}?`)
    );
  });

const findModelPool = (bundle: Bundle, model: string): Pool | undefined =>
  bundle.pools.find(({ kind }) => kind._tag === 'model' && kind.model === model);

/**
 * Matches a caller's request with its account, tier and pool. Has no side effects.
 *
 * @param bundle - the bundle in force
 * @param request - the request as received
 * @param limits - bounds on requests, of which the maximum deadline is applied
 * @returns the request in the form that the home accepts, or a refusal
 */
export const admitRequest = (
  bundle: Bundle,
  request: CallerRequest,
  limits: EntrySettings['limits'],
): Admission => {
  const account = findAccount(bundle, request.accountKey);
  if (account === undefined)
    return createRefusal(401, 'invalid_api_key', 'No client account has this key.');
  const tier = bundle.tiers.find(({ name }) => name === account.tier);
  if (tier === undefined) {
    return createRefusal(
      403,
      'tier_unknown',
      `The account's tier ${account.tier} is not in the bundle.`,
    );
  }
  const requestedDeadlineMs = request.remainingMs ?? tier.defaultDeadlineMs;
  const deadlineMs = Math.min(requestedDeadlineMs, limits.maximumDeadlineMs);
  const accountFields = { account: account.name, tierRank: tier.rank };
  return request.path.split('?', 1)[0] === CHAT_PATH
    ? admitChat(bundle, request, accountFields, deadlineMs)
    : admitService(bundle, request, accountFields, deadlineMs);
};

type AccountFields = Pick<HomeRequest, 'account' | 'tierRank'>;

function admitChat(
  bundle: Bundle,
  request: CallerRequest,
  accountFields: AccountFields,
  deadlineMs: number,
): Admission {
  const decoded = decodeChatRequest(request.body);
  if (decoded._tag === 'malformed') return createRefusal(400, 'invalid_request', decoded.detail);
  const { chat } = decoded;
  const pool = findModelPool(bundle, chat.model);
  if (pool === undefined) {
    return createRefusal(404, 'model_not_found', `No pool serves the model ${chat.model}.`);
  }
  const outputTokens = chat.maximumOutputTokens ?? DEFAULT_OUTPUT_TOKENS;
  return {
    _tag: 'matched',
    deadlineMs,
    streamed: chat.stream,
    request: {
      ...accountFields,
      pool: pool.name,
      route: CHAT_PATH,
      promptTokens: chat.promptTokens,
      outputTokens,
      idempotent: request.idempotent ?? true,
      suspendable: chat.stream && (request.idempotent ?? true),
      prefixes: hashPromptPrefixes(chat.promptText),
    },
  };
}

function admitService(
  bundle: Bundle,
  request: CallerRequest,
  accountFields: AccountFields,
  deadlineMs: number,
): Admission {
  const pool = findServicePool(bundle, request.path);
  if (pool === undefined)
    return createRefusal(404, 'path_not_found', `No pool serves ${request.path}.`);
  return {
    _tag: 'matched',
    deadlineMs,
    streamed: false,
    request: {
      ...accountFields,
      pool: pool.name,
      route: `${request.method} ${pool.kind._tag === 'service' ? pool.kind.pathPrefix : ''}`,
      promptTokens: 0,
      outputTokens: 0,
      idempotent: request.idempotent ?? IDEMPOTENT_METHODS.has(request.method),
      suspendable: false,
      prefixes: [],
    },
  };
}

/**
 * Answers a caller whose request was refused.
 *
 * @param response - response to the caller
 * @param refusal - HTTP status, code and message of the refusal
 */
export const sendRefusal = (
  response: CallerResponse,
  { status, code, message }: Extract<Admission, { _tag: 'refused' }>,
): void => response.sendError({ status, code, message });
