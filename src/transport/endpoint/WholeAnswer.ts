import type { IncomingHttpHeaders } from 'node:http';
import { checkWholeResponse } from '../../protocol/engine/engineResponses.ts';
import { ByteCollector } from '../http/index.ts';
import type { AnswerFinding } from './AnswerFinding.ts';

const MAXIMUM_ANSWER_BYTES = 32 * 1024 * 1024;

/** An answer that was read to its end and is the request's own. */
interface CompleteAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

/** Collects an engine's whole answer, to be told only once it is complete and checked. */
export class WholeAnswer {
  readonly #requestId: string;

  #status = 0;

  #headers: IncomingHttpHeaders = {};

  readonly #collected = new ByteCollector();

  #body: Buffer = Buffer.alloc(0);

  #complete = false;

  /** Whole answers carry no numbered events. */
  readonly lastIndex = 0;

  constructor(requestId: string) {
    this.#requestId = requestId;
  }

  /** Prepares for a new connection, which brings the answer from its start. */
  restart(): void {
    this.#collected.take();
  }

  /**
   * Keeps the head until the body is complete.
   *
   * @param status - status code
   * @param headers - headers as Node parsed them
   */
  keepHead(status: number, headers: IncomingHttpHeaders): void {
    this.#status = status;
    this.#headers = headers;
  }

  /**
   * Collects bytes of the present connection.
   *
   * @param bytes - the next bytes
   * @returns whether the answer is still within bounds
   */
  read(bytes: Buffer): AnswerFinding {
    if (this.#collected.size + bytes.length > MAXIMUM_ANSWER_BYTES) {
      return { _tag: 'failed', reason: 'endpoint_failed', detail: 'answer is too large' };
    }
    this.#collected.append(bytes);
    return { _tag: 'more' };
  }

  /**
   * Checks the answer once its connection says that it is complete.
   *
   * @returns whether it is the request's own
   */
  close(): AnswerFinding {
    this.#body = this.#collected.take();
    const text = this.#body.toString('utf8');
    const summary = checkWholeResponse(text, this.#requestId);
    switch (summary._tag) {
      case 'own':
        this.#complete = true;
        return { _tag: 'ended', usage: summary.usage };
      case 'crossed':
        return {
          _tag: 'failed',
          reason: 'answer_crossed',
          detail: `answer is of request ${summary.id}`,
        };
      case 'unreadable':
        return { _tag: 'incomplete', detail: 'answer is unreadable' };
      default:
        return summary satisfies never;
    }
  }

  /**
   * Gives the answer.
   *
   * @returns undefined until `close` found it complete
   */
  whole(): CompleteAnswer | undefined {
    if (!this.#complete) return undefined;
    return { status: this.#status, headers: this.#headers, body: this.#body };
  }
}
