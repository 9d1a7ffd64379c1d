import { describe, it } from 'node:test';
import { expect } from 'earl';
import { FaultHistory } from './FaultHistory.ts';
import { BOUNDS, PromiseChecker, type CallerEnd, type CallerSend } from './PromiseChecker.ts';
import { eventData, plainAnswer, type RunnerArrival } from './SoakRunner.ts';

const GATEWAY = '127.0.0.1:8221';

/** A checker, and what it found. */
const makeChecker = () => {
  const history = new FaultHistory();
  const promises: string[] = [];
  const checker = new PromiseChecker(history, ({ promise }) => promises.push(promise));
  return { checker, history, promises };
};

const send = (overrides: Partial<CallerSend> = {}): CallerSend => ({
  id: 'r1',
  gateway: GATEWAY,
  kind: 'unsafe',
  method: 'POST',
  path: '/write/r1',
  body: 'record r1',
  key: 'key-of-the-office',
  tokens: undefined,
  deadlineMs: 1_500,
  at: 100,
  ...overrides,
});

const arrival = (of: CallerSend, overrides: Partial<RunnerArrival> = {}): RunnerArrival => ({
  requestId: of.id,
  runner: 'plain-1',
  service: 'plain',
  method: of.method,
  path: of.path,
  body: of.body,
  headers: {
    'x-corianderwick-tenant': 'office',
    'x-corianderwick-deadline-ms': '1400',
    ...(of.tokens && { 'x-corianderwick-token-count': of.tokens.join(',') }),
  },
  at: of.at + 10,
  ...overrides,
});

const end = (of: CallerSend, overrides: Partial<CallerEnd> = {}): CallerEnd => ({
  id: of.id,
  status: 200,
  complete: true,
  body: plainAnswer(of.id, of.method, of.path, of.body),
  left: false,
  retryAfterMs: undefined,
  at: of.at + 50,
  ...overrides,
});

const stream = send({ kind: 'stream', path: '/stream/r1', body: '', tokens: [100, 10] });

const events = (...numbers: readonly number[]): string =>
  numbers.map((number) => `id: ${number}\ndata: ${eventData('r1', number, 2)}\n\n`).join('');

describe('PromiseChecker', () => {
  it('finds nothing wrong with a request that is served', () => {
    const { checker, promises } = makeChecker();
    checker.sent(send());
    checker.arrived(arrival(send()));
    checker.ran(arrival(send()));
    checker.ended(end(send()));
    checker.sent(stream);
    checker.ended(end(stream, { body: events(1, 2) }));
    expect(promises).toEqual([]);
  });

  it('finds a request that nobody sent, and one that was changed', () => {
    const { checker, promises } = makeChecker();
    checker.arrived(arrival(send()));
    checker.sent(send());
    checker.arrived(arrival(send(), { body: 'another record' }));
    const { headers } = arrival(send());
    checker.arrived(
      arrival(send(), { headers: { ...headers, 'x-corianderwick-tenant': 'someone-else' } }),
    );
    expect(promises).toEqual(['UNASKED', 'UNASKED', 'UNASKED']);
  });

  it('finds an unsafe request that runs twice, and lets a safe one', () => {
    const { checker, promises } = makeChecker();
    const safe = send({ id: 'r2', kind: 'safe' });
    [send(), safe].forEach((request) => {
      checker.sent(request);
      checker.ran(arrival(request));
      checker.ran(arrival(request, { runner: 'plain-2' }));
    });
    expect(promises).toEqual(['TWICE']);
  });

  it('finds a refusal of what has run, and of what runs later', () => {
    const { checker, promises } = makeChecker();
    checker.sent(send());
    checker.ran(arrival(send()));
    checker.ended(end(send(), { status: 503 }));
    const later = send({ id: 'r2' });
    checker.sent(later);
    checker.ended(end(later, { status: 429 }));
    checker.ran(arrival(later));
    expect(promises).toEqual(['REFUSED', 'REFUSED']);
  });

  it('finds an answer of another request', () => {
    const { checker, promises } = makeChecker();
    checker.sent(send());
    checker.ended(end(send(), { body: plainAnswer('r7', 'POST', '/write/r7', '') }));
    expect(promises).toEqual(['MIXED']);
  });

  [
    { what: 'lacks an event', numbers: [1] },
    { what: 'has an event twice', numbers: [1, 1, 2] },
    { what: 'is empty', numbers: [] },
  ].forEach(({ what, numbers }) => {
    it(`finds a whole stream that ${what}`, () => {
      const { checker, promises } = makeChecker();
      checker.sent(stream);
      checker.ended(end(stream, { body: events(...numbers) }));
      expect(promises).toEqual(['ORDER']);
    });
  });

  it('lets a stream be broken off', () => {
    const { checker, promises } = makeChecker();
    checker.sent(stream);
    checker.ended(end(stream, { body: events(1), complete: false }));
    expect(promises).toEqual([]);
  });

  it('finds a request that is turned away though its route and key are there', () => {
    const { checker, promises } = makeChecker();
    checker.sent(send());
    checker.ended(end(send(), { status: 404 }));
    expect(promises).toEqual(['DENIED']);
  });

  it('finds work sent to a runner that left, unless a fault explains it', () => {
    const { checker, history, promises } = makeChecker();
    checker.draining('plain-1', 0);
    const late = send({ at: BOUNDS.drainMs });
    checker.sent(late);
    checker.arrived(arrival(late));
    expect(promises).toEqual(['DRAIN']);
    history.begin({ kind: 'unplanned', what: 'cut', gateway: GATEWAY, from: 50 });
    checker.arrived(arrival(late));
    expect(promises).toEqual(['DRAIN']);
  });

  it('finds a process that goes back behind a version, and one that lacks it for too long', () => {
    const { checker, promises } = makeChecker();
    const probe = { gateway: GATEWAY, process: 'one', version: 7, acknowledgedAt: 0 };
    checker.probed({ ...probe, known: false, at: 500 });
    checker.probed({ ...probe, known: true, at: 600 });
    checker.probed({ ...probe, known: false, at: 700 });
    checker.probed({ ...probe, process: 'two', known: false, at: BOUNDS.configurationMs + 1 });
    expect(promises).toEqual(['CONFIG', 'CONFIG']);
  });

  it('finds more repeats at a service than the budget has', () => {
    const { checker, promises } = makeChecker();
    const safe = send({ kind: 'safe' });
    checker.sent(safe);
    const allowed = Math.floor(BOUNDS.retrySlack + BOUNDS.retryRatio);
    for (let count = 0; count < allowed + 1; count += 1) checker.arrived(arrival(safe));
    expect(promises).toEqual([]);
    checker.arrived(arrival(safe));
    expect(promises).toEqual(['BUDGET']);
  });

  it('finds more of a limited account than its quota', () => {
    const { checker, promises } = makeChecker();
    for (let count = 0; count < 20; count += 1) {
      const limited = { ...stream, id: `r${count}`, key: 'key-of-the-limited' };
      checker.sent(limited);
      checker.ran(arrival(limited));
    }
    expect(promises[0]).toEqual('QUOTA');
  });

  const sendToLimited = (checker: PromiseChecker, perSecond: number): void => {
    for (let count = 0; count < 15 * perSecond; count += 1) {
      const one = send({ id: `r${count}`, at: (count * 1_000) / perSecond });
      checker.sent(one);
      checker.arrived(arrival(one));
      checker.limitStated(arrival(one), 2, one.at + 40);
    }
    checker.ended(end(send({ id: 'r0', at: 0 })));
    checker.finish(0, 15_000);
  };

  it('finds a runner that gets more than the limit that it states', () => {
    const { checker, promises } = makeChecker();
    sendToLimited(checker, 10);
    expect(promises).toEqual(['LIMIT']);
  });

  it('lets a runner get its limit, and what a disturbed gateway sends', () => {
    const { checker, promises, history } = makeChecker();
    sendToLimited(checker, 2);
    expect(promises).toEqual([]);
    const paused = { kind: 'unplanned', what: 'paused', gateway: GATEWAY, from: 0 } as const;
    history.begin(paused);
    sendToLimited(checker, 10);
    expect(promises).toEqual([]);
  });

  it('finds work that goes on after callers have left', () => {
    const { checker, promises } = makeChecker();
    for (let count = 0; count < BOUNDS.leftLeast; count += 1) {
      const left = { ...stream, id: `r${count}` };
      checker.sent(left);
      checker.ended(end(left, { status: 0, complete: false, left: true }));
      checker.runOver(arrival(left), left.at + 50 + BOUNDS.leftMs + 1);
    }
    expect(promises).toEqual(['GONE']);
  });

  it('finds a fleet that serves too little once all is well again', () => {
    const { checker, promises } = makeChecker();
    checker.sent(send());
    checker.ended(end(send(), { status: 503 }));
    checker.finish(0, 1_000);
    expect(promises).toEqual(['RECOVER']);
  });
});
