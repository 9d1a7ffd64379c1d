import { decodeObject } from '../../protocol/platform/platformObjects.ts';
import type { ObjectKind, WriteOutcome } from '../../protocol/platform/PlatformApi.ts';
import type { WholeOutcome } from '../http/index.ts';

const HTTP_CONFLICT = 409;
const HTTP_NOT_FOUND = 404;
const HTTP_TOO_MANY = 429;
const HTTP_SERVER_ERROR = 500;

const answeredOutcome = (kind: ObjectKind, status: number, text: string): WriteOutcome => {
  // An object that is gone no longer has the version that the write named.
  if (status === HTTP_CONFLICT || status === HTTP_NOT_FOUND) return { _tag: 'conflict' };
  if (status === HTTP_TOO_MANY || status >= HTTP_SERVER_ERROR) {
    return { _tag: 'unsettled', detail: `status ${status}` };
  }
  if (status !== 200 && status !== 201) return { _tag: 'rejected', detail: `status ${status}` };
  const object = decodeObject(kind, text);
  return object
    ? { _tag: 'written', object }
    : { _tag: 'unsettled', detail: 'answer is unreadable' };
};

/**
 * Says what became of a conditional write.
 *
 * @param kind - kind of the object
 * @param outcome - what became of the HTTP request
 * @returns the write's outcome; `unsettled` wherever it may have taken effect unseen
 */
export const writeOutcome = (kind: ObjectKind, outcome: WholeOutcome): WriteOutcome =>
  outcome._tag === 'answered'
    ? answeredOutcome(kind, outcome.status, outcome.text)
    : { _tag: 'unsettled', detail: outcome.detail };
