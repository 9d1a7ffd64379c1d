import * as Effect from 'effect/Effect';
import type {
  ObjectKind,
  PlatformApi,
  StoredObject,
  WriteOutcome,
} from '../../protocol/platform/PlatformApi.ts';
import { canonicalJson } from '../../state/canonicalJson.ts';

/** Maximum number of attempts of one write; after the last one, an unknown outcome is returned. */
const MAXIMUM_ATTEMPTS = 4;
/** Delay between two attempts. */
const RETRY_DELAY_MS = 100;

/** A write that takes effect only if the stored object still has the expected version. */
export interface ConditionalWrite {
  readonly kind: ObjectKind;
  readonly name: string;
  /**
   * Value to write. It must differ from every other writer's value, by a nonce or by its fencing and
   * sequence numbers, as the stored value identifies the write that took effect.
   */
  readonly value: unknown;
  /** Expected resource version of the stored object; undefined if it must not exist yet. */
  readonly expected: string | undefined;
}

/** Outcome of a conditional write after retries and, on a conflict, a read of the stored value. */
export type ConditionalWriteResult =
  | { readonly _tag: 'written'; readonly object: StoredObject }
  /** Another writer's value is stored, or none; this write can no longer take effect. */
  | { readonly _tag: 'lost'; readonly object: StoredObject | undefined }
  /** The object service rejected the write. */
  | { readonly _tag: 'rejected'; readonly detail: string }
  /** The outcome is unknown: the write may have taken effect, or still may. */
  | { readonly _tag: 'unsettled'; readonly detail: string };

const attemptWrite = (
  platform: PlatformApi,
  { kind, name, value, expected }: ConditionalWrite,
): Effect.Effect<WriteOutcome> =>
  expected === undefined
    ? platform.create(kind, name, value)
    : platform.replace(kind, name, value, expected);

const resolveConflict = (
  platform: PlatformApi,
  write: ConditionalWrite,
): Effect.Effect<ConditionalWriteResult> =>
  Effect.map(platform.read(write.kind, write.name), (read): ConditionalWriteResult => {
    if (read._tag === 'unavailable') return { _tag: 'unsettled', detail: read.detail };
    if (read._tag === 'absent') return { _tag: 'lost', object: undefined };
    const { object } = read;
    const isOurs = canonicalJson(object.value) === canonicalJson(write.value);
    return { _tag: isOurs ? 'written' : 'lost', object };
  });

/**
 * Performs a conditional write, and retries it while its outcome is unknown because the response
 * didn't arrive. Retries are safe, as a conditional write takes effect at most once. A conflict means
 * that an earlier attempt or another writer has changed the object; the stored value identifies which.
 *
 * @param platform - the object service
 * @param write - what to write
 * @param attemptsLeft - maximum number of attempts; after the last one, an unknown outcome is returned
 * @returns the outcome of the write
 */
export const writeConditionally = (
  platform: PlatformApi,
  write: ConditionalWrite,
  attemptsLeft = MAXIMUM_ATTEMPTS,
): Effect.Effect<ConditionalWriteResult> =>
  Effect.gen(function* performWrite() {
    const outcome = yield* attemptWrite(platform, write);
    switch (outcome._tag) {
      case 'written':
      case 'rejected':
        return outcome;
      case 'conflict':
        return yield* resolveConflict(platform, write);
      case 'unsettled':
        if (attemptsLeft <= 1) return outcome;
        yield* Effect.sleep(RETRY_DELAY_MS);
        return yield* writeConditionally(platform, write, attemptsLeft - 1);
      default:
        return outcome satisfies never;
    }
  });
