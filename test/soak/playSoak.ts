import { setTimeout as wait } from 'node:timers/promises';
import * as http from 'node:http';
import type { Owner } from '../support/Owner.ts';
import { FaultHistory, type Disturbance } from './FaultHistory.ts';
import { planCuts, planLimits, planSoak } from './planSoak.ts';
import { PromiseChecker, type BrokenPromise, type CallerSend } from './PromiseChecker.ts';
import { SoakCallers, type CallerRoute } from './SoakCallers.ts';
import { ADDED_ROUTES_KEPT, addedPath, SOAK_HOST } from './soakConfiguration.ts';
import { SoakFleet, type HeldVersion, type SoakGateway } from './SoakFleet.ts';
import { SoakOperator } from './SoakOperator.ts';

/** One soak. */
export interface SoakOptions {
  readonly seed: number;
  readonly gateways: number;
  /** Time in which faults begin, in ms. */
  readonly faultsMs: number;
  /** Path of the gateway's bundled program. */
  readonly program: string;
  /** Where settings and logs of the processes lie. */
  readonly folder: string;
}

/** What came of it. */
export interface SoakResult {
  readonly broken: readonly BrokenPromise[];
  /** What was done before the first broken promise. */
  readonly ledUp: readonly string[];
  readonly served: number;
  readonly of: number;
  readonly steps: number;
}

const READY_TIMEOUT_MS = 60_000;
const CHECK_MS = 50;
/** The platform's `recover_s`: time after which all is well again. */
const RECOVER_MS = 12_000;
/** Time after that in which requests are counted. */
const FINAL_MS = 4_000;
/** Longest that a request goes on. */
const LAST_ANSWERS_MS = 4_500;
const PROBE_INTERVAL_MS = 250;
const PROBE_TIMEOUT_MS = 1_000;
/** Statuses of a route that a gateway knows, and of one that it doesn't. */
const KNOWN = 200;
const UNKNOWN = 404;
/** A pause of this process that makes every time it took worthless. */
const STALL_MS = 150;
const STALL_CHECK_MS = 20;
/** A pause in which this process sends so little that nothing can be said of what is served. */
const LONG_STALL_MS = 1_000;
const LEADING_UP = 12;

const CALLERS_RATE = { plain: 12, stream: 5, limited: 4 };
const STREAM_TOKENS = [100, 40] as const;
const ROUTES: readonly CallerRoute[] = [
  { path: '/read/', kind: 'safe', rate: CALLERS_RATE.plain },
  { path: '/moved/', kind: 'safe', rate: CALLERS_RATE.plain },
  { path: '/write/', kind: 'unsafe', rate: CALLERS_RATE.plain },
  { path: '/stream/', kind: 'stream', rate: CALLERS_RATE.stream, tokens: STREAM_TOKENS },
  { path: '/resumed/', kind: 'resumableStream', rate: CALLERS_RATE.stream, tokens: STREAM_TOKENS },
  {
    path: '/stream/',
    kind: 'stream',
    rate: CALLERS_RATE.limited,
    tokens: STREAM_TOKENS,
    key: 'key-of-the-limited',
  },
].map((route) => ({
  key: 'key-of-the-office',
  deadlineMs: route.kind === 'safe' || route.kind === 'unsafe' ? 1_500 : 4_000,
  tokens: undefined,
  ...route,
})) as readonly CallerRoute[];

/** Asks a small question; 0 where no answer came. */
const ask = (address: string, path: string, headers: http.OutgoingHttpHeaders = {}) =>
  new Promise<number>((resolve) => {
    const request = http.get(
      `http://${address}${path}`,
      { agent: false, timeout: PROBE_TIMEOUT_MS, headers },
      (response) => {
        response.resume();
        response.on('error', () => {});
        resolve(response.statusCode ?? 0);
      },
    );
    request.on('timeout', () => request.destroy());
    request.on('error', () => resolve(0));
  });

const untilReady = async ({ gateways }: SoakFleet, hasFailed: () => boolean): Promise<void> => {
  const until = performance.now() + READY_TIMEOUT_MS;
  for (const { process } of gateways) {
    while (!hasFailed() && (await ask(process.readiness, '/api/readyz')) !== 200) {
      if (performance.now() > until) throw new Error(`${process.callers} doesn't become ready`);
      await wait(CHECK_MS);
    }
  }
};

/** Asks each gateway again and again whether it knows what the newest version added. */
const watchVersions = (owner: Owner, fleet: SoakFleet, checker: PromiseChecker): void => {
  let asked = 0;
  const probe = async ({ process }: SoakGateway, newest: HeldVersion): Promise<void> => {
    asked += 1;
    const at = performance.now();
    const name = `${process.callers} start ${process.starts}`;
    const send: CallerSend = {
      id: `probe-${asked}`,
      gateway: process.callers,
      kind: 'safe',
      method: 'GET',
      path: `${addedPath(newest.version)}x`,
      body: '',
      key: 'key-of-the-office',
      tokens: undefined,
      deadlineMs: PROBE_TIMEOUT_MS,
      at,
    };
    checker.sent(send);
    const status = await ask(process.callers, send.path, {
      host: SOAK_HOST,
      'x-corianderwick-request-id': send.id,
      'x-corianderwick-key': send.key,
      'x-corianderwick-deadline-ms': send.deadlineMs,
    });
    // A failure shows nothing: a process without a configuration has no other answer either.
    if (status !== KNOWN && status !== UNKNOWN) return;
    // A gateway that answers late may be at a version that has dropped the route.
    const isKept = fleet.versions
      .slice(-ADDED_ROUTES_KEPT)
      .some(({ version }) => version === newest.version);
    if (status === UNKNOWN && !isKept) return;
    const known = status === KNOWN;
    checker.probed({ gateway: process.callers, process: name, known, at, ...newest });
  };
  const timer = setInterval(() => {
    const newest = fleet.versions.at(-1);
    if (newest === undefined) return;
    fleet.gateways.forEach((gateway) => probe(gateway, newest));
  }, PROBE_INTERVAL_MS);
  owner.after(() => clearInterval(timer));
};

/** Notes times in which this process itself didn't get to run. */
const watchStalls = (owner: Owner, history: FaultHistory): void => {
  let last = performance.now();
  const timer = setInterval(() => {
    const now = performance.now();
    if (now - last > STALL_MS) {
      const stall = history.begin({
        kind: 'unplanned',
        what: `this process stood still for ${Math.round(now - last)} ms`,
        gateway: undefined,
        from: last,
      });
      stall.to = now;
    }
    last = now;
  }, STALL_CHECK_MS);
  owner.after(() => clearInterval(timer));
};

const describe = ({ what, gateway, from, to }: Disturbance, startedAt: number): string =>
  [
    `${Math.round(from - startedAt)} ms`,
    to === undefined ? 'still' : `for ${Math.round(to - from)} ms`,
    gateway ?? 'all',
    what,
  ].join('  ');

/**
 * Plays one soak: gateways as processes, callers and runners around them, and faults by a seed. It
 * ends at the first broken promise.
 *
 * @param owner - ends all that was started
 * @param options - seed, size and time
 * @returns broken promises, and what led up to them
 */
export const playSoak = async (owner: Owner, options: SoakOptions): Promise<SoakResult> => {
  const history = new FaultHistory();
  const broken: BrokenPromise[] = [];
  const checker = new PromiseChecker(history, (entry) => broken.push(entry));
  const { seed, gateways, faultsMs } = options;
  const fleet = await SoakFleet.start(owner, { ...options, checker, history });
  const isOver = (): boolean => broken.length > 0;
  await untilReady(fleet, isOver);
  watchStalls(owner, history);
  watchVersions(owner, fleet, checker);
  const callers = new SoakCallers(owner, {
    routes: ROUTES,
    directories: () => fleet.gateways.map(({ process }) => process.directory),
    through: (address) => fleet.through(address),
    fraction: fleet.fraction,
    onSend: (send) => checker.sent(send),
    onEnd: (end) => checker.ended(end),
  });
  callers.start();

  const shape = { seed, faultsMs, gateways };
  const steps = [...planSoak(shape), ...planLimits(shape), ...planCuts(shape)];
  const operator = new SoakOperator(fleet, history);
  const startedAt = performance.now();
  const until = async (isDone: () => boolean): Promise<void> => {
    while (!isOver() && !isDone()) await wait(CHECK_MS);
  };
  let left = steps.length;
  steps.forEach(async ({ at, action }) => {
    await wait(at);
    if (!isOver()) await operator.perform(action);
    left -= 1;
  });
  await until(() => left === 0);
  const calmAt = performance.now();
  // A long pause of this process puts off what can be asked of the gateways.
  const recoveredAt = (): number =>
    Math.max(calmAt, history.lastFaultEndedAt(LONG_STALL_MS)) + RECOVER_MS;
  await until(() => performance.now() > recoveredAt() + FINAL_MS);
  const [from, to] = [recoveredAt(), performance.now()];
  callers.stop();
  await until(() => performance.now() > to + LAST_ANSWERS_MS);
  if (!isOver()) checker.finish(from, to);
  const first = broken[0];
  const ledUp = history
    .before(first?.at ?? performance.now(), LEADING_UP)
    .map((entry) => describe(entry, startedAt));
  return {
    broken: broken.map((entry) => ({ ...entry, at: Math.round(entry.at - startedAt) })),
    ledUp,
    ...checker.served(startedAt, performance.now()),
    steps: steps.length,
  };
};
