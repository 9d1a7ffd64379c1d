import { test } from 'node:test';
import { expect } from 'earl';
import type { EntryAddress } from '../../src/protocol/caller/CallerService.ts';
import { callHttp } from '../support/callHttp.ts';
import type { HttpResult } from '../support/callHttp.ts';
import { until } from '../support/scoped.ts';
import { startDeployment } from '../support/startDeployment.ts';
import type { Deployment } from '../support/startDeployment.ts';

const PLAN = {
  engines: [
    { versions: ['v1'], timeScale: 20 },
    { versions: ['v1'], timeScale: 20 },
  ],
  services: [{ workMs: 5 }],
};

const chat = (
  { key }: Deployment,
  address: string,
  body: object,
  headers: Record<string, string> = {},
): Promise<HttpResult> =>
  callHttp(
    `http://${address}/v1/chat/completions`,
    { method: 'POST', headers: { authorization: `Bearer ${key}`, ...headers } },
    JSON.stringify({ messages: [{ role: 'user', content: 'status?' }], ...body }),
  );

const askEntries = async (address: string): Promise<readonly EntryAddress[]> =>
  JSON.parse((await callHttp(`http://${address}/v1/entries`)).body).entries;

test('a caller gets addresses, and whole and streamed answers from each entry', async (context) => {
  const deployment = await startDeployment(context, PLAN, 3);
  const [first] = deployment.entries;
  const entries = await askEntries(first?.callerAddress ?? '');
  expect(entries.length).toEqual(3);
  for (const { address, requestIdPrefix } of entries) {
    const id = `${requestIdPrefix}one`;
    const whole = await chat(
      deployment,
      address,
      { model: 'summary', max_tokens: 8 },
      { 'x-request-id': id },
    );
    expect(whole.status).toEqual(200);
    expect(whole.headers['x-request-id']).toEqual(id);
    expect(JSON.parse(whole.body).id).toEqual(id);
    const streamed = await chat(deployment, address, {
      model: 'summary',
      max_tokens: 8,
      stream: true,
    });
    expect(streamed.body.trimEnd().endsWith('data: [DONE]')).toEqual(true);
  }
});

test('an id is run once whichever entries get it, and its status can be asked anywhere', async (context) => {
  const deployment = await startDeployment(context, PLAN, 3);
  const { entries, key, fleet } = deployment;
  const [home, other, third] = entries.map(({ callerAddress }) => callerAddress);
  const prefixes = await askEntries(home ?? '');
  const prefix = prefixes.find(({ address }) => address === home)?.requestIdPrefix;
  const headers = { 'x-request-id': `${prefix}once` };
  const body = { model: 'summary', max_tokens: 4 };
  const answers = await Promise.all(
    [home, other, third, home].map((address) => chat(deployment, address ?? '', body, headers)),
  );
  expect(answers.map(({ status }) => status).sort()).toEqual([200, 409, 409, 409]);
  // A second copy must not say "not run" of an id that ran.
  expect(answers.flatMap(({ headers: { 'x-outcome': outcome } }) => outcome ?? [])).toEqual([]);
  const [arrivals] = (await fleet.run({
    _tag: 'arrivals',
    ids: [`${prefix}once`],
  })) as number[];
  expect(arrivals).toEqual(1);
  for (const address of [home, other, third]) {
    const status = await callHttp(`http://${address}/v1/requests/${prefix}once`, {
      headers: { authorization: `Bearer ${key}` },
    });
    expect(JSON.parse(status.body).outcome._tag).toEqual('completed');
  }
});

test('a plain service is reached by path with its method, and unknown things are refused', async (context) => {
  const deployment = await startDeployment(context, PLAN, 1);
  const address = deployment.entries[0]?.callerAddress ?? '';
  const authorization = `Bearer ${deployment.key}`;
  const hold = await callHttp(
    `http://${address}/services/holds/42`,
    { method: 'POST', headers: { authorization } },
    '{"slot":42}',
  );
  expect(hold.status).toEqual(200);
  expect((await chat(deployment, address, { model: 'none' })).status).toEqual(404);
  const stranger = { ...deployment, key: 'wrong' };
  expect((await chat(stranger, address, { model: 'summary' })).status).toEqual(401);
});

test('an entry that stops leaves its peers for good', async (context) => {
  const { entries } = await startDeployment(context, PLAN, 2);
  const [leaving, staying] = entries.map(({ entry }) => entry);
  if (leaving === undefined || staying === undefined) throw new Error('two entries were asked for');
  const { incarnation } = leaving;
  leaving.leave();
  await until(() => staying.membership.acceptingMembers().length === 1);
  leaving.tick();
  expect(leaving.incarnation).toEqual(incarnation);
});

test('a drained entry takes nothing new and serves what it has to its end', async (context) => {
  const deployment = await startDeployment(context, PLAN, 2);
  const [draining, staying] = deployment.entries;
  if (draining === undefined || staying === undefined)
    throw new Error('two entries were asked for');
  const body = { model: 'summary', max_tokens: 400, stream: true };
  const deadline = { 'x-deadline-ms': '60000' };
  const stream = chat(deployment, draining.callerAddress, body, deadline);
  await until(() => draining.entry.home.size === 1);
  draining.entry.drain();
  const refused = await chat(deployment, draining.callerAddress, { model: 'summary' });
  expect([refused.status, refused.headers['x-outcome']]).toEqual([503, 'not-run']);
  expect((await stream).body.trimEnd().endsWith('data: [DONE]')).toEqual(true);
  await draining.drained;
  const entries = await askEntries(staying.callerAddress);
  expect(entries.map(({ address }) => address)).toEqual([staying.callerAddress]);
});

test('a burst at an entry that owns the account itself is dispatched once each', async (context) => {
  const deployment = await startDeployment(context, PLAN, 1);
  const address = deployment.entries[0]?.callerAddress ?? '';
  const [entry] = await askEntries(address);
  const ids = Array.from({ length: 40 }, (_, index) => `${entry?.requestIdPrefix}b${index}`);
  const answers = await Promise.all(
    ids.map((id) =>
      chat(deployment, address, { model: 'summary', max_tokens: 4 }, { 'x-request-id': id }),
    ),
  );
  expect(new Set(answers.map(({ status }) => status))).toEqual(new Set([200]));
  const arrivals = await deployment.fleet.run({ _tag: 'arrivals', ids });
  expect(arrivals).toEqual(ids.map(() => 1));
});
