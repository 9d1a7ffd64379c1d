import { dirname, join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import {
  BOUNDS,
  HOST,
  PORTS_PER_MACHINE,
  findPorts,
  runCase,
  seconds,
  sendAtRate,
  startGateway,
  startRunner,
  startStore,
  untilReady,
  // eslint-disable-next-line import-x/extensions -- Node needs it.
} from '../support-3/standIns.mjs';

const MACHINES = ['127.0.1.81', '127.0.1.82', '127.0.1.83'];
const STORE = '127.0.1.91';
const RUNNERS = ['127.0.1.101', '127.0.1.102', '127.0.1.103', '127.0.1.104'];
const KEY = 'key-of-the-office';

/** A stream has up to 16 events, one each 240 to 480 ms, within the pauses of 500 ms of the sheet. */
const EVENTS = 16;
const STREAM_MS = 6_400;
/** Time after which the runners close idle connections; their `Keep-Alive` header states it. */
const IDLE_MS = 1_000;
const PER_SECOND = 6;
/** Signals, to one gateway after the other. */
const SIGHUPS = 12;
const SIGHUP_INTERVAL_S = 2;

const configuration = () => ({
  version: 7,
  routes: [
    {
      name: 'quote',
      host: HOST,
      path_prefix: '/quote/',
      kind: 'stream',
      timeout_ms: 15_000,
      target_latency_ms: 500,
      gap_aim_ms: 500,
      priority: 1,
      service: 'model',
      max_attempts: 1,
      allow_anonymous: false,
      session_affinity: true,
      stream_resume: false,
    },
  ],
  services: [
    {
      name: 'model',
      health_path: '/healthz',
      max_connections: 360,
      engine: { slots: 10, kv_capacity_tokens: 700_000, stride: 5 },
    },
  ],
  limits: {
    max_header_bytes: 8_192,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 5_000,
    idle_timeout_ms: 20_000,
  },
  tenants: [
    {
      name: 'office',
      api_keys: [KEY],
      priority: 1,
      unit: 'tokens',
      plain_tokens: 200,
      rate_per_s: 180_000,
      burst: 180_000,
    },
  ],
});

await runCase(
  join(dirname(fileURLToPath(import.meta.url)), 'record.txt'),
  async ({ folder, own, record, hasTrouble }) => {
    const firstPort = await findPorts([...MACHINES, STORE, ...RUNNERS], PORTS_PER_MACHINE);
    const store = own(await startStore(STORE, firstPort));
    const runners = await Promise.all(
      RUNNERS.map(async (host, index) =>
        own(
          await startRunner({
            ...{ host, port: firstPort, id: `i-${index}`, service: 'model', slots: 10 },
            ...{ workMs: STREAM_MS, events: EVENTS, store, isEngine: true },
            ...{ isUnframed: hasTrouble && index % 2 === 0, idleMs: IDLE_MS },
          }),
        ),
      ),
    );
    store.put('config', 'main', configuration());
    const gateways = await Promise.all(
      MACHINES.map(async (ip, index) => {
        const machine = { folder, name: `front-${index + 1}`, ip, firstPort, seeds: MACHINES };
        return own(await startGateway({ ...machine, storeAddress: store.address }));
      }),
    );
    await Promise.all(gateways.map(untilReady));
    await sleep(6_000);

    const signals = [];
    const signal = async () => {
      for (let count = 0; count < SIGHUPS; count += 1) {
        const { name, child } = gateways[count % gateways.length];
        signals.push({ gateway: name, at: seconds() });
        child.kill('SIGHUP');
        record(`${seconds().toFixed(3)} SIGHUP to ${name}`);
        // eslint-disable-next-line no-await-in-loop -- one signal after another
        await sleep(SIGHUP_INTERVAL_S * 1_000);
      }
    };
    const [answers] = await Promise.all([
      sendAtRate(PER_SECOND, SIGHUPS * SIGHUP_INTERVAL_S, (count) => ({
        gateway: gateways[count % gateways.length],
        id: `r-${count}`,
        path: `/quote/${count}`,
        method: 'POST',
        key: KEY,
        deadlineMs: 15_000,
        headers: {
          'X-Corianderwick-Model': 'm',
          'X-Corianderwick-Token-Count': '600,40',
          'X-Corianderwick-Prompt-Prefix': `a1:60,${count.toString(16)}b:540`,
        },
        body: 'prompt',
      })),
      signal(),
    ]);

    const runOf = new Map(runners.flatMap(({ runs }) => runs).map((run) => [run.id, run]));
    const applyS = BOUNDS.config_apply_ms / 1_000;
    const lost = answers.filter((answer) => {
      const run = runOf.get(answer.id);
      const isBeside = signals.some(
        ({ gateway, at }) =>
          gateway === answer.gateway && answer.at <= at + applyS && answer.endedAt > at,
      );
      const isWhole = answer.status === 200 && answer.complete;
      const text =
        run === undefined
          ? 'not run'
          : `run by ${run.runner}, ended at ${run.endedAt?.toFixed(3)} after ${run.events} events`;
      record(
        `${answer.at.toFixed(3)} ${answer.id} to ${answer.gateway}: ${answer.status}, ` +
          `${isWhole ? 'whole' : 'cut'} at ${answer.endedAt.toFixed(3)} after ` +
          `${(answer.body ?? '').split('data:').length - 1} events; ${text}`,
      );
      return (
        run !== undefined &&
        run.wasClosed === false &&
        answer.status !== 503 &&
        !isWhole &&
        isBeside
      );
    });
    record(
      `streams: ${answers.length}, ended without a complete answer beside a SIGHUP: ${lost.length}`,
    );
    if (answers.every(({ status }) => status !== 200)) return 2;
    return lost.length > 0 ? 1 : 0;
  },
);
