import { randomBytes } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';
import * as Effect from 'effect/Effect';
import type { EntryAddress } from '../../protocol/caller/CallerService.ts';
import {
  DEADLINE_HEADER,
  IDEMPOTENT_HEADER,
  REQUEST_ID_HEADER,
} from '../../protocol/caller/headers.ts';
import { makeJsonDecoder } from '../../protocol/makeJsonDecoder.ts';
import { RequestStatus } from '../../state/RequestOutcome.ts';
import { requestWhole } from '../http/index.ts';
import type { ConnectionPool, WholeOutcome } from '../http/index.ts';
import { attempt } from './attempt.ts';
import type { AttemptOutcome } from './attempt.ts';
import { EntryDirectory } from './EntryDirectory.ts';
import type { EntryDirectoryOptions } from './EntryDirectory.ts';

/** A request as a caller wants it made. */
export interface CallerCall {
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: Uint8Array;
  /** Time for the whole of it, further tries included; undefined leaves it to the tier. */
  readonly deadlineMs?: number;
  readonly idempotent?: boolean;
  /** Id to use; it is then never replaced by a new one. */
  readonly id?: string;
  /** Told the data of each event of a model's stream. */
  readonly onEvent?: (data: string) => void;
}

interface CallTrace {
  /** Id of the last try. */
  readonly id: string;
  /** Entry of the last try. */
  readonly entry: string;
  readonly attempts: number;
}

/** What a caller knows in the end. */
export type CallOutcome =
  | (CallTrace & {
      readonly _tag: 'completed';
      readonly status: number;
      readonly headers: IncomingHttpHeaders;
      readonly body: Buffer;
    })
  | (CallTrace & {
      readonly _tag: 'notRun';
      readonly code: string;
      readonly message: string;
      readonly retryAfterMs: number | undefined;
    })
  | (CallTrace & { readonly _tag: 'unknown'; readonly code: string });

/** What a caller is made of. */
export interface CallerOptions extends EntryDirectoryOptions {
  readonly key: string;
  /** Most tries of one call; 1 asks for no further one. */
  readonly maximumAttempts?: number;
}

const DEFAULT_ATTEMPTS = 4;
const DEFAULT_PATIENCE_MS = 600_000;
/** Time beyond the deadline for the entry's last word. */
const DEADLINE_GRACE_MS = 1_000;
/** Time for an entry to say that it takes a body; one that stands still is left for another. */
const MAXIMUM_CONTINUE_MS = 1_000;
const MINIMUM_CONTINUE_MS = 100;
/** Part of the time left that one entry may take to say so, which leaves time to try others. */
const CONTINUE_SHARE = 0.2;
const SUFFIX_BYTES = 12;
const STATUS_TIMEOUT_MS = 2_000;
const STATUS_POLL_MS = 250;
/** Entries need their lease and its margin before they may call a dead entry's request not run. */
const MAXIMUM_STATUS_POLLS = 40;
const MAXIMUM_STATUS_BYTES = 64 * 1024;
const HTTP_OK = 200;
/** A refused connection says nothing of load, so the next entry is tried almost at once. */
const NEXT_ENTRY_MS = 20;

const RENEWING_CODES: ReadonlySet<string> = new Set(['draining', 'request_id_expired']);

const decodeStatus = makeJsonDecoder(RequestStatus);

// Callers share a prefix without knowing of each other, so a seeded generator won't do here.
const mint = ({ requestIdPrefix }: EntryAddress): string =>
  `${requestIdPrefix}${randomBytes(SUFFIX_BYTES).toString('base64url')}`;

const continueWithin = (remainingMs: number): number =>
  Math.max(MINIMUM_CONTINUE_MS, Math.min(MAXIMUM_CONTINUE_MS, remainingMs * CONTINUE_SHARE));

interface CallState extends CallTrace {
  readonly call: CallerCall;
  readonly endsAt: number;
}

/** A caller that follows the rules: keeps the list of entries, mints ids, and re-sends only what was certainly not run. */
export class Caller {
  readonly #pool: ConnectionPool;

  readonly #options: CallerOptions;

  readonly #directory: EntryDirectory;

  constructor(pool: ConnectionPool, options: CallerOptions) {
    this.#pool = pool;
    this.#options = options;
    this.#directory = new EntryDirectory(pool, options);
  }

  /** Gives the entries that the caller would use now. */
  entries(): Effect.Effect<readonly EntryAddress[]> {
    return this.#directory.current();
  }

  /**
   * Makes a call.
   *
   * @param call - what is wanted
   * @returns what the caller knows in the end; never fails
   */
  call(call: CallerCall): Effect.Effect<CallOutcome> {
    const patience = call.deadlineMs ?? DEFAULT_PATIENCE_MS;
    const endsAt = this.#options.now() + patience;
    return this.#try({ call, endsAt, id: call.id ?? '', entry: '', attempts: 0 });
  }

  #try(previous: CallState): Effect.Effect<CallOutcome> {
    return this.#directory.choose().pipe(
      Effect.flatMap((entry) => {
        if (!entry) return Effect.succeed(Caller.#unreachable(previous));
        const state: CallState = {
          ...previous,
          id: previous.call.id ?? mint(entry),
          entry: entry.address,
          attempts: previous.attempts + 1,
        };
        return this.#send(state).pipe(Effect.flatMap((outcome) => this.#settle(state, outcome)));
      }),
    );
  }

  #send({ call, entry, endsAt, id }: CallState): Effect.Effect<AttemptOutcome> {
    const remainingMs = Math.max(1, Math.floor(endsAt - this.#options.now()));
    const headers = {
      ...call.headers,
      authorization: `Bearer ${this.#options.key}`,
      [REQUEST_ID_HEADER]: id,
      ...(call.deadlineMs !== undefined && { [DEADLINE_HEADER]: String(remainingMs) }),
      ...(call.idempotent !== undefined && { [IDEMPOTENT_HEADER]: String(call.idempotent) }),
    };
    return attempt(
      this.#pool,
      {
        address: `http://${entry}`,
        id,
        method: call.method,
        path: call.path,
        headers,
        body: call.body,
        fresh: false,
        silenceMs: remainingMs + DEADLINE_GRACE_MS,
        continueWithinMs: continueWithin(remainingMs),
      },
      call.onEvent ?? (() => {}),
    );
  }

  #settle(state: CallState, outcome: AttemptOutcome): Effect.Effect<CallOutcome> {
    const { id, entry, attempts } = state;
    const trace: CallTrace = { id, entry, attempts };
    switch (outcome._tag) {
      case 'completed':
        return Effect.succeed({ ...outcome, ...trace });
      case 'notRun':
        return this.#onNotRun(state, outcome);
      case 'unknown':
        return this.#onUnknown(state, outcome.code);
      case 'used':
        return this.#ask(state, 0);
      case 'refused':
        this.#directory.avoid(entry);
        // Nothing of the request was sent, so even its own id may be sent again.
        return this.#mayTryAgain(state, NEXT_ENTRY_MS)
          ? this.#tryLater(state, NEXT_ENTRY_MS)
          : Effect.succeed(Caller.#unreachable(state));
      case 'lost':
        this.#directory.avoid(entry);
        return this.#ask(state, 0);
      default:
        return outcome satisfies never;
    }
  }

  #onNotRun(
    state: CallState,
    outcome: Extract<AttemptOutcome, { _tag: 'notRun' }>,
  ): Effect.Effect<CallOutcome> {
    const { id, entry, attempts, call } = state;
    // Such entries take no new request, or none with the ids of the list that is kept.
    if (RENEWING_CODES.has(outcome.code)) this.#directory.avoid(entry);
    const retryAfterMs = RENEWING_CODES.has(outcome.code) ? NEXT_ENTRY_MS : outcome.retryAfterMs;
    // What became of a given id stays so; only a new id can be tried again.
    if (call.id === undefined && retryAfterMs !== undefined) {
      if (this.#mayTryAgain(state, retryAfterMs)) return this.#tryLater(state, retryAfterMs);
    }
    return Effect.succeed({ ...outcome, id, entry, attempts });
  }

  #onUnknown(state: CallState, code: string): Effect.Effect<CallOutcome> {
    const { id, entry, attempts, call } = state;
    // Events that were passed on can't be taken back, so a stream is not begun again.
    const repeatable = call.idempotent === true && call.id === undefined && !call.onEvent;
    if (repeatable && this.#mayTryAgain(state, NEXT_ENTRY_MS)) {
      return this.#tryLater(state, NEXT_ENTRY_MS);
    }
    return Effect.succeed({ _tag: 'unknown', code, id, entry, attempts });
  }

  #mayTryAgain({ attempts, endsAt }: CallState, delayMs: number): boolean {
    const maximum = this.#options.maximumAttempts ?? DEFAULT_ATTEMPTS;
    return attempts < maximum && this.#options.now() + delayMs < endsAt;
  }

  #tryLater(state: CallState, delayMs: number): Effect.Effect<CallOutcome> {
    return Effect.sleep(delayMs).pipe(Effect.flatMap(() => this.#try(state)));
  }

  /** Asks other entries what became of a request whose answer was lost. */
  #ask(state: CallState, polls: number): Effect.Effect<CallOutcome> {
    const giveUp = polls >= MAXIMUM_STATUS_POLLS || this.#options.now() > state.endsAt;
    if (giveUp) return this.#onUnknown(state, 'entry_lost');
    return this.#directory.choose().pipe(
      Effect.flatMap((entry) =>
        entry ? this.#fetchStatus(entry.address, state.id) : Effect.succeed(undefined),
      ),
      Effect.flatMap((status) => {
        if (status?._tag !== 'ended') {
          return Effect.sleep(STATUS_POLL_MS).pipe(
            Effect.flatMap(() => this.#ask(state, polls + 1)),
          );
        }
        const { outcome } = status;
        return outcome._tag === 'notRun'
          ? this.#onNotRun(state, {
              _tag: 'notRun',
              code: outcome.reason,
              message: '',
              retryAfterMs: outcome.retryAfterMs,
            })
          : this.#onUnknown(state, outcome._tag === 'unknown' ? outcome.reason : 'answer_lost');
      }),
    );
  }

  #fetchStatus(address: string, id: string): Effect.Effect<RequestStatus | undefined> {
    return Effect.callback<WholeOutcome>((resume) => {
      const call = requestWhole(
        this.#pool,
        {
          address: `http://${address}`,
          method: 'GET',
          path: `/v1/requests/${encodeURIComponent(id)}`,
          headers: { authorization: `Bearer ${this.#options.key}` },
          fresh: false,
          timeoutMs: STATUS_TIMEOUT_MS,
          maximumBytes: MAXIMUM_STATUS_BYTES,
        },
        (outcome) => resume(Effect.succeed(outcome)),
      );
      return Effect.sync(call.abort);
    }).pipe(
      Effect.map((outcome) => {
        if (outcome._tag === 'answered') {
          return outcome.status === HTTP_OK ? decodeStatus(outcome.text) : undefined;
        }
        this.#directory.avoid(address);
        return undefined;
      }),
    );
  }

  static #unreachable({ id, entry, attempts }: CallTrace): CallOutcome {
    return {
      _tag: 'notRun',
      code: 'no_entry',
      message: 'No entry could be reached; the request was not sent.',
      retryAfterMs: undefined,
      id,
      entry,
      attempts,
    };
  }
}
