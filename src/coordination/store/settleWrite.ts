import * as Effect from 'effect/Effect';
import type {
  ObjectKind,
  PlatformApi,
  StoredObject,
  WriteOutcome,
} from '../../protocol/platform/PlatformApi.ts';
import { canonicalJson } from '../../state/canonicalJson.ts';

const MAXIMUM_ATTEMPTS = 4;
const RETRY_PAUSE_MS = 100;

/** A conditional write. */
export interface ConditionalWrite {
  readonly kind: ObjectKind;
  readonly name: string;
  /** Differs from every other writer's value, by a nonce or by its fencing and sequence numbers. */
  readonly value: unknown;
  /** Version that is to be replaced; undefined where the object must not be there yet. */
  readonly expected: string | undefined;
}

/** What became of a conditional write once lost answers were looked into. */
export type SettledWrite =
  | { readonly _tag: 'written'; readonly object: StoredObject }
  /** Another writer's value stands there; this one never will. */
  | { readonly _tag: 'lost'; readonly object: StoredObject | undefined }
  | { readonly _tag: 'rejected'; readonly detail: string }
  /** The store couldn't say: the write may have taken effect, or still may. */
  | { readonly _tag: 'unsettled'; readonly detail: string };

const attemptWrite = (
  platform: PlatformApi,
  { kind, name, value, expected }: ConditionalWrite,
): Effect.Effect<WriteOutcome> =>
  expected === undefined
    ? platform.create(kind, name, value)
    : platform.replace(kind, name, value, expected);

const lookBack = (platform: PlatformApi, write: ConditionalWrite): Effect.Effect<SettledWrite> =>
  Effect.map(platform.read(write.kind, write.name), (read): SettledWrite => {
    if (read._tag === 'unavailable') return { _tag: 'unsettled', detail: read.detail };
    if (read._tag === 'absent') return { _tag: 'lost', object: undefined };
    const { object } = read;
    const isOurs = canonicalJson(object.value) === canonicalJson(write.value);
    return { _tag: isOurs ? 'written' : 'lost', object };
  });

/**
 * Carries out a conditional write and finds out what became of it where its answer is lost. The
 * same write is tried again: being conditional, it takes effect once at most, and a conflict means
 * that either an earlier try or another writer came first, which the stored value tells apart.
 *
 * @param platform - the object service
 * @param write - what to write
 * @param attemptsLeft - tries before the outcome stays unsettled
 * @returns what became of the write
 */
export const writeConditionally = (
  platform: PlatformApi,
  write: ConditionalWrite,
  attemptsLeft = MAXIMUM_ATTEMPTS,
): Effect.Effect<SettledWrite> =>
  Effect.gen(function* settle() {
    const outcome = yield* attemptWrite(platform, write);
    switch (outcome._tag) {
      case 'written':
      case 'rejected':
        return outcome;
      case 'conflict':
        return yield* lookBack(platform, write);
      case 'unsettled':
        if (attemptsLeft <= 1) return outcome;
        yield* Effect.sleep(RETRY_PAUSE_MS);
        return yield* writeConditionally(platform, write, attemptsLeft - 1);
      default:
        return outcome satisfies never;
    }
  });
