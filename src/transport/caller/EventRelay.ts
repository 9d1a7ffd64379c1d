import { createParser } from 'eventsource-parser';
import type { EventSourceMessage, EventSourceParser } from 'eventsource-parser';
import * as Schema from 'effect/Schema';
import type { CallerResponse } from '../../protocol/caller/CallerService.ts';
import { decodeJson } from '../../protocol/decodeJson.ts';
import { END_MARK } from '../../protocol/engine/engineAnswers.ts';
import { UnknownOutcomeReason } from '../../state/RequestOutcome.ts';

const MAXIMUM_EVENT_CHARACTERS = 1024 * 1024;

const decodeCut = decodeJson(
  Schema.Struct({ error: Schema.Struct({ code: UnknownOutcomeReason }) }),
);

/** Passes on a model's event stream from the entry that owns the request. */
export class EventRelay {
  readonly #answer: CallerResponse;

  readonly #parser: EventSourceParser;

  readonly #decoder = new TextDecoder();

  #complete = false;

  #broken = false;

  constructor(answer: CallerResponse) {
    this.#answer = answer;
    this.#parser = createParser({
      maxBufferSize: MAXIMUM_EVENT_CHARACTERS,
      onEvent: (event) => this.#onMessage(event),
      onError: ({ type }) => {
        if (type === 'max-buffer-size-exceeded') this.#cut('answer_cut');
      },
    });
  }

  /**
   * Says whether an answer is an event stream.
   *
   * @param headers - its headers
   */
  static handles(headers: Readonly<Record<string, string>>): boolean {
    return (headers['content-type'] ?? '').startsWith('text/event-stream');
  }

  /**
   * Passes on what the next bytes hold.
   *
   * @param bytes - the next bytes
   */
  read(bytes: Uint8Array): void {
    // A parser that gave an event up as too large throws when it is fed again.
    if (this.#broken) return;
    this.#parser.feed(this.#decoder.decode(bytes, { stream: true }));
  }

  /** Whether the end mark was seen. */
  complete(): boolean {
    return this.#complete;
  }

  /** Whether the answer was broken off here; nothing more is to be read then. */
  broken(): boolean {
    return this.#broken;
  }

  #cut(reason: UnknownOutcomeReason): void {
    this.#broken = true;
    this.#answer.abort(reason);
  }

  #onMessage(event: EventSourceMessage): void {
    if (event.data === END_MARK) this.#complete = true;
    else if (event.event === 'error') {
      this.#cut(decodeCut(event.data)?.error.code ?? 'entry_lost');
    } else this.#answer.sendEvent(event.data, Number(event.id ?? 0));
  }
}
