import { describe, it } from 'node:test';
import { expect } from 'earl';
import { answer, startRunner, type RunnerStandIn } from './startRunner.ts';
import {
  ask,
  call,
  makeConfiguration,
  runnerSpec,
  startGateway,
  untilReady,
} from './startGateway.ts';

const BOUNDS = { domainDrainMs: 5_000, coldOvershoot: 1.5, coldSlack: 5 };
/** Requests that a runner of the service may get in any second. */
const COLD_BOUND = 11 * BOUNDS.coldOvershoot + BOUNDS.coldSlack;

const wait = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const makeColdConfiguration = (): Record<string, unknown> => {
  const configuration = makeConfiguration(7);
  const services = configuration.services as readonly object[];
  const cold = { cold_start_s: 3, cold_per_s: 11 };
  return { ...configuration, services: services.map((service) => ({ ...service, ...cold })) };
};

/** Records when requests arrive at a runner, which answers after a time in ms. */
const recordArrivals = ({ setScript }: RunnerStandIn, delayMs = 0): number[] => {
  const times: number[] = [];
  setScript((request) => {
    times.push(performance.now());
    setTimeout(() => request.socket.write(answer(request, 'done')), delayMs);
  });
  return times;
};

const mostInSecond = (times: readonly number[]): number =>
  Math.max(0, ...times.map((from) => times.filter((at) => at >= from && at < from + 1_000).length));

describe('a drain of a failure domain', () => {
  // Guards against requests that still reach a drained domain, against running ones that are cut, and against runners
  // that get more than they bear when their domain comes back.
  it('sends requests elsewhere until it ends, lets running ones end, and warms runners up after it', async (context) => {
    const runners = await Promise.all([1, 2].map(() => startRunner(context, () => {})));
    const [a, b] = runners as [RunnerStandIn, RunnerStandIn];
    const standIns = await startGateway(context, { bounds: BOUNDS });
    const { store, gateway, log } = standIns;
    store.put('servers', 'i-a', runnerSpec('plain', a, { zone: 'a' }));
    store.put('servers', 'i-b', runnerSpec('plain', b, { zone: 'b' }));
    store.put('config', 'main', makeColdConfiguration());
    await untilReady(standIns);
    const read = () => call(gateway.addresses.callers, { path: '/read/x' });
    const untilLogged = async (msg: string, failureDomain: string): Promise<void> => {
      const isLogged = () =>
        log.some((line) => line.msg === msg && line.failureDomain === failureDomain);
      for (const until = performance.now() + 4_900; !isLogged() && performance.now() < until;)
        await wait(5);
      expect([msg, failureDomain, isLogged()]).toEqual([msg, failureDomain, true]);
    };

    const slow = [a, b].map((runner) => recordArrivals(runner, 400));
    await wait(1_100);
    const running = Array.from({ length: 6 }, read);
    while (slow.some((times) => times.length === 0)) await wait(5);
    store.put('evacuations', 'a', {});
    await untilLogged('domain drain begun', 'a');
    const [drained, other] = [a, b].map((runner) => recordArrivals(runner));
    expect((await Promise.all(running)).map(({ status }) => status)).toEqual(Array(6).fill(200));
    for (let count = 0; count < 5; count += 1) expect((await read()).status).toEqual(200);
    expect([drained?.length, (other?.length ?? 0) >= 5]).toEqual([0, true]);

    store.put('evacuations', 'nowhere', {});
    store.put('evacuations', 'b', {});
    await untilLogged('drain of a domain that no endpoint has', 'nowhere');
    await untilLogged('domain drain begun', 'b');
    const askedAt = performance.now();
    const refused = await read();
    expect([refused.status, refused.headers['retry-after'] !== undefined]).toEqual([503, true]);
    expect(performance.now() - askedAt < 300).toEqual(true);
    const metrics = await ask(gateway.addresses.metrics, '/metrics');
    expect(metrics.body.includes('corianderwick_gateway_domain_drains 3')).toEqual(true);

    store.remove('evacuations', 'a');
    await untilLogged('domain drain ended', 'a');
    const ended = log.find((line) => line.msg === 'domain drain ended');
    expect(ended?.takenAsCold).toEqual(1);
    const answers = await Promise.all(Array.from({ length: 40 }, read));
    expect(answers.some(({ status }) => status === 200)).toEqual(true);
    expect(drained && drained.length > 5 && mostInSecond(drained) <= COLD_BOUND).toEqual(true);
  });

  // Shows the failure that the cap prevents: without the bound all 40 reach the runner within a second.
  it('lets a service without a bound get all requests at once', async (context) => {
    const runner = await startRunner(context, () => {});
    const standIns = await startGateway(context);
    const { store, gateway } = standIns;
    store.put('servers', 'i-a', runnerSpec('plain', runner, { slots: 64 }));
    store.put('config', 'main', makeColdConfiguration());
    await untilReady(standIns);
    const times = recordArrivals(runner);
    const read = () => call(gateway.addresses.callers, { path: '/read/x' });
    await Promise.all(Array.from({ length: 40 }, read));
    expect(mostInSecond(times) > COLD_BOUND).toEqual(true);
  });
});
