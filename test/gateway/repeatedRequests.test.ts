import { describe, it, type TestContext } from 'node:test';
import { expect } from 'earl';
import { until } from '../support/scoped.ts';
import {
  call,
  makeConfiguration,
  runnerSpec,
  startGateway,
  untilReady,
  type GatewayStandIns,
} from './startGateway.ts';
import {
  answer,
  chunk,
  END,
  event,
  refusal,
  startRunner,
  streamHead,
  type ArrivedRequest,
} from './startRunner.ts';

const OTHER_ENDPOINT = '421 Misdirected Request';

/** The answer to a request that runs. */
const served = (request: ArrivedRequest, service: string): string =>
  service === 'plain' ? answer(request, 'ran') : `${streamHead(request)}${chunk(event(1))}${END}`;

/** Lists a runner, and waits until the gateway has seen it. */
const list = async (
  { store, log }: GatewayStandIns,
  name: string,
  spec: Record<string, unknown>,
): Promise<void> => {
  store.put('servers', name, spec);
  await until(() =>
    log.some(({ msg, endpoint }) => msg === 'endpoint changed' && endpoint === name),
  );
};

describe('a gateway that finds an endpoint under a new id at the address of an earlier one', () => {
  (
    [
      ['a plain service', '/write/', 'plain', 'ran'],
      ['a stream', '/stream/', 'model', event(1)],
      ['a resumable stream', '/resumed/', 'model', event(1)],
    ] as const
  ).forEach(([name, path, service, ran]) =>
    // TWICE: a request came under the new id to the connection that had brought its 421 under the old one, whose copy
    // passed for the answer. A resumable stream went on at another endpoint while this one still worked on it.
    it(`never takes the copy of a refusal for the answer under the other id: ${name}`, async (context) => {
      const standIns = await startGateway(context);
      const runs: string[] = [];
      const last = await startRunner(context, (request) => {
        runs.push('i-4');
        request.socket.write(served(request, service));
      });
      const full = await startRunner(context, () => {});
      const restarted = await startRunner(context, async (request, count) => {
        const [first = request] = restarted.arrived;
        if (count === 1) {
          await list(standIns, 'i-3', runnerSpec(service, full));
          request.socket.write(refusal(request, OTHER_ENDPOINT));
          return;
        }
        runs.push('i-2');
        await list(standIns, 'i-4', runnerSpec(service, last));
        const copy = request.socket === first.socket ? refusal(first, OTHER_ENDPOINT) : '';
        request.socket.write(copy + served(request, service));
      });
      // Meanwhile the connection becomes idle, so that it can carry the request again.
      full.setScript(async (request) => {
        await list(standIns, 'i-2', runnerSpec(service, restarted));
        request.socket.write(refusal(request));
      });
      standIns.store.put('servers', 'i-1', runnerSpec(service, restarted));
      standIns.store.put('config', 'main', makeConfiguration(7));
      await untilReady(standIns);
      const { callers } = standIns.gateway.addresses;
      const { status, body } = await call(callers, { path, method: 'POST', body: 'order' });
      const ids = restarted.arrived.map(
        ({ headers }) => headers['x-corianderwick-expect-instance'],
      );
      expect(ids).toEqual(['i-1', 'i-2']);
      expect([status, body, runs]).toEqual([200, ran, ['i-2']]);
    }),
  );
});

const NOT_REACHED = 'no endpoint is reached';

const untilLogged = ({ log }: GatewayStandIns, message: string): Promise<void> =>
  until(() => log.some(({ msg }) => msg === message));

/** A configuration whose requests have the time for two gateways to miss their endpoints, one after the other. */
const makePatientConfiguration = (): Record<string, unknown> => {
  const configuration = makeConfiguration(7);
  const routes = configuration.routes as readonly object[];
  return { ...configuration, routes: routes.map((route) => ({ ...route, timeout_ms: 9_000 })) };
};

/** Two gateways that know each other, each with a runner of its own, which takes one connection and refuses what waits there. */
const startPairWithoutReach = async (context: TestContext) => {
  const start = async (instance: string, seeds: readonly string[]) => {
    const standIns = await startGateway(context, { instance, failureDomain: instance, seeds });
    const runner = await startRunner(context, async (request) => {
      runner.stopListening();
      await untilLogged(standIns, NOT_REACHED);
      request.socket.write(refusal(request));
    });
    standIns.store.put('servers', `of-${instance}`, runnerSpec('plain', runner));
    standIns.store.put('config', 'main', makePatientConfiguration());
    await untilReady(standIns);
    return { ...standIns, runner };
  };
  const peer = await start('peer', []);
  const cut = await start('cut', [peer.gateway.addresses.peers]);
  await until(() => cut.log.some(({ msg, status }) => msg === 'membership' && status === 'alive'));
  return { cut, peer };
};

describe('a gateway that reaches no endpoint any more, and whose peer declines', () => {
  [
    { name: 'the only endpoint', findsAnother: false },
    { name: 'an endpoint beside which another is listed later', findsAnother: true },
  ].forEach(({ name, findsAnother }) =>
    // TWICE, REFUSED: the endpoint of the refused attempt wasn't avoided as long as a peer could be asked, and the request came
    // once more to the connection that had brought its refusal, whose copy passed for the answer.
    it(`never takes the copy of a refusal for the answer of ${name}`, async (context) => {
      const { cut, peer } = await startPairWithoutReach(context);
      const runs: string[] = [];
      const other = await startRunner(context, (request) => {
        runs.push('other');
        request.socket.write(served(request, 'plain'));
      });
      cut.runner.setScript(async (request, count) => {
        const [first = request] = cut.runner.arrived;
        if (count === 1) {
          cut.runner.stopListening();
          await untilLogged(cut, NOT_REACHED);
          request.socket.write(refusal(request));
          return;
        }
        runs.push('of-cut');
        if (findsAnother) await list(cut, 'other', runnerSpec('plain', other));
        const copy = request.socket === first.socket ? refusal(first) : '';
        request.socket.write(copy + served(request, 'plain'));
      });
      const { status } = await call(cut.gateway.addresses.callers, {
        path: '/write/',
        method: 'POST',
        body: 'order',
        headers: { 'x-corianderwick-deadline-ms': '8000' },
      });
      const forwarded = cut.log.filter(({ msg }) => msg === 'forwarding ended');
      expect(forwarded.map((line) => line.status)).toEqual([421]);
      expect(peer.runner.arrived.length).toEqual(1);
      // Its endpoint takes no new connection, so that a refusal is right as well if the request hasn't run.
      expect([status, runs]).toEqual(runs.length === 0 ? [503, []] : [200, runs.slice(0, 1)]);
    }),
  );
});
