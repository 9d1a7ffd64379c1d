import type { IncomingHttpHeaders } from 'node:http';
import { filterResponseHeaders, REQUEST_ID_HEADER } from '../../protocol/caller/headers.ts';
import type {
  EndpointCall,
  EndpointEvent,
  EndpointRequest,
} from '../../protocol/engine/EndpointClient.ts';
import { EndConfirmation, exchange, requestWhole } from '../http/index.ts';
import type { ConnectionPool, Exchange, ExchangeEvent } from '../http/index.ts';
import type { AnswerFinding, FailureReason } from './AnswerFinding.ts';
import { endpointHeaders } from './endpointHeaders.ts';
import { EventAnswer } from './EventAnswer.ts';
import { WholeAnswer } from './WholeAnswer.ts';

const MAXIMUM_ATTEMPTS = 5;
const BACK_OFF_MS = 100;
const MAXIMUM_BACK_OFF_MS = 1_000;
/** A silent engine may only be busy, so silence is borne longer each time it recurs. */
const SILENCE_GROWTH = 2;
const MAXIMUM_SILENCE_MS = 16_000;
const COMMAND_TIMEOUT_MS = 2_000;
const MAXIMUM_COMMAND_ANSWER_BYTES = 64 * 1024;
const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;
const HTTP_SERVER_ERROR = 500;

/**
 * One request at a model engine. The request itself is sent once; what is lost of its answer is
 * fetched by the engine's resume on new connections.
 */
export class EngineCall implements EndpointCall {
  readonly #pool: ConnectionPool;

  readonly #request: EndpointRequest;

  readonly #onEvent: (event: EndpointEvent) => void;

  readonly #baseSilenceMs: number;

  readonly #answer: EventAnswer | WholeAnswer;

  /** Confirms the end of an error; an answer has an end mark of its own. */
  readonly #errorEnd: EndConfirmation;

  #exchange: Exchange | undefined;

  #retry: NodeJS.Timeout | undefined;

  #silenceMs: number;

  #written = false;

  #headTold = false;

  #resuming = false;

  /** Whether the present exchange carries an error in place of the answer. */
  #errorStatus = false;

  #failedAttempts = 0;

  #ended = false;

  #suspended = false;

  /** Whether the engine hasn't yet answered the order to suspend. */
  #suspending = false;

  constructor(
    pool: ConnectionPool,
    request: EndpointRequest,
    silenceMs: number,
    onEvent: (event: EndpointEvent) => void,
  ) {
    this.#pool = pool;
    this.#request = request;
    this.#onEvent = onEvent;
    this.#baseSilenceMs = silenceMs;
    this.#silenceMs = silenceMs;
    // `OPTIONS *` asks nothing of an engine but an answer.
    const { address, idempotent } = request;
    this.#errorEnd = new EndConfirmation({
      pool,
      address,
      method: 'OPTIONS',
      path: '*',
      isRepeatable: idempotent,
    });
    this.#answer =
      request.responseForm === 'events'
        ? new EventAnswer(request.id, (data, index) => this.#tell({ _tag: 'event', data, index }))
        : new WholeAnswer(request.id);
    this.#dispatch();
  }

  cancel(): void {
    if (this.#ended) return;
    this.#stop();
    if (this.#written) this.#command('DELETE', '', () => {});
  }

  suspend(): void {
    if (this.#ended || this.#suspended) return;
    this.#suspended = true;
    // Before the request is written there is nothing to suspend; `written` comes back here.
    if (this.#written) this.#suspendAtEngine();
  }

  resume(): void {
    if (this.#ended || !this.#suspended) return;
    this.#suspended = false;
    // A resume that overtakes the order to suspend would be undone by it.
    if (this.#written && !this.#suspending) this.#fetchRest();
  }

  #dispatch(): void {
    const { id, address, method, path, body, mayWrite } = this.#request;
    // A compressed answer couldn't be read on its way through.
    const headers = { ...endpointHeaders(this.#request), 'accept-encoding': 'identity' };
    this.#exchange = exchange(
      this.#pool,
      {
        address,
        id,
        method,
        path,
        headers,
        body,
        fresh: false,
        silenceMs: this.#silenceMs,
        mayWrite,
      },
      (event) => this.#onExchange(event),
    );
  }

  #fetchRest(): void {
    if (this.#ended || this.#suspended) return;
    this.#exchange?.abort();
    this.#resuming = true;
    this.#answer.restart();
    this.#exchange = exchange(
      this.#pool,
      {
        address: this.#request.address,
        id: this.#request.id,
        method: 'GET',
        path: this.#streamPath(''),
        headers: {
          [REQUEST_ID_HEADER]: this.#request.id,
          'last-event-id': String(this.#answer.lastIndex),
        },
        body: undefined,
        fresh: true,
        silenceMs: this.#silenceMs,
      },
      (event) => this.#onExchange(event),
    );
  }

  #onExchange(event: ExchangeEvent): void {
    if (this.#ended) return;
    // What still arrives of a suspended answer is fetched again by its resume.
    if (this.#suspended && this.#written && event._tag !== 'written') return;
    const isError = event._tag === 'head' ? event.status !== HTTP_OK : this.#errorStatus;
    if (isError || event._tag === 'written') this.#errorEnd.observe(event);
    else if (event._tag === 'head') this.#errorEnd.dismiss(event);
    switch (event._tag) {
      case 'refused':
        if (this.#written) this.#retryLater(event.detail);
        else this.#finish(event);
        return;
      case 'written':
        this.#onWritten();
        return;
      case 'head':
        this.#onHead(event.status, event.headers);
        return;
      case 'data':
        this.#onData(event.bytes);
        return;
      case 'ended':
        if (this.#errorStatus) this.#confirmErrorEnd();
        else this.#onFinding(this.#answer.close());
        return;
      case 'broken':
        if (event.silent) this.#onSilence();
        else this.#retryLater(event.detail);
        return;
      default:
        event satisfies never;
    }
  }

  #onWritten(): void {
    const first = !this.#written;
    this.#written = true;
    if (first && this.#suspended) this.#suspendAtEngine();
  }

  #onHead(status: number, headers: IncomingHttpHeaders): void {
    const echoed = headers[REQUEST_ID_HEADER];
    this.#errorStatus = status !== HTTP_OK;
    const unmarkedError = this.#errorStatus && echoed === undefined;
    // A second copy of it would be taken for the answer to the next request.
    if (unmarkedError) this.#exchange?.discardConnection();
    if (echoed !== this.#request.id && !unmarkedError) {
      this.#fail('answer_crossed', `answer is for request ${String(echoed)}`);
      return;
    }
    if (this.#resuming && this.#errorStatus) {
      this.#onResumeRefused(status);
      return;
    }
    if (this.#resuming) {
      this.#tell({ _tag: 'resumed', afterIndex: this.#answer.lastIndex });
    }
    if (this.#headTold) return;
    if (this.#errorStatus || this.#request.responseForm === 'events') {
      this.#tellHead(status, headers);
    } else {
      // A whole answer is told only once it is known to be whole and the request's own.
      this.#answer.keepHead(status, headers);
    }
  }

  #confirmErrorEnd(): void {
    this.#errorEnd.confirm((reason) => {
      if (this.#ended) return;
      if (reason === undefined) this.#onFinding({ _tag: 'ended', usage: undefined });
      else this.#failCut(`the error has no end mark, and ${reason}`);
    });
  }

  #onResumeRefused(status: number): void {
    this.#exchange?.abort();
    if (status >= HTTP_SERVER_ERROR) {
      this.#retryLater(`resume answered ${status}`);
      return;
    }
    const detail =
      status === HTTP_NOT_FOUND
        ? 'the engine does not know the request any more'
        : `resume answered ${status}`;
    this.#failCut(detail);
  }

  #onData(bytes: Buffer): void {
    if (this.#errorStatus) {
      this.#tell({ _tag: 'part', bytes });
      return;
    }
    const before = this.#answer.lastIndex;
    const finding = this.#answer.read(bytes);
    if (this.#answer.lastIndex > before) {
      this.#failedAttempts = 0;
      this.#silenceMs = this.#baseSilenceMs;
    }
    this.#onFinding(finding);
  }

  #onFinding(finding: AnswerFinding): void {
    if (this.#ended) return;
    switch (finding._tag) {
      case 'more':
        return;
      case 'ended':
        this.#tellWhole();
        // The exchange reads on to its own end, so that its connection can be used again.
        this.#ended = true;
        this.#errorEnd.close();
        this.#onEvent(finding);
        return;
      case 'incomplete':
        this.#retryLater(finding.detail);
        return;
      case 'failed':
        this.#fail(finding.reason, finding.detail);
        return;
      default:
        finding satisfies never;
    }
  }

  #tellWhole(): void {
    const whole = this.#answer.whole();
    if (!whole) return;
    this.#tellHead(whole.status, whole.headers);
    this.#tell({ _tag: 'part', bytes: whole.body });
  }

  #tellHead(status: number, headers: IncomingHttpHeaders): void {
    this.#headTold = true;
    this.#tell({ _tag: 'head', status, headers: filterResponseHeaders(headers) });
  }

  #onSilence(): void {
    this.#silenceMs = Math.min(this.#silenceMs * SILENCE_GROWTH, MAXIMUM_SILENCE_MS);
    this.#fetchRest();
  }

  #retryLater(detail: string): void {
    if (this.#suspended) return;
    this.#exchange?.abort();
    // The head of an error can't be taken back, and its rest can't be resumed.
    if (this.#errorStatus && this.#headTold && !this.#resuming) {
      this.#failCut(detail);
      return;
    }
    this.#failedAttempts += 1;
    if (this.#failedAttempts >= MAXIMUM_ATTEMPTS) {
      this.#failCut(detail);
      return;
    }
    const delay = Math.min(BACK_OFF_MS * 2 ** (this.#failedAttempts - 1), MAXIMUM_BACK_OFF_MS);
    this.#retry = setTimeout(() => this.#fetchRest(), delay);
  }

  #suspendAtEngine(): void {
    clearTimeout(this.#retry);
    this.#suspending = true;
    this.#command('POST', '/suspend', () => {
      this.#suspending = false;
      if (this.#suspended) this.#exchange?.abort();
      else this.#fetchRest();
    });
  }

  #command(method: string, suffix: string, onDone: () => void, attempt = 1): void {
    requestWhole(
      this.#pool,
      {
        address: this.#request.address,
        id: this.#request.id,
        method,
        path: this.#streamPath(suffix),
        headers: { [REQUEST_ID_HEADER]: this.#request.id },
        fresh: attempt > 1,
        timeoutMs: COMMAND_TIMEOUT_MS,
        maximumBytes: MAXIMUM_COMMAND_ANSWER_BYTES,
      },
      (outcome) => {
        const done = outcome._tag === 'answered' && outcome.status < HTTP_SERVER_ERROR;
        if (done || attempt >= MAXIMUM_ATTEMPTS) onDone();
        else setTimeout(() => this.#command(method, suffix, onDone, attempt + 1), BACK_OFF_MS);
      },
    );
  }

  #streamPath(suffix: string): string {
    return `/v1/streams/${encodeURIComponent(this.#request.id)}${suffix}`;
  }

  #failCut(detail: string): void {
    this.#fail(this.#headTold ? 'answer_cut' : 'endpoint_failed', detail);
  }

  #fail(reason: FailureReason, detail: string): void {
    this.#finish({ _tag: 'failed', reason, detail });
  }

  #finish(event: EndpointEvent): void {
    if (this.#ended) return;
    this.#stop();
    this.#onEvent(event);
  }

  #tell(event: EndpointEvent): void {
    if (!this.#ended) this.#onEvent(event);
  }

  #stop(): void {
    this.#ended = true;
    this.#errorEnd.close();
    clearTimeout(this.#retry);
    this.#exchange?.abort();
  }
}
