import { randomBytes } from 'node:crypto';
import type {
  CallerAnswer,
  CallerRequest,
  CallerService,
} from '../protocol/caller/CallerRequest.ts';
import { requestIdPrefix } from '../coordination/home/index.ts';
import { homeOf } from '../state/RequestId.ts';
import type { Outcome, RequestStatus } from '../state/Outcome.ts';
import type { Forwarder, Forwarding } from '../transport/caller/index.ts';
import { admitRequest, findAccount, answerRefusal } from './admitRequest.ts';
import type { Admission } from './admitRequest.ts';
import type { Entry } from './Entry.ts';

const ID_SECRET_BYTES = 9;
const ID_COUNTER_RADIX = 36;

const REQUEST_ID_CONFLICT = { status: 409, code: 'request_id_used', outcomeUnsaid: true } as const;

/**
 * Serves callers of an entry. Accepts requests whose home is this process and forwards all others to
 * their home; if that home is lost, answers with the last known status of the request.
 */
export class EntryCallerService implements CallerService {
  /** Prevents collisions between ids created here and ids that callers create under the same prefix. */
  readonly #idSecret = randomBytes(ID_SECRET_BYTES).toString('base64url');

  #idCounter = 0;

  /** Requests of callers of this entry that are forwarded to another entry. */
  readonly #forwardedRequests = new Map<
    CallerAnswer,
    { readonly id: string; readonly home: string; readonly forwarding: Forwarding }
  >();

  /**
   * @param entry - the entry process
   * @param forwarder - forwards requests to the caller addresses of other entries
   */
  constructor(
    private readonly entry: Entry,
    private readonly forwarder: Forwarder,
  ) {
    entry.onMemberLost((incarnation) => this.#abandonForwardedTo(incarnation));
  }

  readonly entries: CallerService['entries'] = () => ({
    entries: this.entry.entryAddresses(),
    keepForMs: this.entry.settings.timing.entriesKeepMs,
  });

  readonly ready: CallerService['ready'] = () =>
    this.entry.replica.current() !== undefined && !this.entry.draining;

  readonly metrics: CallerService['metrics'] = () => this.entry.metrics.render(this.entry.gauges());

  readonly drain: CallerService['drain'] = () => this.entry.drain();

  readonly models: CallerService['models'] = (key) => {
    const bundle = this.entry.replica.current()?.bundle;
    if (bundle === undefined || findAccount(bundle, key) === undefined) return undefined;
    return bundle.pools.flatMap(({ kind }) => (kind._tag === 'model' ? [kind.model] : []));
  };

  readonly status: CallerService['status'] = (id, key) => {
    const bundle = this.entry.replica.current()?.bundle;
    if (bundle === undefined || findAccount(bundle, key) === undefined) {
      return Promise.resolve(undefined);
    }
    return this.#statusOf(id);
  };

  readonly serve: CallerService['serve'] = (request, answer) => {
    const bundle = this.entry.replica.current()?.bundle;
    const id = request.id ?? this.#createRequestId();
    answer.identify(id);
    if (bundle === undefined) {
      answer.tellNotRun('no_configuration', this.entry.chooseRetryAfterMs());
      return;
    }
    const admission = admitRequest(bundle, request, this.entry.settings.limits);
    if (admission._tag === 'refused') {
      answerRefusal(answer, admission);
      return;
    }
    if (homeOf(id) === this.entry.incarnation) this.#accept(id, request, admission, answer);
    else this.#forwardToHome(id, request, answer);
  };

  #createRequestId(): string {
    this.#idCounter += 1;
    const suffix = `${this.#idSecret}-${this.#idCounter.toString(ID_COUNTER_RADIX)}`;
    return `${requestIdPrefix(this.entry.incarnation, this.entry.wallNow())}${suffix}`;
  }

  #accept(
    id: string,
    request: CallerRequest,
    { request: matched, deadlineMs, streamed }: Extract<Admission, { _tag: 'matched' }>,
    answer: CallerAnswer,
  ): void {
    const { entry } = this;
    const known = entry.home.status(id);
    if (known !== undefined) {
      answerWithStatus(answer, known);
      return;
    }
    if (!entry.incarnations.accepts(id, entry.wallNow())) {
      const message = 'The request id has expired; request the entries again and use a new prefix.';
      answer.refuse({ status: 409, code: 'request_id_expired', message });
      return;
    }
    if (entry.draining) {
      answer.tellNotRun('draining', entry.chooseRetryAfterMs());
      return;
    }
    if (entry.home.size >= entry.settings.limits.maximumRequests) {
      answer.tellNotRun('overloaded', entry.chooseRetryAfterMs());
      return;
    }
    const now = entry.now();
    entry.calls.register(id, request, answer, streamed);
    answer.onLeave(() => entry.execute(entry.home.callerLeft(id, entry.now())));
    entry.execute(
      entry.home.accept({ ...matched, id, receivedAt: now, deadlineAt: now + deadlineMs }, now),
    );
  }

  #forwardToHome(id: string, request: CallerRequest, answer: CallerAnswer): void {
    const home = this.entry.membership.find(homeOf(id));
    const mayAnswer = home?.status === 'alive' || home?.status === 'suspect';
    if (home === undefined || !mayAnswer || request.forwarded) {
      this.#answerFromStatus(id, answer);
      return;
    }
    const forwarding = this.forwarder.forward(
      home.callerAddress,
      request,
      id,
      answer,
      (outcome) => {
        this.#forwardedRequests.delete(answer);
        if (outcome._tag === 'unreachable') this.#answerFromStatus(id, answer);
      },
    );
    this.#forwardedRequests.set(answer, { id, home: home.incarnation, forwarding });
  }

  /** Answers requests that were forwarded to a lost home with their last known status. */
  #abandonForwardedTo(home: string): void {
    this.#forwardedRequests.forEach((forwardedRequest, answer) => {
      if (forwardedRequest.home !== home) return;
      this.#forwardedRequests.delete(answer);
      if (forwardedRequest.forwarding.abandon())
        this.#answerFromStatus(forwardedRequest.id, answer);
    });
  }

  #answerFromStatus(id: string, answer: CallerAnswer): void {
    this.#statusOf(id).then((status) => {
      if (status === undefined) answer.tellUnknown('entry_lost');
      else answerWithStatus(answer, status);
    });
  }

  #statusOf(id: string): Promise<RequestStatus | undefined> {
    const { entry } = this;
    const own = entry.statusOf(id);
    if (own !== undefined || homeOf(id) === entry.incarnation) return Promise.resolve(own);
    return new Promise((resolve) => {
      entry.execute(entry.inquiry.ask(id, entry.now(), resolve));
    });
  }
}

/** Answers a request whose id was used before with its status. The request is not run again. */
function answerWithStatus(answer: CallerAnswer, status: RequestStatus): void {
  switch (status._tag) {
    case 'waiting':
    case 'dispatched':
      answer.refuse({ ...REQUEST_ID_CONFLICT, message: 'A request with this id is being served.' });
      return;
    case 'ended':
      answerWithOutcome(answer, status.outcome);
      return;
    default:
      status satisfies never;
  }
}

function answerWithOutcome(answer: CallerAnswer, outcome: Outcome): void {
  switch (outcome._tag) {
    case 'completed':
      answer.refuse({
        ...REQUEST_ID_CONFLICT,
        message: 'The request with this id has been completed; its answer is not kept.',
      });
      return;
    case 'notRun':
      answer.tellNotRun(outcome.reason, outcome.retryAfterMs);
      return;
    case 'unknown':
      answer.tellUnknown(outcome.reason);
      return;
    default:
      outcome satisfies never;
  }
}
