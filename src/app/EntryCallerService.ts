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

const SUFFIX_BYTES = 9;
const RADIX = 36;

const CONFLICT = { status: 409, code: 'request_id_used', outcomeUnsaid: true } as const;

/** Serves callers: takes what this process is home of, and passes the rest on or tells what is known. */
export class EntryCallerService implements CallerService {
  /** Keeps ids minted here apart from those that callers mint below the same prefix. */
  readonly #secret = randomBytes(SUFFIX_BYTES).toString('base64url');

  #minted = 0;

  /** Requests that other entries are serving for callers of this one. */
  readonly #forwarded = new Map<
    CallerAnswer,
    { readonly id: string; readonly home: string; readonly forwarding: Forwarding }
  >();

  /**
   * @param entry - the process
   * @param forwarder - the way to other entries' caller addresses
   */
  constructor(
    private readonly entry: Entry,
    private readonly forwarder: Forwarder,
  ) {
    entry.onMemberLost((incarnation) => this.#abandonForwarded(incarnation));
  }

  readonly entries: CallerService['entries'] = () => ({
    entries: this.entry.entryAddresses(),
    keepForMs: this.entry.settings.timing.entriesKeepMs,
  });

  readonly ready: CallerService['ready'] = () =>
    this.entry.configurationReplica.current() !== undefined && !this.entry.draining;

  readonly metrics: CallerService['metrics'] = () => this.entry.metrics.render(this.entry.gauges());

  readonly drain: CallerService['drain'] = () => this.entry.drain();

  readonly models: CallerService['models'] = (key) => {
    const bundle = this.entry.configurationReplica.current()?.bundle;
    if (bundle === undefined || findAccount(bundle, key) === undefined) return undefined;
    return bundle.pools.flatMap(({ kind }) => (kind._tag === 'model' ? [kind.model] : []));
  };

  readonly status: CallerService['status'] = (id, key) => {
    const bundle = this.entry.configurationReplica.current()?.bundle;
    if (bundle === undefined || findAccount(bundle, key) === undefined) {
      return Promise.resolve(undefined);
    }
    return this.#statusOf(id);
  };

  readonly serve: CallerService['serve'] = (request, answer) => {
    const bundle = this.entry.configurationReplica.current()?.bundle;
    const id = request.id ?? this.#mint();
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
    if (homeOf(id) === this.entry.incarnation) this.#take(id, request, admission, answer);
    else this.#passOn(id, request, answer);
  };

  #mint(): string {
    this.#minted += 1;
    const suffix = `${this.#secret}-${this.#minted.toString(RADIX)}`;
    return `${requestIdPrefix(this.entry.incarnation, this.entry.wallNow())}${suffix}`;
  }

  #take(
    id: string,
    request: CallerRequest,
    { request: matched, deadlineMs, streamed }: Extract<Admission, { _tag: 'matched' }>,
    answer: CallerAnswer,
  ): void {
    const { entry } = this;
    const known = entry.home.status(id);
    if (known !== undefined) {
      tellStatus(answer, known);
      return;
    }
    if (!entry.incarnations.accepts(id, entry.wallNow())) {
      const message = 'The id is too old to be taken; ask for entries again and use a new prefix.';
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
    entry.endpointCalls.register(id, request, answer, streamed);
    answer.onLeave(() => entry.execute(entry.home.callerLeft(id, entry.now())));
    entry.execute(
      entry.home.accept({ ...matched, id, receivedAt: now, deadlineAt: now + deadlineMs }, now),
    );
  }

  #passOn(id: string, request: CallerRequest, answer: CallerAnswer): void {
    const home = this.entry.membership.find(homeOf(id));
    const alive = home?.status === 'alive' || home?.status === 'suspect';
    if (home === undefined || !alive || request.forwarded) {
      this.#tellKnown(id, answer);
      return;
    }
    const forwarding = this.forwarder.forward(
      home.callerAddress,
      request,
      id,
      answer,
      (outcome) => {
        this.#forwarded.delete(answer);
        if (outcome._tag === 'unreachable') this.#tellKnown(id, answer);
      },
    );
    this.#forwarded.set(answer, { id, home: home.incarnation, forwarding });
  }

  /** Answers from knowledge what a home that is gone will not answer any more. */
  #abandonForwarded(home: string): void {
    this.#forwarded.forEach((passed, answer) => {
      if (passed.home !== home) return;
      this.#forwarded.delete(answer);
      if (passed.forwarding.abandon()) this.#tellKnown(passed.id, answer);
    });
  }

  #tellKnown(id: string, answer: CallerAnswer): void {
    this.#statusOf(id).then((status) => {
      if (status === undefined) answer.tellUnknown('entry_lost');
      else tellStatus(answer, status);
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

/** Answers a request whose id was used before with what became of it; it is not run again. */
function tellStatus(answer: CallerAnswer, status: RequestStatus): void {
  switch (status._tag) {
    case 'waiting':
    case 'dispatched':
      answer.refuse({ ...CONFLICT, message: 'A request with this id is being served.' });
      return;
    case 'ended':
      tellOutcome(answer, status.outcome);
      return;
    default:
      status satisfies never;
  }
}

function tellOutcome(answer: CallerAnswer, outcome: Outcome): void {
  switch (outcome._tag) {
    case 'completed':
      answer.refuse({
        ...CONFLICT,
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
