import { createHash } from 'node:crypto';
import type { CallerAnswer, CallerRequest } from '../protocol/caller/CallerRequest.ts';
import { decodeChat } from '../protocol/caller/ChatRequest.ts';
import { promptPrefixes } from '../protocol/engine/promptPrefixes.ts';
import type { HomeRequest } from '../coordination/home/index.ts';
import type { Bundle } from '../state/Bundle.ts';
import type { ClientAccount } from '../state/ClientAccount.ts';
import type { Pool } from '../state/Pool.ts';
import type { Settings } from '../state/Settings.ts';

const CHAT_PATH = '/v1/chat/completions';
/** Generated tokens to expect where the caller sets no bound. */
const DEFAULT_OUTPUT_TOKENS = 256;
const SAFE_METHODS = new Set(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE']);

/** A request that was matched with the configuration, or why it can't be. */
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

const refuse = (status: number, code: string, message: string): Admission => ({
  _tag: 'refused',
  status,
  code,
  message,
});

/**
 * Digests an account's key the way bundles hold it.
 *
 * @param key - the key as a caller presents it
 * @returns `sha256:` and lower-case hex
 */
export const digestKey = (key: string): string =>
  `sha256:${createHash('sha256').update(key).digest('hex')}`;

/**
 * Finds the account of a key.
 *
 * @param bundle - the bundle in force
 * @param key - the key as presented
 * @returns the account, or undefined where no account has the key
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
 * Matches a caller's request with account, tier and pool.
 *
 * @param bundle - the bundle in force
 * @param request - the request as received
 * @param limits - bounds on what callers may ask for
 * @returns the request as the home takes it, or a refusal that changes nothing
 */
export const admitRequest = (
  bundle: Bundle,
  request: CallerRequest,
  limits: Settings['limits'],
): Admission => {
  const account = findAccount(bundle, request.key);
  if (account === undefined)
    return refuse(401, 'invalid_api_key', 'No client account has this key.');
  const tier = bundle.tiers.find(({ name }) => name === account.tier);
  if (tier === undefined) {
    return refuse(403, 'tier_unknown', `The account's tier ${account.tier} is not in the bundle.`);
  }
  const wanted = request.remainingMs ?? tier.defaultDeadlineMs;
  const deadlineMs = Math.min(wanted, limits.maximumDeadlineMs);
  const base = { account: account.name, tierRank: tier.rank };
  return request.path.split('?', 1)[0] === CHAT_PATH
    ? admitChat(bundle, request, base, deadlineMs)
    : admitService(bundle, request, base, deadlineMs);
};

type Base = Pick<HomeRequest, 'account' | 'tierRank'>;

function admitChat(
  bundle: Bundle,
  request: CallerRequest,
  base: Base,
  deadlineMs: number,
): Admission {
  const decoded = decodeChat(request.body);
  if (decoded._tag === 'malformed') return refuse(400, 'invalid_request', decoded.detail);
  const { chat } = decoded;
  const pool = findModelPool(bundle, chat.model);
  if (pool === undefined) {
    return refuse(404, 'model_not_found', `No pool serves the model ${chat.model}.`);
  }
  const outputTokens = chat.maximumOutputTokens ?? DEFAULT_OUTPUT_TOKENS;
  return {
    _tag: 'matched',
    deadlineMs,
    streamed: chat.stream,
    request: {
      ...base,
      pool: pool.name,
      route: CHAT_PATH,
      promptTokens: chat.promptTokens,
      outputTokens,
      idempotent: request.idempotent ?? true,
      suspendable: chat.stream && (request.idempotent ?? true),
      prefixes: promptPrefixes(chat.promptText),
    },
  };
}

function admitService(
  bundle: Bundle,
  request: CallerRequest,
  base: Base,
  deadlineMs: number,
): Admission {
  const pool = findServicePool(bundle, request.path);
  if (pool === undefined) return refuse(404, 'path_not_found', `No pool serves ${request.path}.`);
  return {
    _tag: 'matched',
    deadlineMs,
    streamed: false,
    request: {
      ...base,
      pool: pool.name,
      route: `${request.method} ${pool.kind._tag === 'service' ? pool.kind.pathPrefix : ''}`,
      promptTokens: 0,
      outputTokens: 0,
      idempotent: request.idempotent ?? SAFE_METHODS.has(request.method),
      suspendable: false,
      prefixes: [],
    },
  };
}

/** Tells a caller that its request can't be taken as it stands. */
export const answerRefusal = (
  answer: CallerAnswer,
  { status, code, message }: Extract<Admission, { _tag: 'refused' }>,
): void => answer.refuse({ status, code, message });
