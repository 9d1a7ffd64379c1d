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
import { startObjectStore } from './startObjectStore.ts';
import { answer, startRunner, type RunnerStandIn } from './startRunner.ts';

const DEEP = 200_000;
/** A test that waits in vain ends then. */
const LIMIT = { timeout: 10_000 };

const startSoundRunner = (context: TestContext): Promise<RunnerStandIn> =>
  startRunner(context, (request) => {
    request.socket.write(answer(request, 'hello'));
  });

/** JSON of an entry with fields that no reader of it needs to know. */
const entryText = (spec: Record<string, unknown>, more = ''): string =>
  `${JSON.stringify(spec).slice(0, -1)}${more}}`;

const NESTED = `,"more":${'['.repeat(DEEP)}${']'.repeat(DEEP)}`;

/** Two gateways of one failure domain, the first of which watches the store, with an endpoint that serves. */
const startPair = async (context: TestContext) => {
  const runner = await startSoundRunner(context);
  const store = await startObjectStore(context);
  store.put('servers', 'i-1', runnerSpec('plain', runner));
  store.put('config', 'main', makeConfiguration(7));
  const first = await startGateway(context, { store, instance: 'first' });
  await untilReady(first);
  const seeds = [first.gateway.addresses.peers];
  const second = await startGateway(context, { store, instance: 'second', seeds });
  await untilReady(second);
  await until(() =>
    second.log.some(({ msg, relies }) => msg === 'store watcher changed' && relies === true),
  );
  return { runner, store, gateways: [first, second] };
};

const linesAbout = ({ log }: GatewayStandIns, name: string) =>
  log.filter((line) => line.msg === 'entry not usable' && line.name === name);

const versionInForce = ({ log }: GatewayStandIns): unknown =>
  log.findLast(({ msg }) => msg === 'configuration in force')?.version;

// LOST, and processes that end by themselves: an entry of another writer ended each process that read or relayed it.
describe('gateways that read an odd entry', () => {
  const odd: Readonly<Record<string, (spec: Record<string, unknown>) => string>> = {
    'nested very deeply': (spec) => entryText(spec, NESTED),
    'nested very deeply in objects': (spec) =>
      entryText(spec, `,"more":${'{"a":'.repeat(DEEP)}1${'}'.repeat(DEEP)}`),
    'with a number too large': (spec) =>
      entryText({ ...spec, slots: 0 }).replace('"slots":0', '"slots":1e300'),
    'with an infinite number': (spec) =>
      entryText({ ...spec, slots: 0 }).replace('"slots":0', '"slots":1e999'),
    'with a port out of range': (spec) => entryText({ ...spec, address: '127.0.0.1:99999' }),
    'with no port': (spec) => entryText({ ...spec, address: '127.0.0.1:0' }),
    'with an address out of range': (spec) => entryText({ ...spec, address: '127.0.0.256:80' }),
    'that is no object': () => '"nothing"',
  };
  Object.entries(odd).forEach(([name, makeText]) =>
    it(`serve on, follow the store and name it once: one ${name}`, LIMIT, async (context) => {
      const { runner, store, gateways } = await startPair(context);
      const text = makeText(runnerSpec('plain', runner, { seq: 2 }));
      store.putText('servers', 'i-odd', text);
      store.putText('servers', 'i-odd', text);
      store.put('config', 'main', makeConfiguration(8));
      await until(() => gateways.every((gateway) => versionInForce(gateway) === 8));
      await until(() => gateways.every((gateway) => linesAbout(gateway, 'i-odd').length > 0));
      for (const { gateway } of gateways) {
        const got = await call(gateway.addresses.callers, { path: '/read/' });
        expect([got.status, got.complete]).toEqual([200, true]);

        const { body } = await ask(gateway.addresses.metrics, '/metrics');
        expect(body).toMatchRegex(/unusable_entries_total\{kind="endpoints"\} [1-9]/);
      }
      expect(gateways.map((gateway) => linesAbout(gateway, 'i-odd').length)).toEqual([1, 1]);
    }),
  );

  it('start though there is one, and use it once it is sound', LIMIT, async (context) => {
    const runner = await startSoundRunner(context);
    const store = await startObjectStore(context);
    store.putText('servers', 'i-1', entryText(runnerSpec('plain', runner), NESTED));
    store.put('config', 'main', makeConfiguration(7));
    const started = await startGateway(context, { store });
    await until(() => linesAbout(started, 'i-1').length > 0);
    store.put('servers', 'i-1', runnerSpec('plain', runner));
    await until(() =>
      started.log.some(({ msg, change }) => msg === 'endpoint changed' && change === 'added'),
    );
    const got = await call(started.gateway.addresses.callers, { path: '/read/' });
    expect(got.status).toEqual(200);
  });
});
