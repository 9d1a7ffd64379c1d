import { describe, it } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { expect } from 'earl';
import { until } from '../support/scoped.ts';
import { call, HOST, makeConfiguration, runnerSpec, startReadyGateway } from './startGateway.ts';
import { answer, startRunner } from './startRunner.ts';

const LOST_WRITES = 6;
const OTHER_KEY = 'another-key';
const withoutKey = [{ name: 'office', api_keys: [OTHER_KEY], unit: 'tokens', plain_tokens: 200 }];

const start = async (context: Parameters<typeof startRunner>[0]) => {
  const runner = await startRunner(context, (request) => {
    request.socket.write(answer(request, 'served'));
  });
  const spec = runnerSpec('plain', runner);
  const standIns = await startReadyGateway(context, { 'i-1': spec });
  const { store, gateway } = standIns;
  const status = async (key?: string): Promise<number> =>
    (
      await call(gateway.addresses.callers, {
        path: '/read/',
        headers: { host: HOST, ...(key && { 'x-corianderwick-key': key }) },
      })
    ).status;
  const configure = (version: number, more: object = {}): void =>
    store.put('config', 'main', makeConfiguration(version, { ...more }));
  /** Has the store go back to before some changes, whose revisions are given out again. */
  const restore = async (): Promise<void> => {
    const goBack = store.copy();
    for (let version = 8; version < 8 + LOST_WRITES; version += 1) configure(version);
    await until(() => standIns.log.some(({ version }) => version === 7 + LOST_WRITES));
    store.setAway(true);
    await wait(100);
    goBack();
    store.setAway(false);
  };
  return { ...standIns, runner, spec, status, configure, restore };
};

describe('a gateway whose store comes back from an older copy', () => {
  // CONFIG: no change was taken in until the store's revision had passed the one from before the copy.
  it('takes in the changes that follow, and never goes back to an older configuration', async (context) => {
    const { status, configure, restore, store, log } = await start(context);
    await restore();
    configure(9, { tenants: withoutKey });
    store.put('servers', 'marker', {});
    await until(() => log.some(({ name }) => name === 'marker'));
    // Version 9 is older than what is in force, so that the key still counts.
    expect(await status()).toEqual(200);
    configure(9 + LOST_WRITES, { tenants: withoutKey });
    await until(() => log.some(({ version }) => version === 9 + LOST_WRITES));
    expect([await status(), await status(OTHER_KEY)]).toEqual([401, 200]);
  });

  // DRAIN: an endpoint that drained after the store's return was used on.
  it('sends nothing more to an endpoint that drains afterwards', async (context) => {
    const { status, restore, store, spec, log } = await start(context);
    await restore();
    expect(await status()).toEqual(200);
    store.put('servers', 'i-1', { ...spec, state: 'draining' });
    await until(() => log.some(({ change }) => change === 'draining'));
    expect(await status()).toEqual(503);
  });

  // DRAIN: an endpoint that had left was used again on the word of the copy.
  it('uses an endpoint that left, and that the copy lists, only once it is written again', async (context) => {
    const { status, restore, store, spec, log } = await start(context);
    const goBack = store.copy();
    store.remove('servers', 'i-1');
    await until(() => log.some(({ change }) => change === 'removed'));
    goBack();
    await until(() => log.some(({ change }) => change === 'copied'));
    expect(await status()).toEqual(503);
    store.put('servers', 'i-1', spec);
    await until(() => log.filter(({ change }) => change === 'added').length === 2);
    expect(await status()).toEqual(200);
    await restore();
  });

  // Guards against endpoints that are lost to callers because the store has forgotten their entries.
  it('uses an endpoint on whose entry the copy lacks, for the time in which it is written again', async (context) => {
    const { status, store, runner, log } = await start(context);
    store.remove('servers', 'i-1');
    await until(() => log.some(({ change }) => change === 'removed'));
    const goBack = store.copy();
    store.put('servers', 'i-2', runnerSpec('plain', runner));
    await until(() => log.filter(({ change }) => change === 'added').length === 2);
    goBack();
    await until(() => log.some(({ change }) => change === 'missing'));
    expect(await status()).toEqual(200);
  });

  // Guards against a loop of watches and lists without a pause, which costs thousands of calls.
  it('calls the store as seldom as before', async (context) => {
    const { restore, store, log } = await start(context);
    await restore();
    await until(() => log.some(({ msg }) => msg === 'store went back to an older copy'));
    const before = store.calls.length;
    await wait(1_000);
    expect(store.calls.length - before).toBeLessThan(20);
  });
});
