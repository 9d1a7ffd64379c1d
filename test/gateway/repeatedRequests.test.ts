import { describe, it } from 'node:test';
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
    ] as const
  ).forEach(([name, path, service, ran]) =>
    // TWICE: a request came under the new id to the connection that had brought its 421 under the old one, whose copy
    // passed for the answer.
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
