import { EventCutter, type AnswerFraming } from '../../../transport/http/index.ts';
import type { AttemptEvent } from './RequestAttempt.ts';

/** Size limit of an answer that is buffered until it is complete. */
const MAXIMUM_BUFFERED_ANSWER_BYTES = 8 * 1024 * 1024;
/** Size limit of one event of a stream, which is buffered until it is complete. */
const MAXIMUM_EVENT_BYTES = 1024 * 1024;

/** What bytes of an answer gave: an event to pass on, nothing yet, or a reason to give the answer up. */
export type ReadOutcome =
  | { readonly _tag: 'event'; readonly event: AttemptEvent }
  | { readonly _tag: 'nothing' }
  | { readonly _tag: 'unusable'; readonly detail: string };

const NOTHING: ReadOutcome = { _tag: 'nothing' };

/** Reads the body of an answer: a stream event by event, any other answer as a whole. */
export class AnswerReader {
  readonly #bodyChunks: Uint8Array[] = [];

  readonly #eventCutter = new EventCutter();

  #bufferedBytes = 0;

  /** Number of complete events. */
  get eventCount(): number {
    return this.#eventCutter.count;
  }

  /** What was received of a stream, for the log. */
  get progress(): { readonly events: number; readonly unfinishedBytes: number } {
    const { count, pendingSize } = this.#eventCutter;
    return { events: count, unfinishedBytes: pendingSize };
  }

  /** Reads the next bytes of a stream. */
  readStream(bytes: Buffer): ReadOutcome {
    const { bytes: completeEvents, lastId } = this.#eventCutter.push(bytes);
    if (this.#eventCutter.pendingSize > MAXIMUM_EVENT_BYTES)
      return { _tag: 'unusable', detail: 'event exceeds the buffer limit' };
    if (completeEvents.length === 0) return NOTHING;
    const id = lastId === undefined ? {} : { lastEventId: lastId };
    return { _tag: 'event', event: { _tag: 'streamed', bytes: completeEvents, ...id } };
  }

  /** Reads the next bytes of an answer that isn't a stream. */
  readBody(bytes: Buffer): ReadOutcome {
    this.#bufferedBytes += bytes.length;
    if (this.#bufferedBytes > MAXIMUM_BUFFERED_ANSWER_BYTES)
      return { _tag: 'unusable', detail: 'answer exceeds the buffer limit' };
    this.#bodyChunks.push(bytes);
    return NOTHING;
  }

  /** Returns the whole body of an answer that isn't a stream. */
  body(): Uint8Array {
    return Buffer.concat(this.#bodyChunks);
  }

  /**
   * Reads the end of a stream.
   *
   * @param framing - how the end of the answer is marked
   * @returns the bytes after the last event if there are any, or why the stream isn't complete
   */
  endStream(framing: AnswerFraming | undefined): ReadOutcome {
    const { isInsideEvent, count } = this.#eventCutter;
    if (isInsideEvent) return { _tag: 'unusable', detail: 'stream ended inside an event' };
    // The end of the connection is no sign that an answer without a length is complete.
    if (framing === 'close' && count === 0)
      return {
        _tag: 'unusable',
        detail: 'stream without a length ended before its first event',
      };
    const rest = this.#eventCutter.rest();
    return rest.length === 0
      ? NOTHING
      : { _tag: 'event', event: { _tag: 'streamed', bytes: rest } };
  }
}
