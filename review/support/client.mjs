/* eslint-disable */
// Clients as PROTOCOL.md describes them, and the record of what was sent, answered and run.
import http from 'node:http';
import { writeFile } from 'node:fs/promises';

export const HOST = 'desk.example';

let sent = 0;
const run = Math.random().toString(16).slice(2, 8);

/** A new request id, different from all others. */
export const newId = () => {
  sent += 1;
  return `${run}${String(sent).padStart(10, '0')}`;
};

/** Sends one request and resolves with what the client saw of its answer. */
export const call = (
  gateway,
  {
    path,
    method = 'POST',
    body = 'x',
    key,
    deadlineMs = 1500,
    headers = {},
    id = newId(),
    agent = false,
  },
) =>
  new Promise((resolve) => {
    const sentAt = performance.now();
    const hasBody = method !== 'GET';
    const request = http.request({
      ...gateway.callers,
      method,
      path,
      agent,
      headers: {
        Host: HOST,
        'X-Corianderwick-Request-Id': id,
        'X-Corianderwick-Deadline-Ms': String(deadlineMs),
        ...(key === undefined ? {} : { 'X-Corianderwick-Key': key }),
        ...(hasBody ? { 'Content-Length': Buffer.byteLength(body) } : {}),
        ...headers,
      },
    });
    const chunks = [];
    let status = 0;
    let answerHeaders = {};
    const end = (isComplete, detail) => {
      clearTimeout(timer);
      resolve({
        id,
        gateway: gateway.name,
        path,
        sentAt,
        endedAt: performance.now(),
        status,
        headers: answerHeaders,
        body: Buffer.concat(chunks),
        isComplete,
        detail,
      });
    };
    const timer = setTimeout(() => {
      request.destroy();
      end(false, 'the client gave up');
    }, deadlineMs + 1000);
    request.on('error', (error) => end(false, error.message));
    request.on('response', (response) => {
      status = response.statusCode;
      answerHeaders = response.headers;
      response.on('data', (bytes) => chunks.push(bytes));
      response.on('end', () => end(response.complete, ''));
      response.on('error', (error) => end(false, error.message));
    });
    request.end(hasBody ? body : undefined);
  });

/** Collects lines for record.txt. */
export const makeRecord = () => {
  const start = performance.now();
  const lines = [];
  return {
    line: (text) => lines.push(`${((performance.now() - start) / 1000).toFixed(3)} ${text}`),
    save: (path) => writeFile(path, `${lines.join('\n')}\n`),
  };
};

/** A configuration with routes of each kind. */
export const makeConfiguration = (version, overrides = {}) => {
  const route = (name, kind, service, more = {}) => ({
    name,
    host: HOST,
    path_prefix: `/${name}/`,
    kind,
    timeout_ms: kind === 'stream' ? 15000 : 1500,
    target_latency_ms: 500,
    priority: 1,
    service,
    max_attempts: 2,
    allow_anonymous: false,
    session_affinity: kind === 'stream',
    stream_resume: false,
    ...(kind === 'stream' ? { gap_aim_ms: 500 } : {}),
    ...more,
  });
  return {
    version,
    routes: [
      route('hold', 'unsafe', 'desk', { max_attempts: 1 }),
      route('lookup', 'safe', 'desk'),
      route('review', 'stream', 'llm', { max_attempts: 1 }),
      route('quote', 'stream', 'llm', { stream_resume: true }),
    ],
    services: [
      { name: 'desk', health_path: '/healthz', max_connections: 96 },
      {
        name: 'llm',
        health_path: '/healthz',
        max_connections: 360,
        engine: { slots: 10, kv_capacity_tokens: 708253, stride: 5 },
      },
    ],
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: 1000000,
      header_timeout_ms: 2000,
      idle_timeout_ms: 5000,
    },
    tenants: [
      {
        name: 'office',
        api_keys: ['key-office'],
        priority: 1,
        unit: 'tokens',
        plain_tokens: 200,
        rate_per_s: 0,
        burst: 0,
      },
      {
        name: 'agency',
        api_keys: ['key-agency'],
        priority: 1,
        unit: 'tokens',
        plain_tokens: 200,
        rate_per_s: 0,
        burst: 0,
      },
    ],
    ...overrides,
  };
};
