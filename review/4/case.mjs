/* eslint-disable */
// One gateway is cut off from the others and restarted behind the cut. See claim.txt.
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { BOUNDS, makeDeployment, sleep } from '../support/deployment.mjs';
import { startPeerLinks } from '../support/peerLinks.mjs';
import { startStore } from '../support/store.mjs';
import { runnerEntry, startRunner } from '../support/runner.mjs';
import { call, makeConfiguration, makeRecord, newId } from '../support/client.mjs';

const HERE = dirname(fileURLToPath(import.meta.url));
const isTrouble = process.env.TROUBLE !== '0';
const RUNNERS = 6;
/** Tokens of a request: in and out. */
const TOKENS = { in: 1_900, out: 100 };
const QUOTA = { rate: 36_000, burst: 36_000 };
/** The sheet's quota is 1.8 times what a tenant usually sends; `hot_tenant` sends 7.5 times its usual. */
const PRESSED = (7.5 / 1.8) * QUOTA.rate;
/** `node_cut`: one of three machines (share 0.35 at most) for 12 s. `node_kill`: this one, once. */
const CUT = { ms: 12_000, killedAfterMs: 500, restartMs: 500 };
const { quota_window_s: WINDOW_S, quota_overshoot: OVERSHOOT, quota_slack: SLACK } = BOUNDS;
const LIMIT = (QUOTA.rate * WINDOW_S + QUOTA.burst) * (1 + OVERSHOOT) + SLACK;

const record = makeRecord();
const store = await startStore();
const sentAt = new Map();
const arrivals = [];

const serve = ({ request, answer }) => {
  arrivals.push({ id: request.id, at: performance.now(), runner: request.runner });
  record.line(`run ${request.id} at ${request.runner}`);
  setTimeout(
    () =>
      answer(200, { 'Content-Type': 'text/event-stream' }, `id: 1\ndata: a\n\nid: 2\ndata: b\n\n`),
    40,
  );
};
const runners = await Promise.all(
  Array.from({ length: RUNNERS }, (_, index) => startRunner({ id: `i-llm${index}`, serve })),
);
runners.forEach((runner) => store.put('servers', runner.id, runnerEntry(runner, 'llm')));
const configuration = makeConfiguration(7);
configuration.tenants[0] = {
  ...configuration.tenants[0],
  rate_per_s: QUOTA.rate,
  burst: QUOTA.burst,
};
store.put('config', 'main', configuration);

const deployment = await makeDeployment({
  storeAddress: store.address,
  zones: ['mechelen-a', 'leuven-b', 'brussels-c'],
});
const links = await startPeerLinks(deployment.gateways);
let ends = 0;
deployment.onUnexpectedEnd = (gateway) => {
  ends += 1;
  record.line(`ended by itself: ${gateway.name}`);
};
let isOver = false;
const counts = {};
const pending = [];

const ask = async (gateway) => {
  const id = newId();
  sentAt.set(id, performance.now());
  const answer = await call(gateway, {
    path: '/review/x',
    key: 'key-office',
    id,
    deadlineMs: 3_000,
    headers: {
      'X-Corianderwick-Model': 'm',
      'X-Corianderwick-Token-Count': `${TOKENS.in},${TOKENS.out}`,
      'X-Corianderwick-Prompt-Prefix': `5c1e07a2:60,${id}:1840`,
    },
  });
  counts[answer.status] = (counts[answer.status] ?? 0) + 1;
  record.line(`sent ${id} to ${gateway.name}, answered ${answer.status} ${answer.detail}`);
};

/** The tenant's users ask each gateway at the same rate. */
const press = async (gateway) => {
  const gapMs = (1_000 * (TOKENS.in + TOKENS.out) * deployment.gateways.length) / PRESSED;
  let next = performance.now();
  while (!isOver) {
    pending.push(ask(gateway));
    next += gapMs;
    await sleep(Math.max(0, next - performance.now()));
  }
};

/** Returns the largest use of the quota in any window: requests that were sent and arrived in it. */
const findWorstWindow = () => {
  const uses = arrivals
    .map(({ id, at }) => ({ sent: sentAt.get(id), at }))
    .filter(({ sent }) => sent !== undefined);
  return uses
    .map(({ at: end }) => {
      const start = end - 1_000 * WINDOW_S;
      const count = uses.filter(({ sent, at }) => sent >= start && at <= end).length;
      return { end, tokens: count * (TOKENS.in + TOKENS.out) };
    })
    .reduce((worst, window) => (window.tokens > worst.tokens ? window : worst), {
      end: 0,
      tokens: 0,
    });
};

let code = 2;
try {
  await deployment.start();
  await sleep(3_000);
  const clients = deployment.gateways.map(press);
  await sleep(10_000);
  const [, , gateway] = deployment.gateways;
  if (isTrouble) {
    record.line(`${gateway.name} is cut off from all other gateways`);
    links.cut(gateway);
    await sleep(CUT.killedAfterMs);
    await gateway.end('SIGKILL');
    record.line(`${gateway.name} is killed`);
    await sleep(CUT.restartMs);
    await gateway.start();
    record.line(`${gateway.name} is started again`);
    await sleep(CUT.ms - CUT.killedAfterMs - CUT.restartMs);
    links.heal();
    record.line('the cut is over');
  } else await sleep(CUT.ms);
  await sleep(3_000);
  isOver = true;
  await Promise.all(clients);
  await Promise.all(pending);
  const worst = findWorstWindow();
  const text = `${worst.tokens} tokens of the tenant in ${WINDOW_S} s, ${LIMIT} allowed; answers ${JSON.stringify(counts)}; ${ends} gateway processes ended by themselves`;
  record.line(text);
  process.stdout.write(`${text}\n`);
  if (arrivals.length > 500) code = worst.tokens > LIMIT ? 1 : 0;
} catch (error) {
  record.line(`could not run: ${error.stack}`);
  process.stderr.write(`${error.stack}\n`);
} finally {
  isOver = true;
  await deployment.close();
  links.close();
  runners.forEach((runner) => runner.close());
  store.close();
  await record.save(join(HERE, 'record.txt'));
}
process.exit(code);
