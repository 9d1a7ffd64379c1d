import { randomBytes } from 'node:crypto';
import type {
  CallerResponse,
  CallerRequest,
  CallerService,
} from '../protocol/caller/CallerService.ts';
import { makeRequestIdPrefix } from '../coordination/home/index.ts';
import { owningIncarnation } from '../state/RequestId.ts';
import type { RequestOutcome, RequestStatus } from '../state/RequestOutcome.ts';
import type { Forwarder, Forwarding } from '../transport/caller/index.ts';
import { admitRequest, findAccount, sendRefusal } from './admitRequest.ts';
import type { Admission } from './admitRequest.ts';
import type { Entry } from './Entry.ts';

const ID_SECRET_BYTES = 9;
const ID_COUNTER_RADIX = 36;

const REQUEST_ID_CONFLICT = {
  status: 409,
  code: 'request_id_used',
  outcomeOmitted: true,
} as const;

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
    CallerResponse,
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

  readonly listEntries: CallerService['listEntries'] = () => ({
    entries: this.entry.entryAddresses(),
    keepForMs: this.entry.settings.timing.entriesKeepMs,
  });

  readonly isReady: CallerService['isReady'] = () =>
    this.entry.replica.current() !== undefined && !this.entry.draining;

  readonly renderMetrics: CallerService['renderMetrics'] = () =>
    this.entry.metrics.render(this.entry.gauges());

  readonly drain: CallerService['drain'] = () => this.entry.drain();

  readonly listModels: CallerService['listModels'] = (key) => {
    const bundle = this.entry.replica.current()?.bundle;
    if (bundle === undefined || findAccount(bundle, key) === undefined) return undefined;
    return bundle.pools.flatMap(({ kind }) => (kind._tag === 'model' ? [kind.model] : []));
  };

  readonly findStatus: CallerService['findStatus'] = (id, key) => {
    const bundle = this.entry.replica.current()?.bundle;
    if (bundle === undefined || findAccount(bundle, key) === undefined) {
      return Promise.resolve(undefined);
    }
    return this.#statusOf(id);
  };

  readonly serve: CallerService['serve'] = (request, response) => {
    const bundle = this.entry.replica.current()?.bundle;
    const id = request.id ?? this.#createRequestId();
    response.setRequestId(id);
    if (bundle === undefined) {
      response.sendNotRun('no_configuration', this.entry.chooseRetryAfterMs());
      return;
    }
    const admission = admitRequest(bundle, request, this.entry.settings.limits);
    if (admission._tag === 'refused') {
      sendRefusal(response, admission);
      return;
    }
    if (owningIncarnation(id) === this.entry.incarnation)
      this.#accept(id, request, admission, response);
    else this.#forwardToHome(id, request, response);
  };

  #createRequestId(): string {
    this.#idCounter += 1;
    const suffix = `${this.#idSecret}-${this.#idCounter.toString(ID_COUNTER_RADIX)}`;
    return `${makeRequestIdPrefix(this.entry.incarnation, this.entry.wallNow())}${suffix}`;
  }

  #accept(
    id: string,
    request: CallerRequest,
    { request: matched, deadlineMs, streamed }: Extract<Admission, { _tag: 'matched' }>,
    response: CallerResponse,
  ): void {
    const { entry } = this;
    const known = entry.home.status(id);
    if (known !== undefined) {
      respondWithStatus(response, known);
      return;
    }
    if (!entry.incarnations.acceptsNew(id, entry.wallNow())) {
      const message = 'The id is too old to be taken; ask for entries again and use a new prefix.';
      response.sendError({ status: 409, code: 'request_id_expired', message });
      return;
    }
    if (entry.draining) {
      response.sendNotRun('draining', entry.chooseRetryAfterMs());
      return;
    }
    if (entry.home.size >= entry.settings.limits.maximumRequests) {
      response.sendNotRun('overloaded', entry.chooseRetryAfterMs());
      return;
    }
    const now = entry.now();
    entry.calls.register(id, request, response, streamed);
    response.onDisconnect(() => entry.execute(entry.home.handleCallerLeft(id, entry.now())));
    entry.execute(
      entry.home.accept({ ...matched, id, receivedAt: now, deadlineAt: now + deadlineMs }, now),
    );
  }

  #forwardToHome(id: string, request: CallerRequest, response: CallerResponse): void {
    const home = this.entry.membership.find(owningIncarnation(id));
    const mayAnswer = home?.status === 'alive' || home?.status === 'suspect';
    if (home === undefined || !mayAnswer || request.forwarded) {
      this.#respondFromStatus(id, response);
      return;
    }
    const forwarding = this.forwarder.forward(
      home.callerAddress,
      request,
      id,
      response,
      (outcome) => {
        this.#forwardedRequests.delete(response);
        if (outcome._tag === 'unreachable') this.#respondFromStatus(id, response);
      },
    );
    this.#forwardedRequests.set(response, { id, home: home.incarnation, forwarding });
  }

  /** Answers requests that were forwarded to a lost home with their last known status. */
  #abandonForwardedTo(home: string): void {
    this.#forwardedRequests.forEach((forwardedRequest, response) => {
      if (forwardedRequest.home !== home) return;
      this.#forwardedRequests.delete(response);
      if (forwardedRequest.forwarding.abandon())
        this.#respondFromStatus(forwardedRequest.id, response);
    });
  }

  #respondFromStatus(id: string, response: CallerResponse): void {
    this.#statusOf(id).then((status) => {
      if (status === undefined) response.sendUnknownOutcome('entry_lost');
      else respondWithStatus(response, status);
    });
  }

  #statusOf(id: string): Promise<RequestStatus | undefined> {
    const { entry } = this;
    const own = entry.statusOf(id);
    if (own !== undefined || owningIncarnation(id) === entry.incarnation)
      return Promise.resolve(own);
    return new Promise((resolve) => {
      entry.execute(entry.outcomeResolver.resolve(id, entry.now(), resolve));
    });
  }
}

/** Answers a request whose id was used before with its status. The request is not run again. */
function respondWithStatus(response: CallerResponse, status: RequestStatus): void {
  switch (status._tag) {
    case 'waiting':
    case 'dispatched':
      response.sendError({
        ...REQUEST_ID_CONFLICT,
        message: 'A request with this id is being served.',
      });
      return;
    case 'ended':
      respondWithOutcome(response, status.outcome);
      return;
    default:
      status satisfies never;
  }
}

function respondWithOutcome(response: CallerResponse, outcome: RequestOutcome): void {
  switch (outcome._tag) {
    case 'completed':
      response.sendError({
        ...REQUEST_ID_CONFLICT,
        message: 'The request with this id has been completed; its answer is not kept.',
      });
      return;
    case 'notRun':
      response.sendNotRun(outcome.reason, outcome.retryAfterMs);
      return;
    case 'unknown':
      response.sendUnknownOutcome(outcome.reason);
      return;
    default:
      outcome satisfies never;
  }
}
