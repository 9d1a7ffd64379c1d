import { describe, it } from 'node:test';
import type { TestContext } from 'node:test';
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
  startRunner,
  streamHead,
  type ArrivedRequest,
  type RunnerStandIn,
} from './startRunner.ts';
import { startObjectStore, type ObjectStoreStandIn } from './startObjectStore.ts';

const BOUNDS = { exposeShare: 0.4, exposeSlack: 50, rollbackMs: 5_000 };
const DURATION_S = 6;
const CALL_INTERVAL_MS = 6;
const SERVICE_MS = 20;
const STREAM_MS = 8;
/** Longest time of a play, so that one without a final state shows its log. */
const LONGEST_MS = 25_000;

type Behaviour = (request: ArrivedRequest, count: number) => void;

const answerAfter =
  (ms: number): Behaviour =>
  ({ ...request }) => {
    setTimeout(() => request.socket.write(answer(request, 'done')), ms);
  };

const streamAfter =
  (ms: number): Behaviour =>
  ({ ...request }) => {
    setTimeout(() => request.socket.write(streamHead(request) + chunk(event(1)) + END), ms);
  };

const PATHS = { plain: ['/read/', '/write/'], model: ['/stream/', '/resumed/'] } as const;

const BEHAVIOURS = {
  good: answerAfter(SERVICE_MS),
  failing: (request: ArrivedRequest) => {
    request.socket.write(answer(request, 'no', '500 Internal Server Error'));
  },
  slow: answerAfter(3 * SERVICE_MS),
} satisfies Record<string, Behaviour>;

interface Play {
  readonly store: ObjectStoreStandIn;
  readonly gateways: readonly GatewayStandIns[];
  readonly runners: { readonly old: RunnerStandIn; readonly new: RunnerStandIn };
  /** States of the roll-out in the store, in order, each change once. */
  readonly states: string[];
  /** Arrival of each request at the new version, in ms since the order. */
  readonly arrivals: number[];
  readonly order: (durationS?: number) => void;
  readonly startNewVersion: () => void;
  readonly drop: (index: number) => void;
}

const stateIn = (store: ObjectStoreStandIn, service: string): string | undefined =>
  (store.get('rollouts', service)?.status as { state?: string } | null | undefined)?.state;

/** Three gateways and callers, with one endpoint of the old version; the new one is started with the order. */
const startPlay = async (
  context: TestContext,
  behaviour: Behaviour,
  service: 'plain' | 'model' = 'plain',
): Promise<Play> => {
  const store = await startObjectStore(context);
  const runners = {
    old: await startRunner(context, service === 'plain' ? BEHAVIOURS.good : streamAfter(STREAM_MS)),
    new: await startRunner(context, () => {}),
  };
  store.put('servers', 'i-old', runnerSpec(service, runners.old));
  store.put('config', 'main', makeConfiguration(7));
  const gateways: GatewayStandIns[] = [];
  for (const instance of ['first', 'second', 'third']) {
    const seeds = gateways.map(({ gateway }) => gateway.addresses.peers);
    const started = await startGateway(context, {
      store,
      instance,
      seeds,
      bounds: { rollouts: BOUNDS },
    });
    gateways.push(started);
    await untilReady(started);
  }
  const states: string[] = [];
  const arrivals: number[] = [];
  let orderedAt = Number.POSITIVE_INFINITY;
  runners.new.setScript((request, count) => {
    arrivals.push(performance.now() - orderedAt);
    behaviour(request, count);
  });
  const live = [...gateways];
  let turn = 0;
  const callers = setInterval(() => {
    turn += 1;
    const gateway = live[turn % live.length];
    if (gateway !== undefined)
      call(gateway.gateway.addresses.callers, { path: PATHS[service][turn % 2] ?? '' });
    const state = stateIn(store, service);
    if (state !== undefined && state !== states.at(-1)) states.push(state);
  }, CALL_INTERVAL_MS);
  context.after(() => clearInterval(callers));
  return {
    store,
    gateways,
    runners,
    states,
    arrivals,
    order: (durationS = DURATION_S) => {
      orderedAt = performance.now();
      store.put('rollouts', service, { service, target: 'v2', duration_s: durationS });
    },
    startNewVersion: () =>
      store.put('servers', 'i-new', runnerSpec(service, runners.new, { version: 'v2' })),
    drop: (index) => live.splice(index, 1),
  };
};

const pause = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const rolloutLines = ({ gateways }: Play): unknown[] =>
  gateways.flatMap(({ log }) => log.filter(({ msg }) => /roll-out/.test(`${msg}`)));

const untilFinal = async (play: Play): Promise<void> => {
  const startedAt = performance.now();
  const isFinal = (): boolean => ['completed', 'rolled_back'].includes(play.states.at(-1) ?? '');
  await until(() => isFinal() || performance.now() - startedAt > LONGEST_MS);
  if (!isFinal()) throw new Error(`no final state: ${JSON.stringify(rolloutLines(play))}`);
};

const statusWrites = ({ store }: Play): number =>
  store.calls.filter((line) => line === 'PUT /api/objects/rollouts/plain/status').length;

const expectStates = (play: Play, expected: readonly string[]): void => {
  if (play.states.join() !== expected.join()) console.log(JSON.stringify(rolloutLines(play)));
  expect(play.states).toEqual([...expected]);
};

// Each guards against a roll-out that is not driven, or is driven past its bounds.
describe('canary roll-outs', () => {
  it('complete a good version by the deadline, and send it everything', async (context) => {
    const play = await startPlay(context, BEHAVIOURS.good);
    const before = performance.now();
    play.order();
    play.startNewVersion();
    await untilFinal(play);
    expect(performance.now() - before).toBeLessThan(DURATION_S * 1_000);
    expectStates(play, ['running', 'completed']);
    expect(statusWrites(play)).toEqual(2);
    await pause(300);
    const atOld = play.runners.old.arrived.length;
    await pause(300);
    expect(play.runners.old.arrived.length).toEqual(atOld);
  });

  Object.entries({ failing: BEHAVIOURS.failing, slow: BEHAVIOURS.slow }).forEach(
    ([name, behaviour]) =>
      it(`roll back a version that is ${name}, and send it nothing more`, async (context) => {
        const play = await startPlay(context, behaviour);
        play.order();
        play.startNewVersion();
        await untilFinal(play);
        expectStates(play, ['running', 'rolled_back']);
        await pause(300);
        const { length } = play.arrivals;
        const total = length + play.runners.old.arrived.length;
        expect(length).toBeLessThan(BOUNDS.exposeShare * total + BOUNDS.exposeSlack);
        await pause(1_000);
        expect(play.arrivals.length).toEqual(length);
      }),
  );

  it('complete a good version of model engines, whose requests one member schedules', async (context) => {
    const play = await startPlay(context, streamAfter(STREAM_MS), 'model');
    play.order();
    play.startNewVersion();
    await untilFinal(play);
    expectStates(play, ['running', 'completed']);
  });

  it('roll back a version of model engines that fails', async (context) => {
    const play = await startPlay(context, BEHAVIOURS.failing, 'model');
    play.order();
    play.startNewVersion();
    await untilFinal(play);
    expectStates(play, ['running', 'rolled_back']);
    await pause(300);
    const { length } = play.arrivals;
    await pause(1_000);
    expect(play.arrivals.length).toEqual(length);
  });

  it('go on with another driver, which writes one final state', async (context) => {
    const play = await startPlay(context, BEHAVIOURS.good);
    play.order(9);
    play.startNewVersion();
    await until(() => play.states.includes('running'));
    await pause(1_000);
    const driver = play.gateways.findIndex(({ log }) =>
      log.some(({ msg }) => msg === 'roll-out step decided'),
    );
    play.drop(driver);
    await play.gateways[driver]?.kill();
    await untilFinal(play);
    await pause(500);
    expectStates(play, ['running', 'completed']);
  });

  it('write one final state after the store was away over the deadline', async (context) => {
    const play = await startPlay(context, BEHAVIOURS.good);
    play.order();
    play.startNewVersion();
    await until(() => play.states.includes('running'));
    await pause(1_000);
    play.store.setAway(true);
    await pause(DURATION_S * 1_000);
    const exposed = play.arrivals.length;
    const total = exposed + play.runners.old.arrived.length;
    expect(exposed).toBeLessThan(BOUNDS.exposeShare * total + BOUNDS.exposeSlack);
    play.store.setAway(false);
    await untilFinal(play);
    await pause(500);
    expectStates(play, ['running', 'completed']);
  });

  it('keep to the state that the store holds after a reply was lost', async (context) => {
    const play = await startPlay(context, BEHAVIOURS.failing);
    play.order();
    play.startNewVersion();
    await until(() => play.states.includes('running'));
    play.store.setCondition({ _tag: 'losesAnswers' });
    await untilFinal(play);
    play.store.setCondition({ _tag: 'sound' });
    await pause(1_500);
    expectStates(play, ['running', 'rolled_back']);
  });

  it('roll back an order that ends at once', async (context) => {
    const play = await startPlay(context, BEHAVIOURS.good);
    play.startNewVersion();
    play.order(0);
    await untilFinal(play);
    expectStates(play, ['rolled_back']);
  });

  it('use endpoints of any version without an order, and read the kind only then', async (context) => {
    const play = await startPlay(context, BEHAVIOURS.good);
    const reads = () => play.store.calls.filter((line) => line.includes('rollouts')).length;
    play.runners.old.setScript(answerAfter(4 * SERVICE_MS));
    await pause(500);
    expect(reads()).toEqual(0);
    play.startNewVersion();
    await until(() => play.arrivals.length > 50);
    expect(play.states).toEqual([]);
    expect(reads()).toBeLessThan(5);
  });
});
