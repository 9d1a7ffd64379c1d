import type { CallRecord, Grant, PeerMessage } from '../../protocol/peer/PeerMessage.ts';
import type {
  NotRunReason,
  RequestOutcome,
  RequestStatus,
  UnknownOutcomeReason,
} from '../../state/RequestOutcome.ts';
import type { HomeAction, HomeSurroundings } from './HomeStep.ts';
import type { HomeRequest, RequestRecord } from './RequestRecord.ts';
import { RequestTable } from './RequestTable.ts';
import { reservationOf } from './reservationOf.ts';

/** A waiting request is reserved again after this long, in case the message was lost. */
const RESEND_MS = 300;
/** What runs is told to its scheduler this often, so that lost releases don't hold slots. */
const REPORT_MS = 1_000;
/** Endpoints that may refuse a connection before the request is given up. */
const MAXIMUM_REFUSALS = 4;
/** Running requests told in one message. */
const MESSAGE_BATCH = 64;

const NO_USAGE = { promptTokens: 0, cachedTokens: 0, outputTokens: 0 };

type Granted = Extract<PeerMessage, { _tag: 'granted' }>;
type Refused = Extract<PeerMessage, { _tag: 'refused' }>;

/**
 * The home of requests: the only machine that may dispatch them. It asks the pool's scheduler for a
 * grant, dispatches at most once, and keeps what became of each id.
 */
export class RequestHome {
  readonly #table = new RequestTable();

  readonly #surroundings: HomeSurroundings;

  /** Scheduler last used for a pool, to notice a change. */
  readonly #schedulers = new Map<string, string>();

  #reportedAt = 0;

  /** @param surroundings - what the home asks of the machines beside it */
  constructor(surroundings: HomeSurroundings) {
    this.#surroundings = surroundings;
  }

  /** @returns number of requests that have not ended */
  get size(): number {
    return this.#table.size;
  }

  /**
   * Tells what is known of an id.
   *
   * @param id - a request id of this process's present or former incarnations
   * @returns its status, or undefined where it was never taken
   */
  status(id: string): RequestStatus | undefined {
    return this.#table.status(id);
  }

  /**
   * Takes a request on.
   *
   * @param request - a request whose id isn't known here yet
   * @param now - present monotonic time, ms
   * @returns steps to carry out in order
   */
  accept(request: HomeRequest, now: number): HomeAction[] {
    return this.#admit(this.#table.add(request), now);
  }

  /**
   * Uses grants, or gives back those that came too late.
   *
   * @param from - the scheduler
   * @param message - the grants
   * @param now - present monotonic time, ms
   * @returns steps to carry out in order
   */
  receiveGrants(from: string, message: Granted, now: number): HomeAction[] {
    return message.grants.flatMap((grant) => this.#useGrant(from, grant, now));
  }

  /**
   * Ends a request that the scheduler refused.
   *
   * @param from - the scheduler
   * @param message - the refusal
   * @param now - present monotonic time, ms
   * @returns steps to carry out in order
   */
  receiveRefusal(from: string, message: Refused, now: number): HomeAction[] {
    const record = this.#table.findLive(message.id);
    if (record?.state._tag !== 'waiting' || record.state.scheduler !== from) return [];
    return this.#notRun(record, message.reason, now, message.retryAfterMs);
  }

  /**
   * Suspends a running request in favour of one of a higher tier.
   *
   * @param from - the scheduler
   * @param id - the request
   * @returns steps to carry out in order
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
   * Takes a suspended request up again.
   *
   * @param id - the request
   * @returns steps to carry out in order
   */
  resume(id: string): HomeAction[] {
    const record = this.#table.findLive(id);
    if (record?.state._tag !== 'suspended') return [];
    record.state = { ...record.state, _tag: 'dispatched' };
    return [{ _tag: 'resumeCall', id }];
  }

  /**
   * Notes the first token or byte of an answer.
   *
   * @param id - the request
   * @param now - present monotonic time, ms
   */
  recordFirstToken(id: string, now: number): void {
    const record = this.#table.findLive(id);
    if (record !== undefined) record.firstTokenAt ??= now;
  }

  /**
   * Ends a request whose answer is whole.
   *
   * @param id - the request
   * @param usage - tokens as the endpoint counted them, zeros where it didn't
   * @param result - `failed` where the whole answer says that the endpoint failed
   * @param now - present monotonic time, ms
   * @returns steps to carry out in order
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
      ...this.#end(record, { _tag: 'completed', endpoint, version }, now, tokensOf(usage)),
    ];
  }

  /**
   * Ends a request whose endpoint failed after it may have received a part of it.
   *
   * @param id - the request
   * @param reason - how the answer was lost
   * @param now - present monotonic time, ms
   * @returns steps to carry out in order
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
   * Places a request anew whose endpoint surely received no byte of it.
   *
   * @param id - the request
   * @param now - present monotonic time, ms
   * @returns steps to carry out in order
   */
  retryElsewhere(id: string, now: number): HomeAction[] {
    const record = this.#table.findLive(id);
    const grant = grantOf(record);
    if (record === undefined || grant === undefined) return [];
    const released = this.#release(record, 'refused', NO_USAGE, now);
    record.avoid = [...record.avoid, grant.endpoint];
    if (record.avoid.length >= MAXIMUM_REFUSALS) {
      return [...released, ...this.#notRun(record, 'endpoint_refused', now)];
    }
    return [...released, ...this.#reserve(record, now)];
  }

  /**
   * Stops what a caller has left, unless stopping could leave a non-idempotent request half done.
   *
   * @param id - the request
   * @param now - present monotonic time, ms
   * @returns steps to carry out in order
   */
  callerLeft(id: string, now: number): HomeAction[] {
    const record = this.#table.findLive(id);
    if (record === undefined) return [];
    record.callerLeft = true;
    if (grantOf(record) === undefined) return this.#notRun(record, 'caller_left', now);
    return record.request.idempotent ? this.#cancel(record, 'caller_left', now) : [];
  }

  /**
   * Tells what is waiting that this process ends its incarnation; what runs goes on.
   *
   * @param reason - what the callers are told
   * @param now - present monotonic time, ms
   * @returns steps to carry out in order
   */
  rejectWaiting(reason: NotRunReason, now: number): HomeAction[] {
    return this.#table
      .allLive()
      .filter((record) => grantOf(record) === undefined)
      .flatMap((record) => this.#notRun(record, reason, now));
  }

  /**
   * Asks again for the quota of requests that waited for their account's owner.
   *
   * @param account - the account whose quota was answered
   * @param now - present monotonic time, ms
   * @returns steps to carry out in order
   */
  retryQuota(account: string, now: number): HomeAction[] {
    return this.#table
      .allLive()
      .filter(({ state, request }) => state._tag === 'limited' && request.account === account)
      .flatMap((record) => this.#admit(record, now));
  }

  /**
   * Acts on passed time: deadlines, changed schedulers, lost messages, reports of what runs.
   *
   * @param now - present monotonic time, ms
   * @param forgets - whether an ended id may be forgotten
   * @returns steps to carry out in order
   */
  tick(now: number, forgets: (id: string) => boolean): HomeAction[] {
    this.#table.forget(forgets);
    const records = this.#table.allLive();
    const steps = records.flatMap((record) => this.#advance(record, now));
    if (now - this.#reportedAt < REPORT_MS) return steps;
    this.#reportedAt = now;
    return [...steps, ...this.#reportRunning(now)];
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
        const scheduler = this.#schedulerFor(record, now);
        if (scheduler !== state.scheduler)
          return this.#moveReservation(record, state.scheduler, now);
        return now - state.sentAt >= RESEND_MS ? this.#reserve(record, now) : [];
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
    const answer = this.#surroundings.acquireQuota(account, promptTokens + outputTokens, now);
    switch (answer._tag) {
      case 'admitted':
        return this.#reserve(record, now);
      case 'asked':
        record.state = { _tag: 'limited' };
        return [...answer.actions];
      case 'refused':
        record.state = { _tag: 'limited' };
        return this.#notRun(record, 'account_limit', now, answer.retryAfterMs);
      default:
        return answer satisfies never;
    }
  }

  #schedulerFor(record: RequestRecord, now: number): string | undefined {
    const self = this.#surroundings.incarnation();
    // Another member may still hold this reservation as waiting and vouch for it; a grant to oneself
    // would contradict that member after this process's death.
    const excluded = record.reservedElsewhere ? self : undefined;
    return this.#surroundings.findScheduler(record.request.pool, now, excluded);
  }

  #reserve(record: RequestRecord, now: number): HomeAction[] {
    const scheduler = this.#schedulerFor(record, now);
    if (scheduler === undefined) {
      record.state = { _tag: 'unplaced' };
      return [];
    }
    record.state = { _tag: 'waiting', scheduler, sentAt: now };
    if (scheduler !== this.#surroundings.incarnation()) record.reservedElsewhere = true;
    const reservation = reservationOf(record, now);
    return [
      ...this.#noteScheduler(record.request.pool, scheduler, now),
      { _tag: 'send', to: scheduler, message: { _tag: 'reserve', reservations: [reservation] } },
    ];
  }

  #moveReservation(record: RequestRecord, from: string, now: number): HomeAction[] {
    const withdraw = { _tag: 'withdraw', ids: [record.request.id] } as const;
    return [{ _tag: 'send', to: from, message: withdraw }, ...this.#reserve(record, now)];
  }

  /** Tells a scheduler that is new to a pool what runs there, before anything is reserved with it. */
  #noteScheduler(pool: string, scheduler: string, now: number): HomeAction[] {
    const from = this.#schedulers.get(pool);
    if (from === scheduler) return [];
    this.#schedulers.set(pool, scheduler);
    return [
      { _tag: 'decide', decision: { _tag: 'schedulerChanged', pool, from, to: scheduler } },
      ...inFlightSteps(pool, scheduler, this.#table.allLive(), now),
    ];
  }

  #reportRunning(now: number): HomeAction[] {
    const records = this.#table.allLive();
    const pools = new Set(
      records.filter((record) => grantOf(record) !== undefined).map(({ request }) => request.pool),
    );
    return [...pools].flatMap((pool) => {
      const scheduler = this.#surroundings.findScheduler(pool, now);
      if (scheduler === undefined) return [];
      const noted = this.#noteScheduler(pool, scheduler, now);
      return noted.length > 0 ? noted : inFlightSteps(pool, scheduler, records, now);
    });
  }

  #useGrant(from: string, grant: Grant, now: number): HomeAction[] {
    const record = this.#table.findLive(grant.id);
    const held = grantOf(record);
    if (held !== undefined) {
      // A repeated grant of the same dispatch needs no answer; any other one is given back.
      return held.endpoint === grant.endpoint ? [] : [giveBack(from, grant)];
    }
    if (record?.state._tag !== 'waiting' || record.state.scheduler !== from) {
      return [giveBack(from, grant)];
    }
    if (!this.#surroundings.mayDispatch(now)) return [giveBack(from, grant)];
    if (!this.#surroundings.mayUseVersion(grant.pool, grant.version)) {
      return [giveBack(from, grant), ...this.#reserve(record, now)];
    }
    record.state = { _tag: 'dispatched', grant, dispatchedAt: now };
    record.firstTokenAt = undefined;
    return [{ _tag: 'dispatch', request: record.request, grant }];
  }

  #expire(record: RequestRecord, now: number): HomeAction[] {
    if (grantOf(record) === undefined) return this.#notRun(record, 'deadline_passed', now);
    return this.#cancel(record, 'deadline_passed', now);
  }

  #cancel(record: RequestRecord, reason: UnknownOutcomeReason, now: number): HomeAction[] {
    return [
      { _tag: 'cancelCall', id: record.request.id },
      ...this.#release(record, 'cancelled', NO_USAGE, now),
      ...this.#end(record, { _tag: 'unknown', reason }, now),
    ];
  }

  #notRun(
    record: RequestRecord,
    reason: NotRunReason,
    now: number,
    retryAfterMs = this.#surroundings.randomRetryAfterMs(),
  ): HomeAction[] {
    const { state, request } = record;
    const withdrawn: HomeAction[] =
      state._tag === 'waiting'
        ? [{ _tag: 'send', to: state.scheduler, message: { _tag: 'withdraw', ids: [request.id] } }]
        : [];
    const wait = Math.ceil(retryAfterMs);
    return [
      ...withdrawn,
      ...this.#end(record, { _tag: 'notRun', reason, retryAfterMs: wait }, now),
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
      const counted = request.promptTokens + request.outputTokens;
      const used = outcome._tag === 'notRun' ? 0 : (tokensUsed ?? counted);
      this.#surroundings.releaseQuota(request.account, used, counted, now);
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
    const scheduler = this.#surroundings.findScheduler(request.pool, now);
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

/** Tokens that an endpoint counted, undefined where it counts none. */
function tokensOf({
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

/** Frees the slot of a grant that was never used. */
function giveBack(to: string, { id, pool, endpoint, version }: Grant): HomeAction {
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

/** Describes a home's running requests of a pool to its scheduler. */
function inFlightSteps(
  pool: string,
  scheduler: string,
  records: readonly RequestRecord[],
  now: number,
): HomeAction[] {
  const grants = records.flatMap((record) => {
    const grant = grantOf(record);
    if (grant === undefined || record.request.pool !== pool) return [];
    const suspended = record.state._tag === 'suspended';
    return [{ grant, reservation: reservationOf(record, now), suspended }];
  });
  const batches = Array.from({ length: Math.ceil(grants.length / MESSAGE_BATCH) }, (_, index) =>
    grants.slice(index * MESSAGE_BATCH, (index + 1) * MESSAGE_BATCH),
  );
  return batches.map((batch) => ({
    _tag: 'send',
    to: scheduler,
    message: { _tag: 'inFlight', pool, grants: batch },
  }));
}
