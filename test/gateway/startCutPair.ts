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

type Address = Pick<RunnerStandIn, 'address'>;

/** Two gateways. */
export interface CutGateways {
  /** Finds the runner of each service at an address that refuses connections. */
  readonly cut: GatewayStandIns;
  readonly reaching: GatewayStandIns;
}

/** Two gateways, and the runner that one of them reaches. */
export interface CutPair extends CutGateways {
  readonly runner: RunnerStandIn;
}

/** Starts two gateways, of which one reaches the runner of each service. */
export const startCutGateways = async (
  context: TestContext,
  runner: Address,
  configuration = makeConfiguration(7),
): Promise<CutGateways> => {
  const start = async (
    instance: string,
    found: Address,
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
  return { cut, reaching };
};

/** Starts a runner, and two gateways of which one reaches it. */
export const startCutPair = async (
  context: TestContext,
  script: RunnerScript,
  configuration = makeConfiguration(7),
): Promise<CutPair> => {
  const runner = await startRunner(context, script);
  return { ...(await startCutGateways(context, runner, configuration)), runner };
};
