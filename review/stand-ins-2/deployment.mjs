/* eslint-disable import-x/extensions, no-await-in-loop -- scripts run by Node without a loader */
// A small deployment: a store with a configuration, three runners, three gateways, and clients.
import http from 'node:http';
import { startGateways, untilReady } from './gateways.mjs';
import { startRunner } from './runner.mjs';
import { now, sleep, startRecord } from './sockets.mjs';
import { startStore } from './store.mjs';

export const HOST = 'desk.example';
export const KEY = 'key-of-the-office';
const ZONES = ['a', 'b', 'c'];
const CLIENT_PATIENCE_MS = 500;

/** A route as the operator writes it. */
export const makeRoute = (name, kind, service, more = {}) => ({
  name,
  host: HOST,
  path_prefix: `/${name}/`,
  kind,
  timeout_ms: 1_500,
  target_latency_ms: 121,
  priority: 1,
  service,
  max_attempts: kind === 'safe' ? 2 : 1,
  allow_anonymous: false,
  session_affinity: false,
  stream_resume: false,
  gap_aim_ms: 500,
  ...more,
});

const makeConfiguration = ({ tenant = {} }) => ({
  version: 3,
  routes: [
    makeRoute('read', 'safe', 'desk'),
    makeRoute('write', 'unsafe', 'desk'),
    makeRoute('draft', 'stream', 'models', {
      timeout_ms: 15_000,
      target_latency_ms: 500,
      session_affinity: true,
    }),
  ],
  services: [
    {
      name: 'models',
      health_path: '/healthz',
      max_connections: 360,
      protocol: 'h1',
      tls: false,
      engine: {
        slots: 10,
        kv_capacity_tokens: 700_000,
        kv_token_bytes: 163_840,
        link_mbps: 180_000,
        moves: true,
        backups: true,
        stride: 5,
        most: 12,
        pin_ms: 4_000,
        hold_ms: 2_000,
        handle_s: 5,
        models: [{ name: 'm' }],
      },
    },
    { name: 'desk', health_path: '/healthz', max_connections: 96, protocol: 'h1', tls: false },
  ],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
  },
  tenants: [
    {
      name: 'office',
      api_keys: [KEY],
      priority: 1,
      unit: 'tokens',
      plain_tokens: 200,
      rate_per_s: 0,
      burst: 0,
      ...tenant,
    },
  ],
});

let clientRequests = 0;

/** Sends one client attempt, with an id of its own, and returns what the client got. */
export const sendRequest = (gateway, options) => {
  const { path, method = 'GET', body, deadlineMs = 1_500, extraLines = [], record } = options;
  const [host, port] = gateway.front.split(':');
  clientRequests += 1;
  const id = `${process.pid.toString(16)}-${clientRequests.toString(16).padStart(6, '0')}`;
  const result = { id, at: now(), gateway: gateway.index, status: 0 };
  record({ what: 'sent', id, gateway: gateway.index, path, lines: extraLines.length / 2 });
  return new Promise((resolve) => {
    const headers = [
      ...['Host', HOST, 'X-Corianderwick-Request-Id', id, 'X-Corianderwick-Key', KEY],
      ...['X-Corianderwick-Deadline-Ms', String(deadlineMs)],
      ...extraLines,
      ...(body === undefined ? [] : ['Content-Length', String(body.length)]),
    ];
    const request = http.request({ host, port, path, method, agent: false, headers });
    const timer = setTimeout(() => request.destroy(), deadlineMs + CLIENT_PATIENCE_MS);
    request.on('error', () => {});
    request.on('response', (response) => {
      result.status = response.statusCode;
      response.on('error', () => {});
      response.resume();
    });
    request.on('close', () => {
      clearTimeout(timer);
      record({ what: 'answered', id, status: result.status });
      resolve(result);
    });
    request.end(body);
  });
};

/** Sends requests at a steady rate for a time, to the gateways in turn. */
export const sendSteadily = async ({ gateways, perSecond, forMs, makeOptions }) => {
  const startedAt = now();
  const sent = [];
  while (now() - startedAt < forMs) {
    const due = ((now() - startedAt) * perSecond) / 1_000;
    while (sent.length < due) {
      const gateway = gateways[sent.length % gateways.length];
      sent.push(sendRequest(gateway, makeOptions(sent.length)));
    }
    await sleep(5);
  }
  return Promise.all(sent);
};

/**
 * Starts a deployment, plays a case on it and ends all that it started.
 *
 * @param options - `file`: where the record goes; `count`: number of gateways; `play`: returns whether the rule held
 * @returns the exit code of the case
 */
export const playCase = async (options) => {
  const { file, tenant, count = ZONES.length, hasPeerLinks, workMs = 20, play } = options;
  const { record, close } = startRecord(file);
  const store = await startStore(record);
  const runners = await Promise.all(
    ZONES.flatMap((zone) => [
      startRunner({ id: `desk-${zone}`, service: 'desk', zone, slots: 6, workMs, record }),
      startRunner({
        id: `model-${zone}`,
        service: 'models',
        zone,
        slots: 10,
        workMs: 150,
        isStream: true,
        record,
      }),
    ]),
  );
  runners.forEach((runner) => store.put('servers', runner.id, runner.spec));
  store.put('config', 'main', makeConfiguration({ tenant }));
  let group;
  try {
    group = await startGateways({ count, store, record, hasPeerLinks });
    await untilReady(group.gateways);
    await sleep(2_000);
    const verdict = await play({ ...group, store, runners, record });
    record({ what: 'verdict', ...verdict });
    process.stdout.write(`${JSON.stringify(verdict)}\n`);
    return verdict.held ? 0 : 1;
  } catch (error) {
    record({ what: 'the case could not run', error: error.message });
    process.stderr.write(`${error.stack}\n`);
    return 2;
  } finally {
    await group?.close();
    runners.forEach((runner) => runner.close());
    store.close();
    await close();
  }
};
