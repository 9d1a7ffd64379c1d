import { readFileSync, readdirSync } from 'node:fs';
import type { TestContext } from 'node:test';
import {
  call,
  HOST,
  KEY,
  makeConfiguration,
  runnerSpec,
  untilReady,
  type GatewayStandIns,
} from '../gateway/startGateway.ts';
import { startObjectStore } from '../gateway/startObjectStore.ts';
import { answer, startRunner, type RunnerScript } from '../gateway/startRunner.ts';
import { GatewayProcess } from '../soak/GatewayProcess.ts';
import { loopbackNetwork } from '../support/loopbackNetwork.ts';
import { Crowd, type CrowdScript } from './Crowd.ts';

/** A gateway and the crowd before it. */
export interface CrowdPlay {
  /** Path of the gateway's bundled program. */
  readonly program: string;
  /** Where its settings and its log lie. */
  readonly folder: string;
  readonly crowd: CrowdScript;
  /** What the endpoint does with the crowd's requests; it answers all others at once. */
  readonly onCrowdRequest?: RunnerScript;
  /** Ordinary requests that are answered while the crowd still writes, after which the rest of it is not waited for. */
  readonly enoughAnswers?: number;
  /** The gateway's limit of a body; the largest of the users' sites where it isn't given. */
  readonly maximumBodyBytes?: number;
  /** The gateway's limit of a head, in bytes. */
  readonly maximumHeaderBytes?: number;
  /** Whether each of the crowd's connections must be answered with 200, as its request is inside the limits. */
  readonly isLegal?: boolean;
}

/** What the platform allows the gateway: the memory of the smallest machines, and far fewer descriptors than theirs. */
export const BOUNDS = { memory_mb: 160, max_fds: 400 } as const;
/** The largest body on the users' sites. */
export const MAXIMUM_BODY_BYTES = 4_194_304;
/** The test runner ends a file by then; no check depends on it. */
export const TEST_TIMEOUT_MS = 150_000;
/**
 * Ends a test that shows a gateway that hangs: it has bytes for minutes, and answers nobody before it has read them all. One
 * that takes turns between its connections answers as long as they last.
 */
export const HANG_TIMEOUT_MS = 60_000;
/** Longer than any of these tests, so that no request is given up for its age. */
const REQUEST_TIMEOUT_MS = 180_000;
const IDLE_TIMEOUT_MS = 3_000;
const SAMPLE_MS = 20;
const KB_PER_MB = 1_024;
/** Requests in a row during which the crowd gets no further: it has written all, or the gateway reads no more of it. */
const SETTLED_REQUESTS = 100;
/** Times that a crowd writes afterwards, once a second: longer than it writes before that and the idle timeout together. */
const TURNS_AFTERWARDS = 8;
const ORDINARY_PATH = '/read/ordinary';
const CROWD_PATH = '/read/crowd';

let requests = 0;

/** The head of a request of the crowd; `framing` says how long its body is. */
export const crowdHead = (framing: string, path = CROWD_PATH): string => {
  requests += 1;
  return (
    `POST ${path} HTTP/1.1\r\nHost: ${HOST}\r\nX-Corianderwick-Request-Id: crowd-${requests}\r\n` +
    `X-Corianderwick-Key: ${KEY}\r\nX-Corianderwick-Deadline-Ms: ${REQUEST_TIMEOUT_MS}\r\n${framing}\r\n\r\n`
  );
};

/** Gives bytes of a body in pieces of one size. */
export function* bodyPieces(bytes: number, pieceBytes: number): Iterable<Buffer> {
  const piece = Buffer.alloc(pieceBytes, 'x');
  for (let left = bytes; left > 0; left -= pieceBytes) yield piece.subarray(0, left);
}

const chunkOf = (bytes: number): string => `${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`;

/** Gives bytes of a body as chunks of one size, so many of them in a piece. */
export function* chunkPieces(bytes: number, chunkBytes: number, inPiece = 1): Iterable<string> {
  const piece = chunkOf(chunkBytes).repeat(inPiece);
  let left = bytes;
  for (; left >= chunkBytes * inPiece; left -= chunkBytes * inPiece) yield piece;
  for (; left > 0; left -= chunkBytes) yield chunkOf(Math.min(left, chunkBytes));
}

const makeLongConfiguration = ({
  maximumBodyBytes = MAXIMUM_BODY_BYTES,
  maximumHeaderBytes = 8_192,
}: CrowdPlay): Record<string, unknown> => {
  const { routes, services, ...rest } = makeConfiguration(7, {
    limits: {
      max_header_bytes: maximumHeaderBytes,
      max_body_bytes: maximumBodyBytes,
      header_timeout_ms: 3_000,
      idle_timeout_ms: IDLE_TIMEOUT_MS,
    },
  });
  return {
    ...rest,
    routes: (routes as object[]).map((route) => ({ ...route, timeout_ms: REQUEST_TIMEOUT_MS })),
    services: (services as object[]).map((service) => ({ ...service, max_connections: 4_000 })),
  };
};

/** Reads from /proc what a process has taken, for as long as it runs. */
const watchProcess = (context: TestContext, gateway: GatewayProcess) => {
  const peak = { memoryMb: 0, descriptors: 0 };
  const sample = (): void => {
    if (!gateway.runs) return;
    try {
      const status = readFileSync(`/proc/${gateway.pid}/status`, 'utf8');
      const peakKb = Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1] ?? 0);
      peak.memoryMb = Math.max(peak.memoryMb, Math.round(peakKb / KB_PER_MB));
      peak.descriptors = Math.max(peak.descriptors, readdirSync(`/proc/${gateway.pid}/fd`).length);
    } catch (error) {
      // A process that has ended has no files there, or none that can be read; its end is found by its exit.
      if (!['ENOENT', 'EACCES', 'ESRCH'].includes((error as NodeJS.ErrnoException).code ?? ''))
        throw error;
    }
  };
  const timer = setInterval(sample, SAMPLE_MS);
  context.after(() => clearInterval(timer));
  return { peak, sample };
};

const startProcess = async (
  context: TestContext,
  play: CrowdPlay,
): Promise<{ readonly gateway: GatewayProcess; readonly ends: readonly string[] }> => {
  const { program, folder, onCrowdRequest } = play;
  const store = await startObjectStore(context);
  const runner = await startRunner(context, (request, count) => {
    if (request.line.includes(CROWD_PATH) && onCrowdRequest) onCrowdRequest(request, count);
    else request.socket.write(answer(request, 'done'));
  });
  store.put('servers', 'runner-1', runnerSpec('plain', runner, { slots: 2_000 }));
  store.put('config', 'main', makeLongConfiguration(play));
  const ends: string[] = [];
  const ip = `${loopbackNetwork()}.1`;
  const gateway = new GatewayProcess(context, {
    index: 0,
    ip,
    failureDomain: 'a',
    peerAddress: `${ip}:7600`,
    seeds: [],
    storeAddress: store.address.slice('http://'.length),
    program,
    folder,
    limits: { ...BOUNDS, cpu_share: 1, cores: 1 },
    undisturbed: true,
    onUnexpectedEnd: (detail) => ends.push(detail),
  });
  gateway.start();
  await untilReady({ gateway: { addresses: { readiness: gateway.readiness } } } as GatewayStandIns);
  return { gateway, ends };
};

const askOrdinary = async (gateway: GatewayProcess): Promise<number> => {
  const { status } = await call(gateway.callers, {
    path: ORDINARY_PATH,
    method: 'POST',
    body: 'ordinary',
    headers: { 'x-corianderwick-deadline-ms': String(REQUEST_TIMEOUT_MS) },
  });
  return status;
};

/**
 * Lets a crowd write to a gateway's process until it has written all, or the gateway reads no more of it. Then, with the
 * connections of the crowd still open, asks until one ordinary request is answered.
 *
 * @param context - ends all that is started
 * @param play - the gateway and the crowd
 * @returns what doesn't hold, a line each: the process ended, or took more memory or descriptors than it may
 */
export const playCrowd = async (context: TestContext, play: CrowdPlay): Promise<string[]> => {
  if (process.platform !== 'linux') throw new Error('reads /proc/PID, which only Linux has');
  const { gateway, ends } = await startProcess(context, play);
  const { peak, sample } = watchProcess(context, gateway);
  const answers: Record<number, number> = {};
  const ask = async (): Promise<number> => {
    const status = await askOrdinary(gateway);
    answers[status] = (answers[status] ?? 0) + 1;
    return status;
  };
  sample();
  const idleMb = peak.memoryMb;
  const startedAt = performance.now();
  const crowd = new Crowd(context, gateway.callers, play.crowd);
  context.after(() => {
    const seconds = Math.round((performance.now() - startedAt) / 100) / 10;
    console.log(JSON.stringify({ idleMb, ...peak, answers, ends, seconds }));
  });
  const { enoughAnswers = Infinity } = play;
  const turns = play.crowd.afterwards === undefined ? 0 : TURNS_AFTERWARDS;
  const isSettled = (still: number): boolean =>
    (still >= SETTLED_REQUESTS && crowd.turnsAfterwards >= turns) ||
    (answers[200] ?? 0) >= enoughAnswers;
  for (let still = 0; gateway.runs && !isSettled(still);) {
    const before = crowd.progress;
    await ask();
    still = crowd.progress === before ? still + 1 : 0;
  }
  const { connections } = play.crowd;
  const isAnswered = (): boolean => play.isLegal !== true || crowd.statuses.length >= connections;
  while (gateway.runs && ((await ask()) !== 200 || !isAnswered()));
  sample();
  return [
    ...ends,
    ...(play.isLegal === true ? crowd.statuses : [])
      .filter((status) => status !== 200)
      .map((status) => `a legal request answered with ${status}`),
    ...(peak.memoryMb >= BOUNDS.memory_mb ? [`memory of ${peak.memoryMb} MB`] : []),
    ...(peak.descriptors >= BOUNDS.max_fds ? [`${peak.descriptors} descriptors`] : []),
  ];
};
