import { Agent, request } from 'node:http';
import { Deployment } from '../harness/Deployment.ts';
import { Fleet } from '../harness/Fleet.ts';
import { quantile, spread, median } from '../harness/Report.ts';
import type { Report, ScenarioOptions } from '../harness/Report.ts';
import { unlimited } from '../harness/changes.ts';

const MS_PER_SECOND = 1_000;
const WARM_UP_REQUESTS = 300;
const BUSY_CALLERS = 32;
const MAXIMUM_OVER_MS = 1;
const MINIMUM_PER_SECOND = 1_000;

interface Target {
  readonly address: string;
  readonly headers: () => Record<string, string>;
}

const sendOnce = (agent: Agent, target: Target, body: string): Promise<number> =>
  new Promise((resolve, reject) => {
    const began = performance.now();
    const sent = request(
      `${target.address}/v1/chat/completions`,
      { method: 'POST', agent, headers: { ...target.headers(), 'content-length': body.length } },
      (response) => {
        response.resume();
        response.on('end', () => {
          if (response.statusCode === 200) resolve(performance.now() - began);
          else reject(new Error(`status ${response.statusCode}`));
        });
      },
    );
    sent.on('error', reject);
    sent.end(body);
  });

/** Sends one request after the other from so many callers, and gives the times of all. */
const sendMany = async (
  target: Target,
  body: string,
  callers: number,
  seconds: number,
): Promise<readonly number[]> => {
  const agent = new Agent({ keepAlive: true, maxSockets: callers });
  const times: number[] = [];
  const until = performance.now() + seconds * MS_PER_SECOND;
  const call = async () => {
    while (performance.now() < until) times.push(await sendOnce(agent, target, body));
  };
  await Promise.all(Array.from({ length: callers }, call));
  agent.destroy();
  return times;
};

/** What lies between a caller and an engine that answers at once: time and processor time a request. */
export const overhead = async ({
  deployment: name,
  rounds = 5,
  seconds = 3,
}: ScenarioOptions): Promise<Report> => {
  const deployment = new Deployment(name, unlimited);
  const [runner] = deployment.runners;
  const pool = deployment.bundle.pools.find((one) => one.name === runner?.pool);
  const account = deployment.bundle.accounts[0]?.name ?? '';
  const fleet = await Fleet.start({
    deployment,
    entries: 1,
    logLevel: 'info',
    plan: (plan) => ({
      ...plan,
      engines: plan.engines?.map((engine) => ({ ...engine, instant: true, faults: {} })),
    }),
  });
  try {
    const [entry] = fleet.entries;
    let sequence = 0;
    const straight: Target = {
      address: fleet.standIns.addresses.engines[0] ?? '',
      headers: () => {
        sequence += 1;
        return {
          'x-request-id': `straight0.${sequence}`,
          'x-model-version': runner?.version ?? '',
        };
      },
    };
    const through: Target = {
      address: `http://${entry?.callerAddress}`,
      headers: () => ({ authorization: `Bearer ${deployment.keyOf(account)}` }),
    };
    const model = pool?.kind._tag === 'model' ? pool.kind.model : '';
    const body = JSON.stringify({
      model,
      messages: [{ role: 'user', content: 'short' }],
      max_tokens: 8,
    });
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    for (let count = 0; count < WARM_UP_REQUESTS; count += 1) await sendOnce(agent, through, body);
    agent.destroy();
    const results = [];
    for (let round = 0; round < rounds; round += 1) {
      const direct = await sendMany(straight, body, 1, seconds);
      const routed = await sendMany(through, body, 1, seconds);
      const before = entry?.cost().cpuMs ?? 0;
      const busy = await sendMany(through, body, BUSY_CALLERS, seconds);
      const cpuMs = ((entry?.cost().cpuMs ?? 0) - before) / busy.length;
      results.push({ direct, routed, perSecond: busy.length / seconds, cpuMs });
    }
    const overP50 = results.map(
      ({ direct, routed }) => quantile(routed, 0.5) - quantile(direct, 0.5),
    );
    const perSecond = results.map((result) => result.perSecond);
    const row = (label: string, values: readonly number[]) => ({
      figure: label,
      value: spread(values),
    });
    return {
      scenario: 'overhead',
      rows: [
        row(
          'p50 straight to the engine, ms',
          results.map(({ direct }) => quantile(direct, 0.5)),
        ),
        row(
          'p99 straight to the engine, ms',
          results.map(({ direct }) => quantile(direct, 0.99)),
        ),
        row(
          'p50 through an entry, ms',
          results.map(({ routed }) => quantile(routed, 0.5)),
        ),
        row(
          'p99 through an entry, ms',
          results.map(({ routed }) => quantile(routed, 0.99)),
        ),
        row('p50 over, ms', overP50),
        row('requests a second, 32 callers, one entry', perSecond),
        row(
          'processor time a request, ms',
          results.map(({ cpuMs }) => cpuMs),
        ),
      ],
      aims: [
        {
          name: `p50 at most ${MAXIMUM_OVER_MS} ms over`,
          met: median(overP50) <= MAXIMUM_OVER_MS,
          seen: `${median(overP50).toFixed(2)} ms`,
        },
        {
          name: `at least ${MINIMUM_PER_SECOND} short requests a second on one core`,
          met: median(perSecond) >= MINIMUM_PER_SECOND,
          seen: `${median(perSecond).toFixed(0)} a second`,
        },
      ],
    };
  } finally {
    await fleet.stop();
  }
};
