import { describe, it } from 'node:test';
import type { TestContext } from 'node:test';
import { expect } from 'earl';
import { until } from '../support/scoped.ts';
import {
  ask,
  call,
  makeConfiguration,
  runnerSpec,
  startGateway,
  untilReady,
  type GatewayStandIns,
} from './startGateway.ts';
import { chunk, END, event, startRunner, streamHead, type RunnerStandIn } from './startRunner.ts';
import { startObjectStore } from './startObjectStore.ts';

const streams = (context: TestContext): Promise<RunnerStandIn> =>
  startRunner(context, (request) => {
    request.socket.write(streamHead(request) + chunk(event(1)) + END);
  });

const addressesOf = async ({ gateway }: GatewayStandIns): Promise<readonly string[]> => {
  const { body } = await ask(gateway.addresses.directory, '/api/resolve?name=desk.example');
  return JSON.parse(body).addresses;
};

const untilAsync = async (condition: () => Promise<boolean>): Promise<void> => {
  if (await condition()) return;
  await new Promise((resolve) => {
    setTimeout(resolve, 10);
  });
  await untilAsync(condition);
};

/** Two gateways of one failure domain that know each other; the first one schedules and watches. */
const startPair = async (context: TestContext, runner: RunnerStandIn) => {
  const store = await startObjectStore(context);
  store.put('servers', 'i-1', runnerSpec('model', runner));
  store.put('config', 'main', makeConfiguration(7));
  const first = await startGateway(context, { store, instance: 'first' });
  await untilReady(first);
  const second = await startGateway(context, {
    store,
    instance: 'second',
    seeds: [first.gateway.addresses.peers],
  });
  await untilReady(second);
  await untilAsync(async () => (await addressesOf(second)).length === 2);
  await untilAsync(async () => (await addressesOf(first)).length === 2);
  return { store, first, second };
};

const untilRelying = ({ log }: GatewayStandIns): Promise<void> =>
  until(() => log.some(({ msg, relies }) => msg === 'store watcher changed' && relies === true));

const untilInForce = ({ log }: GatewayStandIns, version: number): Promise<void> =>
  until(() =>
    log.some((line) => line.msg === 'configuration in force' && line.version === version),
  );

const watchCalls = async ({ gateway }: GatewayStandIns): Promise<number> => {
  const { body } = await ask(gateway.addresses.metrics, '/metrics');
  return Number(/store_calls_total\{call="watch"\} (\d+)/.exec(body)?.[1]);
};

describe('gateways together', () => {
  it('tell callers the addresses of all, and of none that drains', async (context) => {
    const { first, second } = await startPair(context, await streams(context));
    const stopped = second.gateway.stop();
    await untilAsync(async () => (await addressesOf(first)).length === 1);
    expect(await addressesOf(first)).toEqual([first.gateway.addresses.callers]);
    const { status } = await ask(second.gateway.addresses.readiness, '/api/readyz');
    expect(status).toEqual(503);
    await stopped;
  });

  it('let one member schedule the engines for all', async (context) => {
    const { first, second } = await startPair(context, await streams(context));
    const got = await call(second.gateway.addresses.callers, { path: '/stream/', method: 'POST' });
    expect([got.status, got.complete]).toEqual([200, true]);
    expect(first.log.some(({ msg }) => msg === 'slot granted')).toEqual(true);
    expect(second.log.some(({ msg }) => msg === 'slot granted')).toEqual(false);
  });

  it('serve on while the member that schedules is gone', async (context) => {
    const { first, second } = await startPair(context, await streams(context));
    await call(second.gateway.addresses.callers, { path: '/stream/', method: 'POST' });
    await first.kill();
    const got = await call(second.gateway.addresses.callers, { path: '/stream/', method: 'POST' });
    expect([got.status, got.complete]).toEqual([200, true]);
  });

  it('watch the store once for a failure domain, and pass changes on', async (context) => {
    const { store, second } = await startPair(context, await streams(context));
    await untilRelying(second);
    const before = await watchCalls(second);
    store.put('config', 'main', makeConfiguration(9));
    await untilInForce(second, 9);
    expect(await watchCalls(second)).toEqual(before);
  });

  it('watch the store themselves once the one that did is gone', async (context) => {
    const { store, first, second } = await startPair(context, await streams(context));
    await untilRelying(second);
    await first.kill();
    store.put('config', 'main', makeConfiguration(9));
    await untilInForce(second, 9);
  });
});
