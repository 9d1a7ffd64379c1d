import type { CallRecord, Grant, PeerMessage } from '../../protocol/peer/PeerMessage.ts';
import type {
  NotRunReason,
  RequestOutcome,
  RequestStatus,
  UnknownOutcomeReason,
} from '../../state/RequestOutcome.ts';
import type { HomeAction, HomeDependencies } from './HomeAction.ts';
import type { HomeRequest, RequestRecord } from './RequestRecord.ts';
import { RequestTable } from './RequestTable.ts';
import { makeReservation } from './makeReservation.ts';

/** Interval between reservations of a waiting request, which repeat because messages may be lost. */
const RESEND_INTERVAL_MS = 300;
/** Interval between reports of running requests to schedulers, so that lost releases don't hold slots. */
const REPORT_INTERVAL_MS = 1_000;
/** Refused connections after which a request ends as not run. */
const MAXIMUM_REFUSALS = 4;
/** Running requests reported in one message. */
const MAXIMUM_GRANTS_PER_MESSAGE = 64;

const NO_USAGE = { promptTokens: 0, cachedTokens: 0, outputTokens: 0 };

type GrantedMessage = Extract<PeerMessage, { _tag: 'granted' }>;
type RefusedMessage = Extract<PeerMessage, { _tag: 'refused' }>;

/**
 * The home of requests, which is the only process that may dispatch them. It reserves each request
 * with the pool's scheduler, dispatches it at most once, and keeps the outcome of each id.
 */
export class RequestHome {
  readonly #table = new RequestTable();

  readonly #dependencies: HomeDependencies;

  /** Scheduler last used for each pool, to detect a change. */
  readonly #schedulerByPool = new Map<string, string>();

  #reportedAt = 0;

  /** @param dependencies - other parts of the process that the home relies on */
  constructor(dependencies: HomeDependencies) {
    this.#dependencies = dependencies;
  }

  /** @returns number of requests that have not ended */
  get size(): number {
    return this.#table.size;
  }

  /**
   * Gives the status of a request.
   *
   * @param id - a request id of this process's present or former incarnations
   * @returns its status, or undefined where it was never accepted or has been evicted
   */
  status(id: string): RequestStatus | undefined {
    return this.#table.status(id);
  }

  /**
   * Accepts a new request.
   *
   * @param request - a request whose id has no record here
   * @param now - present monotonic time, ms
   * @returns actions to carry out in order
   */
  accept(request: HomeRequest, now: number): HomeAction[] {
    return this.#admit(this.#table.add(request), now);
  }

  /**
   * Dispatches the requests that a scheduler granted, and releases grants that can't be used.
   *
   * @param from - incarnation of the scheduler
   * @param message - the grants
   * @param now - present monotonic time, ms
   * @returns actions to carry out in order
   */
  receiveGrants(from: string, message: GrantedMessage, now: number): HomeAction[] {
    return message.grants.flatMap((grant) => this.#useGrant(from, grant, now));
  }

  /**
   * Ends a request that the scheduler refused.
   *
   * @param from - incarnation of the scheduler
   * @param message - the refusal
   * @param now - present monotonic time, ms
   * @returns actions to carry out in order
   */
  receiveRefusal(from: string, message: RefusedMessage, now: number): HomeAction[] {
    const record = this.#table.findLive(message.id);
    if (record?.state._tag !== 'waiting' || record.state.scheduler !== from) return [];
    return this.#endNotRun(record, message.reason, now, message.retryAfterMs);
  }

  /**
   * Suspends a running request in favour of one of a higher tier.
   *
   * @param from - incarnation of the scheduler
   * @param id - id of the request
   * @returns actions to carry out in order
   */
  suspend(from: string, id: string): HomeAction[] {
    const record = this.#table.findLive(id);
    if (record === undefined) return [];
    const { state, request } = record;
    if (state._tag === 'dispatched' && request.suspendable) {
      record.state = { ...state, _tag: 'suspended' };
      return [
        { _tag: 'suspendCall', id },
        { _tag: 'send', to: from, message: { _tag: 'suspended', id, pool: request.pool } },
      ];
    }
    if (state._tag !== 'suspended') return [];
    return [{ _tag: 'send', to: from, message: { _tag: 'suspended', id, pool: request.pool } }];
  }

  /**
   * Resumes a suspended request.
   *
   * @param id - id of the request
   * @returns actions to carry out in order
   */
  resume(id: string): HomeAction[] {
    const record = this.#table.findLive(id);
    if (record?.state._tag !== 'suspended') return [];
    record.state = { ...record.state, _tag: 'dispatched' };
    return [{ _tag: 'resumeCall', id }];
  }

  /**
   * Records the time of the first token or byte of an answer.
   *
   * @param id - id of the request
   * @param now - present monotonic time, ms
   */
  recordFirstToken(id: string, now: number): void {
    const record = this.#table.findLive(id);
    if (record !== undefined) record.firstTokenAt ??= now;
  }

  /**
   * Ends a request whose answer is complete.
   *
   * @param id - id of the request
   * @param usage - tokens as the endpoint counted them; zeros where it counts none
   * @param result - `failed` where the complete answer reports a failure of the endpoint
   * @param now - present monotonic time, ms
   * @returns actions to carry out in order
   */
  complete(
    id: string,
    usage: Pick<CallRecord, 'promptTokens' | 'cachedTokens' | 'outputTokens'>,
    result: 'completed' | 'failed',
    now: number,
  ): HomeAction[] {
    const record = this.#table.findLive(id);
    const grant = grantOf(record);
    if (record === undefined || grant === undefined) return [];
    const { endpoint, version } = grant;
    return [
      ...this.#release(record, result, usage, now),
      ...this.#end(record, { _tag: 'completed', endpoint, version }, now, countedTokens(usage)),
    ];
  }

  /**
   * Ends a request whose endpoint failed after it may have received part of the request.
   *
   * @param id - id of the request
   * @param reason - why the outcome is unknown
   * @param now - present monotonic time, ms
   * @returns actions to carry out in order
   */
  fail(id: string, reason: UnknownOutcomeReason, now: number): HomeAction[] {
    const record = this.#table.findLive(id);
    if (record === undefined || grantOf(record) === undefined) return [];
    return [
      ...this.#release(record, 'failed', NO_USAGE, now),
      ...this.#end(record, { _tag: 'unknown', reason }, now),
    ];
  }

  /**
   * Reserves a request again, for another endpoint, after one certainly received no byte of it.
   *
   * @param id - id of the request
   * @param now - present monotonic time, ms
   * @returns actions to carry out in order
   */
  retryElsewhere(id: string, now: number): HomeAction[] {
    const record = this.#table.findLive(id);
    const grant = grantOf(record);
    if (record === undefined || grant === undefined) return [];
    const released = this.#release(record, 'refused', NO_USAGE, now);
    record.avoid = [...record.avoid, grant.endpoint];
    if (record.avoid.length >= MAXIMUM_REFUSALS) {
      return [...released, ...this.#endNotRun(record, 'endpoint_refused', now)];
    }
    return [...released, ...this.#reserve(record, now)];
  }

  /**
   * Cancels a request whose caller has left. A running request that is not idempotent goes on, because a
   * cancellation could leave it half done.
   *
   * @param id - id of the request
   * @param now - present monotonic time, ms
   * @returns actions to carry out in order
   */
  handleCallerLeft(id: string, now: number): HomeAction[] {
    const record = this.#table.findLive(id);
    if (record === undefined) return [];
    record.callerLeft = true;
    if (grantOf(record) === undefined) return this.#endNotRun(record, 'caller_left', now);
    return record.request.idempotent ? this.#cancel(record, 'caller_left', now) : [];
  }

  /**
   * Ends all waiting requests as not run when the incarnation ends. Running requests go on.
   *
   * @param reason - reason reported to the callers
   * @param now - present monotonic time, ms
   * @returns actions to carry out in order
   */
  rejectWaiting(reason: NotRunReason, now: number): HomeAction[] {
    return this.#table
      .allLive()
      .filter((record) => grantOf(record) === undefined)
      .flatMap((record) => this.#endNotRun(record, reason, now));
  }

  /**
   * Retries to acquire quota for the requests that wait for their account's quota owner.
   *
   * @param account - account whose quota owner has replied
   * @param now - present monotonic time, ms
   * @returns actions to carry out in order
   */
  retryQuota(account: string, now: number): HomeAction[] {
    return this.#table
      .allLive()
      .filter(({ state, request }) => state._tag === 'limited' && request.account === account)
      .flatMap((record) => this.#admit(record, now));
  }

  /**
   * Ends requests past their deadline, follows scheduler changes, repeats reservations and reports
   * running requests.
   *
   * @param now - present monotonic time, ms
   * @param mayForget - tells whether the outcome of an id may be evicted
   * @returns actions to carry out in order
   */
  tick(now: number, mayForget: (id: string) => boolean): HomeAction[] {
    this.#table.forgetEnded(mayForget);
    const records = this.#table.allLive();
    const actions = records.flatMap((record) => this.#advance(record, now));
    if (now - this.#reportedAt < REPORT_INTERVAL_MS) return actions;
    this.#reportedAt = now;
    return [...actions, ...this.#reportInFlight(now)];
  }

  #advance(record: RequestRecord, now: number): HomeAction[] {
    const { state, request } = record;
    if (now >= request.deadlineAt) return this.#expire(record, now);
    switch (state._tag) {
      case 'limited':
        return this.#admit(record, now);
      case 'unplaced':
        return this.#reserve(record, now);
      case 'waiting': {
        const scheduler = this.#findScheduler(record, now);
        if (scheduler !== state.scheduler)
          return this.#moveReservation(record, state.scheduler, now);
        return now - state.sentAt >= RESEND_INTERVAL_MS ? this.#reserve(record, now) : [];
      }
      case 'dispatched':
      case 'suspended':
      case 'ended':
        return [];
      default:
        return state satisfies never;
    }
  }

  #admit(record: RequestRecord, now: number): HomeAction[] {
    const { account, promptTokens, outputTokens } = record.request;
    const answer = this.#dependencies.acquireQuota(account, promptTokens + outputTokens, now);
    switch (answer._tag) {
      case 'admitted':
        return this.#reserve(record, now);
      case 'asked':
        record.state = { _tag: 'limited' };
        return [...answer.actions];
      case 'refused':
        record.state = { _tag: 'limited' };
        return this.#endNotRun(record, 'account_limit', now, answer.retryAfterMs);
      default:
        return answer satisfies never;
    }
  }

  #findScheduler(record: RequestRecord, now: number): string | undefined {
    const self = this.#dependencies.incarnation();
    // Another member may hold this reservation as waiting. After a crash of this process it would report
    // the request as not run, which would be wrong if this process had granted it to itself.
    const excluded = record.reservedElsewhere ? self : undefined;
    return this.#dependencies.findScheduler(record.request.pool, now, excluded);
  }

  #reserve(record: RequestRecord, now: number): HomeAction[] {
    const scheduler = this.#findScheduler(record, now);
    if (scheduler === undefined) {
      record.state = { _tag: 'unplaced' };
      return [];
    }
    record.state = { _tag: 'waiting', scheduler, sentAt: now };
    if (scheduler !== this.#dependencies.incarnation()) record.reservedElsewhere = true;
    const reservation = makeReservation(record, now);
    return [
      ...this.#recordScheduler(record.request.pool, scheduler, now),
      { _tag: 'send', to: scheduler, message: { _tag: 'reserve', reservations: [reservation] } },
    ];
  }

  #moveReservation(record: RequestRecord, from: string, now: number): HomeAction[] {
    const withdraw = { _tag: 'withdraw', ids: [record.request.id] } as const;
    return [{ _tag: 'send', to: from, message: withdraw }, ...this.#reserve(record, now)];
  }

  /** Reports a pool's running requests to its new scheduler before any reservation with it. */
  #recordScheduler(pool: string, scheduler: string, now: number): HomeAction[] {
    const from = this.#schedulerByPool.get(pool);
    if (from === scheduler) return [];
    this.#schedulerByPool.set(pool, scheduler);
    return [
      { _tag: 'decide', decision: { _tag: 'schedulerChanged', pool, from, to: scheduler } },
      ...makeInFlightReports(pool, scheduler, this.#table.allLive(), now),
    ];
  }

  #reportInFlight(now: number): HomeAction[] {
    const records = this.#table.allLive();
    const pools = new Set(
      records.filter((record) => grantOf(record) !== undefined).map(({ request }) => request.pool),
    );
    return [...pools].flatMap((pool) => {
      const scheduler = this.#dependencies.findScheduler(pool, now);
      if (scheduler === undefined) return [];
      const reports = this.#recordScheduler(pool, scheduler, now);
      return reports.length > 0 ? reports : makeInFlightReports(pool, scheduler, records, now);
    });
  }

  #useGrant(from: string, grant: Grant, now: number): HomeAction[] {
    const record = this.#table.findLive(grant.id);
    const held = grantOf(record);
    if (held !== undefined) {
      // A repeated grant of the same dispatch needs no reply; any other grant is released.
      return held.endpoint === grant.endpoint ? [] : [releaseUnused(from, grant)];
    }
    if (record?.state._tag !== 'waiting' || record.state.scheduler !== from) {
      return [releaseUnused(from, grant)];
    }
    if (!this.#dependencies.mayDispatch(now)) return [releaseUnused(from, grant)];
    if (!this.#dependencies.mayUseVersion(grant.pool, grant.version)) {
      return [releaseUnused(from, grant), ...this.#reserve(record, now)];
    }
    record.state = { _tag: 'dispatched', grant, dispatchedAt: now };
    record.firstTokenAt = undefined;
    return [{ _tag: 'dispatch', request: record.request, grant }];
  }

  #expire(record: RequestRecord, now: number): HomeAction[] {
    if (grantOf(record) === undefined) return this.#endNotRun(record, 'deadline_passed', now);
    return this.#cancel(record, 'deadline_passed', now);
  }

  #cancel(record: RequestRecord, reason: UnknownOutcomeReason, now: number): HomeAction[] {
    return [
      { _tag: 'cancelCall', id: record.request.id },
      ...this.#release(record, 'cancelled', NO_USAGE, now),
      ...this.#end(record, { _tag: 'unknown', reason }, now),
    ];
  }

  #endNotRun(
    record: RequestRecord,
    reason: NotRunReason,
    now: number,
    retryAfterMs = this.#dependencies.randomRetryAfterMs(),
  ): HomeAction[] {
    const { state, request } = record;
    const withdrawn: HomeAction[] =
      state._tag === 'waiting'
        ? [{ _tag: 'send', to: state.scheduler, message: { _tag: 'withdraw', ids: [request.id] } }]
        : [];
    const roundedMs = Math.ceil(retryAfterMs);
    return [
      ...withdrawn,
      ...this.#end(record, { _tag: 'notRun', reason, retryAfterMs: roundedMs }, now),
    ];
  }

  #end(
    record: RequestRecord,
    outcome: RequestOutcome,
    now: number,
    tokensUsed?: number,
  ): HomeAction[] {
    const { request, state } = record;
    if (state._tag !== 'limited') {
      const tokensCounted = request.promptTokens + request.outputTokens;
      const tokensSpent = outcome._tag === 'notRun' ? 0 : (tokensUsed ?? tokensCounted);
      this.#dependencies.releaseQuota(request.account, tokensSpent, tokensCounted, now);
    }
    this.#table.end(record, outcome);
    return [
      { _tag: 'finish', id: request.id, outcome },
      {
        _tag: 'decide',
        decision: {
          _tag: 'ended',
          requestId: request.id,
          account: request.account,
          tier: request.tierRank,
          pool: request.pool,
          outcome,
          totalMs: now - request.receivedAt,
        },
      },
    ];
  }

  #release(
    record: RequestRecord,
    result: CallRecord['result'],
    usage: Pick<CallRecord, 'promptTokens' | 'cachedTokens' | 'outputTokens'>,
    now: number,
  ): HomeAction[] {
    const { request, state, firstTokenAt } = record;
    if (state._tag !== 'dispatched' && state._tag !== 'suspended') return [];
    const scheduler = this.#dependencies.findScheduler(request.pool, now);
    if (scheduler === undefined) return [];
    const { id, pool, endpoint, version } = state.grant;
    const callRecord: CallRecord = {
      result,
      firstTokenMs: (firstTokenAt ?? now) - state.dispatchedAt,
      totalMs: now - state.dispatchedAt,
      ...usage,
      connectFailure: result === 'refused',
    };
    const { route } = request;
    return [
      {
        _tag: 'send',
        to: scheduler,
        message: { _tag: 'release', id, pool, endpoint, version, route, record: callRecord },
      },
    ];
  }
}

/** Gives the tokens that an endpoint counted, undefined where it counts none. */
function countedTokens({
  promptTokens,
  outputTokens,
}: Pick<CallRecord, 'promptTokens' | 'outputTokens'>): number | undefined {
  const tokens = promptTokens + outputTokens;
  return tokens > 0 ? tokens : undefined;
}

function grantOf(record: RequestRecord | undefined): Grant | undefined {
  if (record === undefined) return undefined;
  const { state } = record;
  return state._tag === 'dispatched' || state._tag === 'suspended' ? state.grant : undefined;
}

/** Releases the slot of a grant that was not used. */
function releaseUnused(to: string, { id, pool, endpoint, version }: Grant): HomeAction {
  const record: CallRecord = {
    result: 'cancelled',
    firstTokenMs: 0,
    totalMs: 0,
    ...NO_USAGE,
    connectFailure: false,
  };
  return {
    _tag: 'send',
    to,
    message: { _tag: 'release', id, pool, endpoint, version, route: '', record },
  };
}

/** Reports a home's running requests in a pool to the pool's scheduler, in batches. */
function makeInFlightReports(
  pool: string,
  scheduler: string,
  records: readonly RequestRecord[],
  now: number,
): HomeAction[] {
  const grants = records.flatMap((record) => {
    const grant = grantOf(record);
    if (grant === undefined || record.request.pool !== pool) return [];
    const suspended = record.state._tag === 'suspended';
    return [{ grant, reservation: makeReservation(record, now), suspended }];
  });
  const batches = Array.from(
    { length: Math.ceil(grants.length / MAXIMUM_GRANTS_PER_MESSAGE) },
    (_, index) =>
      grants.slice(index * MAXIMUM_GRANTS_PER_MESSAGE, (index + 1) * MAXIMUM_GRANTS_PER_MESSAGE),
  );
  return batches.map((batch) => ({
    _tag: 'send',
    to: scheduler,
    message: { _tag: 'inFlight', pool, grants: batch },
  }));
}
