import { createParser } from 'eventsource-parser';
import type { EventSourceMessage, EventSourceParser } from 'eventsource-parser';
import { END_MARK, summarizeEvent } from '../../protocol/engine/engineAnswers.ts';
import type { TokenUsage } from '../../protocol/engine/EndpointClient.ts';
import type { AnswerFinding } from './AnswerFinding.ts';

const MAXIMUM_EVENT_CHARACTERS = 1024 * 1024;
const MORE: AnswerFinding = { _tag: 'more' };

/** Reads an engine's event stream over any number of connections: in order, no gap, no repeat. */
export class EventAnswer {
  readonly #requestId: string;

  readonly #onEvent: (data: string, index: number) => void;

  readonly #parser: EventSourceParser;

  #decoder = new TextDecoder();

  #finding: AnswerFinding = MORE;

  #usage: TokenUsage | undefined;

  /** Number of the last event that was told; 0 before the first. */
  lastIndex = 0;

  constructor(requestId: string, onEvent: (data: string, index: number) => void) {
    this.#requestId = requestId;
    this.#onEvent = onEvent;
    this.#parser = createParser({
      maxBufferSize: MAXIMUM_EVENT_CHARACTERS,
      onEvent: (event) => this.#onMessage(event),
      onError: (error) => {
        if (error.type === 'max-buffer-size-exceeded') {
          this.#finding = { _tag: 'failed', reason: 'endpoint_failed', detail: error.message };
        }
      },
    });
  }

  /** Prepares for a new connection, which goes on after the last event. */
  restart(): void {
    this.#parser.reset();
    this.#decoder = new TextDecoder();
    this.#finding = MORE;
  }

  /**
   * Reads bytes of the present connection.
   *
   * @param bytes - the next bytes
   * @returns what they brought the answer to
   */
  read(bytes: Uint8Array): AnswerFinding {
    // A parser that gave an event up as too large throws when it is fed again.
    if (this.#finding._tag === 'more') {
      this.#parser.feed(this.#decoder.decode(bytes, { stream: true }));
    }
    return this.#finding;
  }

  /**
   * Says what it means that the connection's answer ended here.
   *
   * @returns `incomplete`, as the end mark would have come before
   */
  // eslint-disable-next-line class-methods-use-this
  close(): AnswerFinding {
    return { _tag: 'incomplete', detail: 'stream ended without its end mark' };
  }

  /** Streams are told event by event, so no head is kept. */
  // eslint-disable-next-line class-methods-use-this
  keepHead(): void {}

  /** Streams are told event by event, so nothing is kept. */
  // eslint-disable-next-line class-methods-use-this
  whole(): undefined {
    return undefined;
  }

  #onMessage(event: EventSourceMessage): void {
    if (this.#finding._tag !== 'more') return;
    if (event.data === END_MARK) {
      this.#finding = { _tag: 'ended', usage: this.#usage };
      return;
    }
    if (event.event === 'error') {
      this.#finding = { _tag: 'failed', reason: 'endpoint_failed', detail: event.data };
      return;
    }
    const index = Number(event.id ?? Number.NaN);
    if (!Number.isSafeInteger(index)) {
      this.#finding = { _tag: 'failed', reason: 'endpoint_failed', detail: 'event has no number' };
      return;
    }
    if (index > this.lastIndex) this.#onNext(event.data, index);
  }

  #onNext(data: string, index: number): void {
    if (index !== this.lastIndex + 1) {
      this.#finding = { _tag: 'incomplete', detail: `event ${index} after ${this.lastIndex}` };
      return;
    }
    const summary = summarizeEvent(data, this.#requestId);
    switch (summary._tag) {
      case 'own':
        this.lastIndex = index;
        this.#usage = summary.usage ?? this.#usage;
        this.#onEvent(data, index);
        return;
      case 'crossed':
        this.#finding = {
          _tag: 'failed',
          reason: 'answer_crossed',
          detail: `event is of request ${summary.id}`,
        };
        return;
      case 'unreadable':
        this.#finding = {
          _tag: 'failed',
          reason: 'endpoint_failed',
          detail: 'event is unreadable',
        };
        return;
      default:
        summary satisfies never;
    }
  }
}
