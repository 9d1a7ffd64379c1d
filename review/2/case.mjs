/* eslint-disable */
// The store comes back from a copy some seconds old. See claim.txt.
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { BOUNDS, makeDeployment, sleep } from '../support/deployment.mjs';
import { startStore } from '../support/store.mjs';
import { runnerEntry, startRunner } from '../support/runner.mjs';
import { call, makeConfiguration, makeRecord, newId } from '../support/client.mjs';

const HERE = dirname(fileURLToPath(import.meta.url));
const isTrouble = process.env.TROUBLE !== '0';
/** The drill: "away for a moment", and back "from a copy some seconds old". */
const AWAY_MS = 1_000;
const COPY_AGE_MS = 4_000;
/** The operator's changes before the drill. */
const CHANGES = 4;
const CHANGE_GAP_MS = 800;
/** Time from the store's return to the operator's next change: `contact_ms` and more, so that the core is stable. */
const STABLE_MS = 2 * BOUNDS.contact_ms;
const HEARTBEAT_MS = 1_200;
const WATCHED_MS = 10_000;

const record = makeRecord();
const store = await startStore();
const runs = [];

const runners = await Promise.all(
  [0, 1, 2].map((index) =>
    startRunner({
      id: `i-desk${index}`,
      serve: ({ request, answer }) => {
        runs.push({ id: request.id, runner: request.runner, at: performance.now() });
        record.line(`run ${request.id} at ${request.runner}`);
        setTimeout(() => answer(200, {}, `held ${request.id}`), 20);
      },
    }),
  ),
);
const states = new Map(runners.map(({ id }) => [id, 'ready']));
let seq = 0;
/** Runners write their entries every `heartbeat_ms`; one that only counts on changes no entry. */
const beat = () => {
  seq += 1;
  runners.forEach((runner) =>
    store.put(
      'servers',
      runner.id,
      runnerEntry(runner, 'desk', { slots: 6, state: states.get(runner.id) }),
    ),
  );
};
beat();
let version = 7;
/** What the operator holds to be in force; it is written again after the drill. */
let configuration = makeConfiguration(version);
const acknowledge = (why) => {
  const object = store.put('config', 'main', configuration);
  record.line(
    `acknowledged: configuration ${configuration.version} (${why}) at revision ${object.metadata.revision}, era ${store.era}`,
  );
  return performance.now();
};
acknowledge('first');
const heartbeats = setInterval(beat, HEARTBEAT_MS);

const deployment = await makeDeployment({
  storeAddress: store.address,
  zones: ['mechelen-a', 'leuven-b', 'brussels-c'],
});
let ends = 0;
deployment.onUnexpectedEnd = (gateway, { code: exitCode }) => {
  ends += 1;
  record.line(`ended by itself: ${gateway.name}, code ${exitCode}`);
};
let isOver = false;
const answers = [];

const runClient = async (key, start) => {
  for (let turn = start; !isOver; turn += 1) {
    const gateway = deployment.gateways[turn % deployment.gateways.length];
    const id = newId();
    const answer = await call(gateway, { path: '/hold/x', key, id });
    answers.push({ ...answer, key });
    record.line(
      `sent ${id} with ${key} to ${gateway.name}, answered ${answer.status} ${answer.detail}`,
    );
    await sleep(60);
  }
};

let code = 2;
try {
  await deployment.start();
  const clients = ['key-office', 'key-agency'].flatMap((key) =>
    [0, 1, 2].map((start) => runClient(key, start)),
  );
  await sleep(3_000);
  for (let change = 0; change < CHANGES; change += 1) {
    version += 3;
    configuration = { ...configuration, version };
    configuration.routes = configuration.routes.map((route) => ({
      ...route,
      target_latency_ms: 500 + version,
    }));
    acknowledge('a route is given another target');
    await sleep(CHANGE_GAP_MS);
  }
  if (isTrouble) {
    const before = store.revision;
    record.line(`the store is away for ${AWAY_MS} ms`);
    store.setAway(true);
    await sleep(AWAY_MS);
    const copied = store.restore(COPY_AGE_MS);
    store.setAway(false);
    record.line(
      `the store is back from a copy ${COPY_AGE_MS} ms old: revision ${copied} in place of ${before}, era ${store.era}`,
    );
    // "What the operator and the runners wrote is written again."
    acknowledge('written again');
    beat();
  }
  await sleep(STABLE_MS);
  version += 3;
  const [office, agency] = configuration.tenants;
  configuration = { ...configuration, version, tenants: [office, { ...agency, api_keys: [] }] };
  const revokedAt = acknowledge('key-agency is taken away');
  states.set('i-desk0', 'draining');
  beat();
  const drainingAt = performance.now();
  record.line(
    `acknowledged: i-desk0 is draining at revision ${store.get('servers', 'i-desk0').metadata.revision}`,
  );
  await sleep(WATCHED_MS);
  isOver = true;
  await Promise.all(clients);
  const ranBy = new Map(runs.map((run) => [run.id, run]));
  const late = answers.filter(
    ({ key, sentAt, id }) =>
      key === 'key-agency' && sentAt > revokedAt + BOUNDS.config_apply_ms && ranBy.has(id),
  );
  const owed = answers.filter(
    ({ key, sentAt }) => key === 'key-agency' && sentAt > revokedAt + BOUNDS.config_apply_ms,
  );
  const drained = runs.filter(
    ({ runner, at }) => runner === 'i-desk0' && at > drainingAt + BOUNDS.drain_ms,
  );
  late.forEach(({ id, gateway, sentAt }) =>
    record.line(
      `CONFIG ${id}: run with the dropped key, sent to ${gateway} ${Math.round(sentAt - revokedAt)} ms after the acknowledgement`,
    ),
  );
  drained.forEach(({ id, at }) =>
    record.line(
      `DRAIN ${id}: reached i-desk0 ${Math.round(at - drainingAt)} ms after it was acknowledged as draining`,
    ),
  );
  const text = `${late.length} of ${owed.length} requests with the dropped key run later than config_apply_ms (CONFIG); ${drained.length} requests reached the draining runner later than drain_ms (DRAIN); ${ends} processes ended; calls to the store: ${JSON.stringify(store.calls)}`;
  record.line(text);
  process.stdout.write(`${text}\n`);
  if (owed.length > 20) code = late.length + drained.length > 0 ? 1 : 0;
} catch (error) {
  record.line(`could not run: ${error.stack}`);
  process.stderr.write(`${error.stack}\n`);
} finally {
  isOver = true;
  clearInterval(heartbeats);
  await deployment.close();
  runners.forEach((runner) => runner.close());
  store.close();
  await record.save(join(HERE, 'record.txt'));
}
process.exit(code);
