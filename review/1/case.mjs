/* eslint-disable */
// One runner spoils the heads of some of its answers. See claim.txt.
import http from 'node:http';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { makeDeployment, sleep } from '../support/deployment.mjs';
import { startStore } from '../support/store.mjs';
import { encodeAnswer, runnerEntry, startRunner } from '../support/runner.mjs';
import { call, makeConfiguration, makeRecord, newId } from '../support/client.mjs';

const HERE = dirname(fileURLToPath(import.meta.url));
const isTrouble = process.env.TROUBLE !== '0';
const CLIENTS = 16;
const WORK_MS = { least: 40, most: 110 };
const CALM_MS = 4_000;
/** `garble` of the sheet: share 0.428 of the runners, x 0.0286 of the answers, for 6.64 s. */
const GARBLE = { ms: 6_600, everyNth: 36 };
/** By turns: one byte of a header's name is wrong, or the digits of the status are. */
const SPOILS = [
  { before: 'Content-Type:', now: 'Conte t-Type:' },
  { before: 'HTTP/1.1 200', now: 'HTTP/1.1 000' },
];
const TYPE = { 'Content-Type': 'text/plain' };
const RESTART_MS = 500;
/** RULES.md, LOST: "more than three times". */
const ALLOWED = 3;

const record = makeRecord();
const store = await startStore();
const spoiledIds = new Set();
const ranAt = new Map();
let isGarbling = false;
let answers = 0;

const serve =
  (isFaulty) =>
  ({ request, socket, own, answer, done }) => {
    ranAt.set(request.id, { runner: request.runner, isFaulty });
    record.line(`run ${request.id} at ${request.runner}`);
    setTimeout(
      () => {
        const body = `held ${request.id}`;
        if (isFaulty && isGarbling) {
          answers += 1;
          if (answers % GARBLE.everyNth === 0) {
            const bytes = encodeAnswer(200, { ...own, ...TYPE }, body);
            const spoil = SPOILS[spoiledIds.size % SPOILS.length];
            bytes.write(spoil.now, bytes.indexOf(spoil.before), 'latin1');
            spoiledIds.add(request.id);
            record.line(`spoiled ${request.id}: "${spoil.now}" in place of "${spoil.before}"`);
            if (!socket.destroyed) socket.write(bytes);
            done();
            return;
          }
        }
        answer(200, TYPE, body);
      },
      WORK_MS.least + Math.random() * (WORK_MS.most - WORK_MS.least),
    );
  };

const runners = await Promise.all(
  [0, 1, 2].map((index) => startRunner({ id: `i-desk${index}`, serve: serve(index === 0) })),
);
runners.forEach((runner) =>
  store.put('servers', runner.id, runnerEntry(runner, 'desk', { slots: 6 })),
);
store.put('config', 'main', makeConfiguration(7));

const deployment = await makeDeployment({
  storeAddress: store.address,
  zones: ['mechelen-a', 'leuven-b'],
});
let ends = 0;
deployment.onUnexpectedEnd = (gateway, { code, signal, errors }) => {
  ends += 1;
  const reason = errors.split('\n').find((line) => /Error/.test(line)) ?? '';
  record.line(`ended by itself: ${gateway.name}, code ${code}, signal ${signal}: ${reason}`);
  // The platform starts a process again that has ended.
  setTimeout(() => {
    if (!isOver) gateway.start();
  }, RESTART_MS);
};

let isOver = false;
const lost = [];
let total = 0;

/** A client that keeps its connection for many requests, and opens another one when it is closed. */
const runClient = async (gateway) => {
  let agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  let isKept = false;
  while (!isOver) {
    const id = newId();
    total += 1;
    const answer = await call(gateway, { path: '/hold/x', key: 'key-office', id, agent });
    record.line(`sent ${id} to ${gateway.name}, answered ${answer.status} ${answer.detail}`);
    const run = ranAt.get(id);
    const isUnanswered = answer.status === 0 && answer.detail !== 'the client gave up';
    if (isKept && isUnanswered && run !== undefined && !run.isFaulty)
      lost.push({ id, gateway: gateway.name, runner: run.runner, detail: answer.detail });
    isKept = answer.status !== 0;
    if (!isKept) {
      agent.destroy();
      agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
      await sleep(50);
    }
  }
  agent.destroy();
};

let code = 2;
try {
  await deployment.start();
  const clients = Array.from({ length: CLIENTS }, (_, index) =>
    runClient(deployment.gateways[index % deployment.gateways.length]),
  );
  await sleep(CALM_MS);
  if (isTrouble) {
    record.line('garble begins at i-desk0');
    isGarbling = true;
  }
  await sleep(GARBLE.ms);
  isGarbling = false;
  record.line('garble ends');
  await sleep(2_000);
  isOver = true;
  await Promise.all(clients);
  lost.forEach(({ id, gateway, runner, detail }) =>
    record.line(
      `LOST ${id}: ${gateway} had passed it on to the sound ${runner} and closed its kept connection: ${detail}`,
    ),
  );
  const text = `${total} requests, ${spoiledIds.size} spoiled answers of i-desk0, ${ends} gateway processes ended by themselves, ${lost.length} requests at sound runners lost (${ALLOWED} allowed)`;
  record.line(text);
  process.stdout.write(`${text}\n`);
  if (total > 100 && (!isTrouble || spoiledIds.size > 0)) code = lost.length > ALLOWED ? 1 : 0;
} catch (error) {
  record.line(`could not run: ${error.stack}`);
  process.stderr.write(`${error.stack}\n`);
} finally {
  isOver = true;
  await deployment.close();
  runners.forEach((runner) => runner.close());
  store.close();
  await record.save(join(HERE, 'record.txt'));
}
process.exit(code);
