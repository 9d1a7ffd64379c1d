import type { AnswerMemory, HeldAnswer } from '../../../coordination/gateway/index.ts';
import { ByteCollector, EventCutter, type AnswerFraming } from '../../../transport/http/index.ts';
import type { AttemptEvent } from './RequestAttempt.ts';

/** Size limit of an answer that is buffered until it is complete. */
const MAXIMUM_BUFFERED_ANSWER_BYTES = 8 * 1024 * 1024;
/** Most pieces in which such an answer, or one event, may come: each piece takes processor time, however small it is. */
const MAXIMUM_PIECES = 65_536;
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
  #body = new ByteCollector();

  readonly #eventCutter = new EventCutter();

  readonly #held: HeldAnswer;

  /**
   * @param memory - limits what all answers of the process hold together
   * @param source - the endpoint or peer that sends the answer
   * @param onYield - called if the answer has to be given up, because its source holds too much memory
   */
  constructor(memory: AnswerMemory, source: string, onYield: () => void) {
    this.#held = memory.open(source, onYield);
  }

  /** Number of complete events. */
  get eventCount(): number {
    return this.#eventCutter.count;
  }

  /** What was received of a stream, for the log. */
  get progress(): { readonly events: number; readonly unfinishedBytes: number } {
    const { count, pendingSize } = this.#eventCutter;
    return { events: count, unfinishedBytes: pendingSize };
  }

  /**
   * Records the length of an answer that isn't a stream, before its first bytes.
   *
   * @param length - value of the header that announces it; undefined for an answer without one
   */
  expect(length: string | undefined): void {
    if (length !== undefined) this.#body = new ByteCollector(Number(length));
  }

  /** Reads the next bytes of a stream. */
  readStream(bytes: Buffer): ReadOutcome {
    const { bytes: completeEvents, lastId } = this.#eventCutter.push(bytes);
    const { pendingSize, pendingPieces, pendingMemory } = this.#eventCutter;
    if (pendingSize > MAXIMUM_EVENT_BYTES || pendingPieces > MAXIMUM_PIECES)
      return { _tag: 'unusable', detail: 'event exceeds the buffer limit' };
    this.#held.resize(pendingMemory);
    if (completeEvents.length === 0) return NOTHING;
    const id = lastId === undefined ? {} : { lastEventId: lastId };
    return { _tag: 'event', event: { _tag: 'streamed', bytes: completeEvents, ...id } };
  }

  /** Reads the next bytes of an answer that isn't a stream. */
  readBody(bytes: Buffer): ReadOutcome {
    const size = this.#body.size + bytes.length;
    if (size > MAXIMUM_BUFFERED_ANSWER_BYTES || this.#body.pieces >= MAXIMUM_PIECES)
      return { _tag: 'unusable', detail: 'answer exceeds the buffer limit' };
    this.#body.append(bytes);
    this.#held.resize(this.#body.capacity);
    return NOTHING;
  }

  /** Returns the whole body of an answer that isn't a stream. */
  body(): Uint8Array {
    return this.#body.take();
  }

  /** Records that the answer has ended, or was given up. */
  release(): void {
    this.#held.release();
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
