import { setTimeout as wait } from 'node:timers/promises';
import * as http from 'node:http';
import type { Owner } from '../support/Owner.ts';
import { FaultHistory } from './FaultHistory.ts';
import type { LinkCondition } from './Lane.ts';
import { planSoak, type SoakAction, type SoakStep } from './planSoak.ts';
import { PromiseChecker, type BrokenPromise, type CallerSend } from './PromiseChecker.ts';
import { SoakCallers, type CallerRoute } from './SoakCallers.ts';
import { addedPath, SOAK_HOST } from './soakConfiguration.ts';
import {
  SoakFleet,
  type HeldVersion,
  type SoakGateway,
  type SoakRunnerPlace,
} from './SoakFleet.ts';
import type { StoreCondition } from '../gateway/startObjectStore.ts';

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
  /** What is done instead of what the seed plans. */
  readonly steps?: readonly SoakStep[];
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
const READY_CHECK_MS = 50;
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
const LEADING_UP = 12;
const SLOW_STORE_MS = 700;
const DELAY_MS = 120;
/** How often gateways look whether their settings file has changed. */
const SETTINGS_CHECK_MS = 2_000;

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

const linkCondition = (how: Extract<SoakAction, { _tag: 'harmLink' }>['how']): LinkCondition => {
  switch (how) {
    case 'delay':
      return { _tag: 'delayed', ms: DELAY_MS };
    case 'silence':
      return { _tag: 'silent', direction: 'both' };
    case 'silenceToServer':
      return { _tag: 'silent', direction: 'toServer' };
    case 'silenceToCaller':
      return { _tag: 'silent', direction: 'toCaller' };
    case 'reset':
      return { _tag: 'reset' };
    default:
      return how satisfies never;
  }
};

const storeCondition = (how: Extract<SoakAction, { _tag: 'harmStore' }>['how']): StoreCondition =>
  how === 'slow' ? { _tag: 'slow', ms: SLOW_STORE_MS } : { _tag: how };

/** Does to a fleet what a plan says. */
class SoakOperator {
  readonly #fleet: SoakFleet;

  readonly #history: FaultHistory;

  constructor(fleet: SoakFleet, history: FaultHistory) {
    this.#fleet = fleet;
    this.#history = history;
  }

  /** Does one thing, and resolves when it is over. */
  async perform(action: SoakAction): Promise<void> {
    switch (action._tag) {
      case 'killGateways':
        await Promise.all(
          [...new Set(action.gateways)].map((index) => this.#kill(index, action.downMs)),
        );
        return;
      case 'stopGateway':
        await this.#stop(action.gateway, action.downMs);
        return;
      case 'pauseGateway': {
        const gateway = this.#gateway(action.gateway);
        await this.#during('unplanned', 'paused', gateway, async () => {
          gateway.process.pause();
          await wait(action.forMs);
          gateway.process.resume();
        });
        return;
      }
      case 'changeSettings': {
        const gateway = this.#gateway(action.gateway);
        await this.#during('planned', 'settings changed', gateway, async () => {
          gateway.process.writeSettings(gateway.process.starts + 1);
          if (action.signalled) gateway.process.hangUp();
          await wait(SETTINGS_CHECK_MS);
        });
        return;
      }
      case 'harmLink':
        await this.#harmLink(action);
        return;
      case 'harmStore':
        await this.#during('unplanned', `store ${action.how}`, undefined, async () => {
          this.#fleet.store.setCondition(storeCondition(action.how));
          await wait(action.forMs);
          this.#fleet.store.setCondition({ _tag: 'sound' });
        });
        return;
      case 'compactStore':
        this.#fleet.store.compact();
        return;
      case 'crashRunner':
        await this.#withRunner(action.runner, 'crashed', (place) =>
          this.#fleet.crash(place, action.downMs, wait),
        );
        return;
      case 'replaceRunner': {
        const place = this.#place(action.runner);
        if (place.busy) return;
        place.busy = true;
        await this.#during('planned', `${place.name} replaced`, undefined, () =>
          this.#fleet.replace(place, wait),
        );
        place.busy = false;
        return;
      }
      case 'harmRunner':
        await this.#withRunner(action.runner, action.how, async ({ runner }) => {
          runner.setHarm(action.how);
          await wait(action.forMs);
          runner.setHarm(undefined);
        });
        return;
      case 'changeConfiguration':
        this.#fleet.changeConfiguration();
        return;
      default:
        action satisfies never;
    }
  }

  #gateway(index: number): SoakGateway {
    const { gateways } = this.#fleet;
    return gateways[index % gateways.length] as SoakGateway;
  }

  #place(index: number): SoakRunnerPlace {
    const { runners } = this.#fleet;
    return runners[index % runners.length] as SoakRunnerPlace;
  }

  async #kill(index: number, downMs: number): Promise<void> {
    const gateway = this.#gateway(index);
    if (!gateway.process.runs) return;
    await this.#during('unplanned', 'killed', gateway, async () => {
      await gateway.process.kill();
      await wait(downMs);
      gateway.process.start();
    });
  }

  async #stop(index: number, downMs: number): Promise<void> {
    const gateway = this.#gateway(index);
    if (!gateway.process.runs) return;
    await this.#during('planned', 'stopped', gateway, () => gateway.process.stop());
    await this.#during('unplanned', 'down', gateway, async () => {
      await wait(downMs);
      gateway.process.start();
    });
  }

  async #harmLink({
    link,
    index,
    how,
    forMs,
  }: Extract<SoakAction, { _tag: 'harmLink' }>): Promise<void> {
    const gateway = this.#gateway(index);
    const harmed = {
      store: gateway.storeLink,
      peers: gateway.peerLink,
      callers: gateway.callerLink,
      runner: this.#place(index).link,
    }[link];
    // A lost runner, or a peer that isn't reached, shows at every gateway.
    const concerned = link === 'store' || link === 'callers' ? gateway : undefined;
    await this.#during('unplanned', `${link} link ${how}`, concerned, async () => {
      harmed.setCondition(linkCondition(how));
      await wait(forMs);
      harmed.setCondition({ _tag: 'clear' });
    });
  }

  async #withRunner(
    index: number,
    what: string,
    harm: (place: SoakRunnerPlace) => Promise<void>,
  ): Promise<void> {
    const place = this.#place(index);
    if (place.busy) return;
    place.busy = true;
    await this.#during('unplanned', `${place.name} ${what}`, undefined, () => harm(place));
    place.busy = false;
  }

  async #during(
    kind: 'planned' | 'unplanned',
    what: string,
    gateway: SoakGateway | undefined,
    work: () => Promise<void>,
  ): Promise<void> {
    const entry = this.#history.begin({
      kind,
      what,
      gateway: gateway?.process.callers,
      from: performance.now(),
    });
    await work();
    entry.to = performance.now();
  }
}

const untilReady = async ({ gateways }: SoakFleet, hasFailed: () => boolean): Promise<void> => {
  const until = performance.now() + READY_TIMEOUT_MS;
  for (const { process } of gateways) {
    while (!hasFailed() && (await ask(process.readiness, '/api/readyz')) !== 200) {
      if (performance.now() > until) throw new Error(`${process.callers} doesn't become ready`);
      await wait(READY_CHECK_MS);
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

  const steps = options.steps ?? planSoak({ seed, faultsMs, gateways });
  const operator = new SoakOperator(fleet, history);
  const startedAt = performance.now();
  const underWay = steps.map(async ({ at, action }) => {
    await wait(at);
    if (!isOver()) await operator.perform(action);
  });
  let allDone = false;
  const done = Promise.all(underWay).then(() => {
    allDone = true;
  });
  while (!isOver() && !allDone) await wait(READY_CHECK_MS);
  await Promise.race([done, wait(isOver() ? 0 : Number(faultsMs))]);
  const calmAt = performance.now();
  while (!isOver() && performance.now() < calmAt + RECOVER_MS + FINAL_MS)
    await wait(READY_CHECK_MS);
  callers.stop();
  if (!isOver()) {
    await wait(LAST_ANSWERS_MS);
    checker.finish(calmAt + RECOVER_MS, calmAt + RECOVER_MS + FINAL_MS);
  }
  const first = broken[0];
  const ledUp = history
    .before(first?.at ?? performance.now(), LEADING_UP)
    .map(({ what, gateway, from, to }) =>
      [
        `${Math.round(from - startedAt)} ms`,
        to === undefined ? 'still' : `for ${Math.round(to - from)} ms`,
        gateway ?? 'all',
        what,
      ].join('  '),
    );
  return {
    broken: broken.map((entry) => ({ ...entry, at: Math.round(entry.at - startedAt) })),
    ledUp,
    ...checker.served(startedAt, performance.now()),
    steps: steps.length,
  };
};
