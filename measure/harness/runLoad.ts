import * as Effect from 'effect/Effect';
import * as Exit from 'effect/Exit';
import * as Scope from 'effect/Scope';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { makeCaller } from '../../src/transport/client/index.ts';
import type { Caller, CallOutcome } from '../../src/transport/client/index.ts';
import { sleep } from '../../test/fakes/listen.ts';
import type { Fleet } from './Fleet.ts';

const STEP_MS = 4;
const HTTP_OK = 200;

/** One request of a load. */
export interface LoadItem {
  /** Since the start of the load. */
  readonly atMs: number;
  readonly account: string;
  readonly tier: number;
  readonly pool: string;
  readonly path: string;
  readonly body: object;
  readonly streamed: boolean;
  readonly outputTokens: number;
  readonly deadlineMs: number;
  readonly idempotent: boolean;
}

/** What became of it. */
export interface LoadRecord {
  readonly item: LoadItem;
  readonly outcome: CallOutcome;
  /** Unix time. */
  readonly startedAt: number;
  readonly totalMs: number;
  readonly firstEventMs: number | undefined;
  /** Whether the whole answer to this very request came in time. */
  readonly good: boolean;
  /** Whether a whole answer came that is another request's or lacks a part. */
  readonly wrong: boolean;
}

/** Bounds on how callers behave. */
export interface LoadOptions {
  readonly seed: number;
  readonly maximumAttempts?: number;
  /** Called at set times since the start, in order. */
  readonly events?: readonly { readonly atMs: number; readonly run: () => void }[];
}

interface ChatAnswer {
  readonly id?: string;
  readonly choices?: readonly {
    readonly message?: { readonly content?: string };
    readonly delta?: { readonly content?: string };
  }[];
}

const wordsOf = (text: string): number => text.split(' ').length - 1;

/** Whether a text is all that the stand-in generates for the request. */
const isWhole = (text: string, id: string, tokens: number): boolean =>
  text.startsWith(`${id} `) && wordsOf(text) === tokens;

const parseAnswer = (text: string): ChatAnswer => {
  try {
    return JSON.parse(text);
  } catch {
    return {};
  }
};

const answerText = (outcome: CallOutcome, streamed: string): string => {
  if (streamed !== '' || outcome._tag !== 'completed') return streamed;
  return parseAnswer(outcome.body.toString('utf8')).choices?.[0]?.message?.content ?? '';
};

const makeItemCall = (caller: Caller, item: LoadItem) => async (): Promise<LoadRecord> => {
  const startedAt = Date.now();
  const began = performance.now();
  let streamed = '';
  let firstEventMs: number | undefined;
  const onEvent = (data: string) => {
    firstEventMs ??= performance.now() - began;
    streamed += parseAnswer(data).choices?.[0]?.delta?.content ?? '';
  };
  const outcome = await Effect.runPromise(
    caller.call({
      method: 'POST',
      path: item.path,
      headers: { 'content-type': 'application/json' },
      body: Buffer.from(JSON.stringify(item.body)),
      deadlineMs: item.deadlineMs,
      idempotent: item.idempotent,
      ...(item.streamed && { onEvent }),
    }),
  );
  const totalMs = performance.now() - began;
  const completed = outcome._tag === 'completed' && outcome.status === HTTP_OK;
  const chat = item.path === '/v1/chat/completions';
  const whole =
    completed && (!chat || isWhole(answerText(outcome, streamed), outcome.id, item.outputTokens));
  return {
    item,
    outcome,
    startedAt,
    totalMs,
    firstEventMs,
    good: whole && totalMs <= item.deadlineMs,
    wrong: completed && !whole,
  };
};

/**
 * Sends a load, each request at its time whatever became of those before it, and waits for all.
 *
 * @param fleet - entries to send to
 * @param items - requests by time
 * @param options - seed, tries and events on the way
 * @returns one record a request, in the order of the items
 */
export const runLoad = async (
  fleet: Fleet,
  items: readonly LoadItem[],
  { seed, maximumAttempts = 1, events = [] }: LoadOptions,
): Promise<readonly LoadRecord[]> => {
  const scope = Scope.makeUnsafe();
  const callers = new Map<string, Caller>();
  const callerOf = async (account: string) => {
    const caller = await Effect.runPromise(
      makeCaller({
        key: fleet.options.deployment.keyOf(account),
        seeds: fleet.seeds,
        now: () => performance.now(),
        generator: xoroshiro128plus(seed + callers.size),
        maximumAttempts,
      }).pipe(Scope.provide(scope)),
    );
    callers.set(account, caller);
  };
  for (const account of new Set(items.map((item) => item.account))) await callerOf(account);

  const began = performance.now();
  const running: Promise<LoadRecord>[] = [];
  const due = [...events].sort((a, b) => a.atMs - b.atMs);
  while (running.length < items.length || due.length > 0) {
    const elapsed = performance.now() - began;
    while ((due[0]?.atMs ?? Infinity) <= elapsed) due.shift()?.run();
    while ((items[running.length]?.atMs ?? Infinity) <= elapsed) {
      const item = items[running.length] as LoadItem;
      running.push(makeItemCall(callers.get(item.account) as Caller, item)());
    }
    await sleep(STEP_MS);
  }
  const records = await Promise.all(running);
  await Effect.runPromise(Scope.close(scope, Exit.void));
  return records;
};
