import type { TestContext } from 'node:test';
import { until } from '../support/scoped.ts';
import { startObjectStore } from './startObjectStore.ts';
import {
  makeConfiguration,
  runnerSpec,
  startGateway,
  untilReady,
  type GatewayStandIns,
} from './startGateway.ts';
import { startRunner, type RunnerScript, type RunnerStandIn } from './startRunner.ts';

const NOWHERE = { address: '127.0.0.1:1' };

/** Two gateways, and the runner that one of them reaches. */
export interface CutPair {
  readonly cut: GatewayStandIns;
  readonly reaching: GatewayStandIns;
  readonly runner: RunnerStandIn;
}

/** Starts two gateways, of which one finds the runner of each service at an address that refuses connections. */
export const startCutPair = async (
  context: TestContext,
  script: RunnerScript,
  configuration = makeConfiguration(7),
): Promise<CutPair> => {
  const runner = await startRunner(context, script);
  const start = async (
    instance: string,
    found: Pick<RunnerStandIn, 'address'>,
    seeds: readonly string[],
  ): Promise<GatewayStandIns> => {
    const store = await startObjectStore(context);
    store.put('servers', 'i-1', runnerSpec('plain', found));
    store.put('servers', 'i-2', runnerSpec('model', found));
    store.put('servers', 'i-3', runnerSpec('model', found));
    store.put('config', 'main', configuration);
    const gateway = await startGateway(context, {
      store,
      instance,
      failureDomain: instance,
      seeds,
    });
    await untilReady(gateway);
    return gateway;
  };
  const reaching = await start('reaching', runner, []);
  const cut = await start('cut', NOWHERE, [reaching.gateway.addresses.peers]);
  await until(() => cut.log.some(({ msg, status }) => msg === 'membership' && status === 'alive'));
  return { cut, reaching, runner };
};
