import { describe, it } from 'node:test';
import { expect } from 'earl';
import pino from 'pino';
import { HedgePolicy, type PlainSelection } from '../../../coordination/gateway/index.ts';
import type { PlacementTicket } from '../../../protocol/peer/GatewayMessages.ts';
import type { EndpointRecord } from '../../../state/gateway/index.ts';
import type { PlacementAnswer } from '../placement/LocalTickets.ts';
import { HedgedAttempt, type HedgedAttemptOptions } from './HedgedAttempt.ts';
import type { AttemptEvent, RequestAttempt } from './RequestAttempt.ts';

const GROUP = { service: 'plain', route: 'read', size: 0 };
const SLOW_MS = 50;
const ANSWERED: AttemptEvent = { _tag: 'answered', body: Buffer.from('x') };
const BROKEN: AttemptEvent = { _tag: 'broken', detail: 'reset', connectionLost: true };
const NOT_RUN: AttemptEvent = { _tag: 'notRun', arrived: true, detail: 'full' };

const endpoint = (id: string) => ({ id, failureDomain: 'a' }) as EndpointRecord;

interface FakeCopy {
  readonly target: string;
  readonly ticketId: string | undefined;
  cancelled: boolean;
  written: boolean;
  status: number;
  readonly emit: (event: AttemptEvent) => void;
}

/** A request to the endpoint `e` in virtual time, of which a second copy may go to `f`. */
const start = ({
  selection = { _tag: 'direct', endpoint: endpoint('f') },
  ...more
}: {
  readonly selection?: PlainSelection;
  readonly maximumAttempts?: number;
  readonly retryBudget?: number;
} = {}) => {
  const state = { now: 0, begun: false, isPaused: false };
  const copies: FakeCopy[] = [];
  const events: AttemptEvent['_tag'][] = [];
  const withdrawn: string[] = [];
  const released: string[] = [];
  const tickets: { readonly ticket: PlacementTicket; answer: (answer: PlacementAnswer) => void }[] =
    [];
  const policy = new HedgePolicy({ share: 0.1, windowMs: 10_000 });
  for (let count = 0; count < 20; count += 1)
    policy.recordRequest('plain', { name: '', quota: 0 }, 0);
  policy.setEstimates([{ ...GROUP, afterMs: SLOW_MS, isShort: false }], 0);
  const recorded: number[] = [];
  let budget = more.retryBudget ?? 1;
  const retries = {
    executions: 0,
    mayRepeat: (executions = 0) => executions < (more.maximumAttempts ?? 2),
    tryCharge: () => {
      budget -= 1;
      return budget >= 0;
    },
  };
  const counted: string[] = [];
  let due: { readonly run: () => void; readonly at: number } | undefined;
  const avoided: string[] = [];
  const options = {
    context: {
      placements: {
        requestSlot: (ticket: PlacementTicket, answer: (answer: PlacementAnswer) => void) =>
          tickets.push({ ticket, answer }),
        withdraw: (id: string) => withdrawn.push(id),
        releaseSlot: (id: string) => released.push(id),
      },
      exclusions: { find: () => undefined },
      pauses: { check: () => !state.isPaused },
      reach: { isIsolated: false },
      metrics: {
        countHedge: (_route: string, result: string, limit = '') =>
          counted.push(`${result}${limit && ` ${limit}`}`),
      },
      logger: pino({ level: 'silent' }),
      now: () => state.now,
    },
    hedging: { policy, record: (_group: unknown, ms: number) => recorded.push(ms) },
    request: { id: 'r', service: {} },
    slowRequest: { group: GROUP, account: { name: '', quota: 0 } },
    retries,
    endpoints: { avoided, selectHedge: () => selection, findGranted: endpoint },
    endpoint: endpoint('e'),
    ticketId: 'r/1',
    isReplaceable: () => !state.begun,
    makeTicket: () => ({ id: 'r/1', avoid: ['e'], remainingMs: 900 }),
    makeCopy: (
      { id }: EndpointRecord,
      ticketId: string | undefined,
      emit: (event: AttemptEvent) => void,
    ) => {
      const copy = {
        target: id,
        ticketId,
        cancelled: false,
        ended: false,
        written: false,
        heardAt: 0,
        status: 0,
        start: () => {
          copy.written = true;
        },
        cancel: () => {
          copy.cancelled = true;
          copy.ended = true;
        },
        pause: () => {},
        resume: () => {},
        emit: (event: AttemptEvent) => {
          if (event._tag !== 'streamed') copy.ended = true;
          emit(event);
        },
      };
      copies.push(copy);
      return copy as unknown as RequestAttempt;
    },
    schedule: (run: () => void, delayMs: number) => {
      due = { run, at: state.now + delayMs };
      return () => {
        due = undefined;
      };
    },
    onFirstLost: () => {},
    onEvent: ({ _tag }: AttemptEvent) => events.push(_tag),
  };
  const attempt = new HedgedAttempt(options as unknown as HedgedAttemptOptions);
  attempt.start();
  const wait = (ms: number): void => {
    state.now += ms;
    if (due === undefined || state.now < due.at) return;
    const { run } = due;
    due = undefined;
    run();
  };
  const copy = (index: number): FakeCopy => copies[index] as FakeCopy;
  return {
    attempt,
    copies,
    copy,
    events,
    wait,
    retries,
    avoided,
    tickets,
    withdrawn,
    released,
    recorded,
    state,
    counted,
  };
};

describe('HedgedAttempt', () => {
  it('sends no second copy of a request that is answered in time', () => {
    const play = start();
    play.wait(SLOW_MS - 1);
    play.copy(0).emit(ANSWERED);
    play.wait(SLOW_MS);
    expect([play.copies.length, play.events, play.recorded]).toEqual([1, ['answered'], [49]]);
  });

  // Guards against a request that gets no copy at all because its connection took longer than the quantile.
  it('waits for a request that is not written yet', () => {
    const play = start();
    play.copy(0).written = false;
    play.wait(SLOW_MS);
    play.copy(0).written = true;
    play.wait(SLOW_MS);
    expect(play.copies.length).toEqual(2);
  });

  it('passes on the copy that answers first and cancels the other', () => {
    const play = start();
    play.wait(SLOW_MS);
    play.wait(10);
    play.copy(1).emit(ANSWERED);
    expect([play.attempt.target, play.copy(0).cancelled]).toEqual(['f', true]);
    // Guards against slow endpoints that vanish from the estimate because their requests are cancelled.
    expect(play.recorded).toEqual([60]);
    expect(play.counted).toEqual(['sent', 'won', 'cancelled']);
    // The attempt that the second copy used up; the handler counts the other one.
    expect(play.retries.executions).toEqual(1);
  });

  // Guards against bytes of the loser in an answer that the winner has begun.
  it('passes on nothing of a loser that answers late', () => {
    const play = start();
    play.wait(SLOW_MS);
    play.copy(0).emit({ _tag: 'streamed', bytes: Buffer.from('a') });
    play.copy(1).emit({ _tag: 'streamed', bytes: Buffer.from('b') });
    play.copy(1).emit(BROKEN);
    play.copy(0).emit({ _tag: 'streamEnded' });
    expect([play.events, play.attempt.target]).toEqual([['streamed', 'streamEnded'], 'e']);
    expect(play.counted).toEqual(['sent', 'wasted', 'cancelled']);
  });

  it('goes on with the other copy if one breaks off before its first byte', () => {
    const play = start();
    play.wait(SLOW_MS);
    play.copy(1).emit(BROKEN);
    expect([play.events, play.avoided, play.retries.executions]).toEqual([[], ['f'], 1]);
    play.copy(0).emit(ANSWERED);
    expect(play.events).toEqual(['answered']);
  });

  // Guards against a caller that is told that a request has not run though a broken copy may have run.
  it('counts a copy that was rejected as not run, and one that broke off as run', () => {
    const rejected = start();
    rejected.wait(SLOW_MS);
    rejected.copy(0).emit(NOT_RUN);
    rejected.copy(1).emit(NOT_RUN);
    expect([rejected.retries.executions, rejected.events]).toEqual([0, ['notRun']]);
    const broken = start();
    broken.wait(SLOW_MS);
    broken.copy(0).emit(BROKEN);
    broken.copy(1).emit(NOT_RUN);
    expect([broken.retries.executions, broken.events]).toEqual([1, ['notRun']]);
  });

  it('does not take a quick failure for the answer while the other copy runs', () => {
    const play = start();
    play.wait(SLOW_MS);
    play.copy(1).status = 500;
    play.copy(1).emit(ANSWERED);
    expect([play.events, play.copy(0).cancelled]).toEqual([[], false]);
  });

  it('cancels both copies if the caller leaves', () => {
    const play = start();
    play.wait(SLOW_MS);
    play.attempt.cancel();
    expect(play.copies.map(({ cancelled }) => cancelled)).toEqual([true, true]);
  });

  const LIMITS = [
    { limit: 'retryBudget', options: { retryBudget: 0 } },
    { limit: 'endpoint', options: { selection: { _tag: 'none' } as const } },
  ];
  LIMITS.forEach(({ limit, options }) =>
    it(`sends no second copy against the limit ${limit}`, () => {
      const play = start(options);
      play.wait(SLOW_MS);
      expect(play.copies.length).toEqual(1);
      expect(play.counted).toEqual([`rejected ${limit}`]);
    }),
  );

  it('sends none beyond max_attempts, after a pause or to a caller that has part of the answer', () => {
    const single = start({ maximumAttempts: 1 });
    single.wait(SLOW_MS);
    const second = start();
    second.retries.executions = 1;
    second.wait(SLOW_MS);
    const paused = start();
    paused.state.isPaused = true;
    paused.wait(SLOW_MS);
    const begun = start();
    begun.state.begun = true;
    begun.wait(SLOW_MS);
    expect([single, second, paused, begun].map(({ copies }) => copies.length)).toEqual([
      1, 1, 1, 1,
    ]);
  });

  describe('of a model engine', () => {
    const selection = { _tag: 'scheduled', immediate: true } as const;
    const granted = { _tag: 'granted', endpoint: 'f', decidedBy: 'leader' } as const;

    it('sends the second copy to the endpoint that the scheduler grants', () => {
      const play = start({ selection });
      play.wait(SLOW_MS);
      const [asked] = play.tickets;
      expect([asked?.ticket.id, asked?.ticket.hedge]).toEqual(['r/1h', { failureDomain: 'a' }]);
      asked?.answer(granted);
      expect([play.copy(1).target, play.copy(1).ticketId]).toEqual(['f', 'r/1h']);
    });

    // Guards against slots that stay occupied by copies that were never sent.
    it('withdraws the ticket of a silent scheduler, and gives back a slot without a budget', () => {
      const silent = start({ selection });
      silent.wait(SLOW_MS);
      silent.copy(0).emit(ANSWERED);
      silent.tickets[0]?.answer(granted);
      expect([silent.withdrawn, silent.copies.length]).toEqual([['r/1h'], 1]);
      const poor = start({ selection, retryBudget: 0 });
      poor.wait(SLOW_MS);
      poor.tickets[0]?.answer(granted);
      expect([poor.released, poor.copies.length]).toEqual([['r/1h'], 1]);
    });
  });
});
