import { describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'earl';
import {
  ask,
  call,
  makeConfiguration,
  runnerSpec,
  startGateway,
  untilReady,
  type CallerAnswer,
} from './startGateway.ts';
import {
  answer,
  chunk,
  END,
  event,
  startRunner,
  streamHead,
  type ArrivedRequest,
} from './startRunner.ts';

const STALL_MS = 1_500;
/** Slow enough for the balancer to prefer the other endpoint while that one is quick. */
const SECOND_BEST_MS = 20;

const hedgeLines = (log: readonly Record<string, unknown>[], message: string) =>
  log.filter(({ msg }) => msg === message);

const streamEvents =
  (events: string) =>
  (request: ArrivedRequest): string =>
    streamHead(request) + chunk(events) + END;

describe('a gateway that may send second copies of slow requests', () => {
  // Guards against callers that wait for a slow endpoint, and against copies beyond the operator's share.
  it('answers from the other endpoint, frees the slow one and stays within the share', async (context) => {
    const served = (request: ArrivedRequest): void => {
      request.socket.write(answer(request, 'quick'));
    };
    const secondBest = (request: ArrivedRequest): void => {
      setTimeout(() => served(request), SECOND_BEST_MS);
    };
    const runners = [await startRunner(context, served), await startRunner(context, secondBest)];
    const standIns = await startGateway(context, { hedging: { share: 0.2 } });
    const { store, gateway, log } = standIns;
    runners.forEach((runner, index) =>
      store.put('servers', `i-${index}`, runnerSpec('plain', runner)),
    );
    store.put('config', 'main', makeConfiguration(7));
    await untilReady(standIns);
    const { callers, metrics } = gateway.addresses;
    const count = 100;
    // The estimates are renewed each 4 s.
    for (let sent = 0; sent < count; sent += 1) {
      // eslint-disable-next-line no-await-in-loop
      await Promise.all([call(callers, { path: '/read/1' }), sleep(45)]);
    }
    const alreadySent = hedgeLines(log, 'hedge sent').length;
    runners[0]?.setScript((request) => {
      setTimeout(() => request.socket.write(answer(request, 'late')), STALL_MS);
    });
    const answers: CallerAnswer[] = [];
    for (let sent = 0; sent < 10; sent += 1) {
      // eslint-disable-next-line no-await-in-loop
      answers.push(await call(callers, { path: '/read/1' }));
    }
    const hedged = hedgeLines(log, 'hedge sent').length - alreadySent;
    expect(hedged).toBeGreaterThan(0);
    expect(answers.map(({ status, body }) => `${status} ${body}`)).toEqual(
      answers.map(() => '200 quick'),
    );
    expect(runners[0]?.abandoned() ?? 0).toBeGreaterThan(0);
    expect(hedged + alreadySent).toBeLessThanOrEqual((count + answers.length) * 0.2);
    const page = await ask(metrics, '/metrics');
    expect(page.body).toInclude('hedges_total{route="read",result="won",limit=""}');
    expect(hedgeLines(log, 'hedge ended').some(({ winner }) => winner === 'second')).toEqual(true);
  });

  // Guards against copies of unsafe requests or beyond the first event, and slots that stay occupied after them.
  it('sends a resumable stream to a second engine before its first event, and an unsafe request once', async (context) => {
    const whole = streamEvents(event(1) + event(2));
    const script = (request: ArrivedRequest): void => {
      if (request.line.includes('/write/')) request.socket.write(answer(request, 'x'));
      else request.socket.write(whole(request));
    };
    const runners = [await startRunner(context, script), await startRunner(context, script)];
    const standIns = await startGateway(context, { hedging: { share: 0.2 } });
    const { store, gateway, log } = standIns;
    runners.forEach((runner, index) => {
      store.put('servers', `m-${index}`, runnerSpec('model', runner));
      store.put('servers', `p-${index}`, runnerSpec('plain', runner));
    });
    store.put('config', 'main', makeConfiguration(7));
    await untilReady(standIns);
    const send = (path: string) => call(gateway.addresses.callers, { path, method: 'POST' });
    for (let sent = 0; sent < 90; sent += 1) {
      // eslint-disable-next-line no-await-in-loop
      await Promise.all([send('/resumed/1'), send('/write/1'), sleep(50)]);
    }
    const unsafeBefore = runners.flatMap(({ arrived }) => arrived).length;
    runners[0]?.setScript((request) => {
      setTimeout(() => script(request), 300);
    });
    await Promise.all(Array.from({ length: 6 }, () => send('/write/1')));
    expect(runners.flatMap(({ arrived }) => arrived).length).toEqual(unsafeBefore + 6);
    const streams: CallerAnswer[] = [];
    for (let sent = 0; sent < 4; sent += 1) {
      // eslint-disable-next-line no-await-in-loop
      streams.push(await send('/resumed/1'));
    }
    expect(streams.map(({ complete, body }) => `${complete} ${body}`)).toEqual(
      streams.map(() => `true ${event(1)}${event(2)}`),
    );
    expect(hedgeLines(log, 'hedge ended').some(({ winner }) => winner === 'second')).toEqual(true);
    const page = await ask(gateway.addresses.metrics, '/metrics');
    expect(page.body).toInclude('\ncorianderwick_gateway_running 0\n');
  });

  // Guards against a gateway that never learns when requests are slow because its times do not reach the scheduler.
  it('learns when requests are slow from the scheduler, which has no requests of its own', async (context) => {
    const served = (request: ArrivedRequest): void => {
      request.socket.write(answer(request, 'quick'));
    };
    const runners = [await startRunner(context, served), await startRunner(context, served)];
    const leader = await startGateway(context, { hedging: { share: 0.2 } });
    const { store } = leader;
    runners.forEach((runner, index) =>
      store.put('servers', `i-${index}`, runnerSpec('plain', runner)),
    );
    store.put('config', 'main', makeConfiguration(7));
    await untilReady(leader);
    const seeds = [leader.gateway.addresses.peers];
    const follower = await startGateway(context, {
      instance: 'front-a-2',
      seeds,
      store,
      hedging: { share: 0.2 },
    });
    await untilReady(follower);
    const { callers } = follower.gateway.addresses;
    for (let sent = 0; sent < 140; sent += 1) {
      // eslint-disable-next-line no-await-in-loop
      await Promise.all([call(callers, { path: '/read/1' }), sleep(50)]);
    }
    runners.forEach((runner) =>
      runner.setScript((request) => {
        setTimeout(() => served(request), 200);
      }),
    );
    await call(callers, { path: '/read/1' });
    expect(hedgeLines(follower.log, 'hedge sent').length).toBeGreaterThan(0);
  });
});
