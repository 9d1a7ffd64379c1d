import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { LoadReport } from '../../../src/protocol/engine/engineReports.ts';
import { readBody, sendJson } from '../listen.ts';
import { Answer } from './Answer.ts';
import type { AnswerFault } from './Answer.ts';
import { Batch } from './Batch.ts';
import { newRun } from './Run.ts';
import type { Run } from './Run.ts';
import { NO_FAULTS } from './EngineFaults.ts';
import type { EngineFaults, VersionFault } from './EngineFaults.ts';
import type { EngineStats, VersionStats } from './EngineStats.ts';
import { PrefixCache } from './PrefixCache.ts';
import { promptOf } from './promptOf.ts';
import type { Prompt } from './promptOf.ts';
import type { EngineOptions } from './startEngine.ts';
import { VersionTable } from './VersionTable.ts';

const STEP_MS = 5;
const KEPT_REPORTS = 400;
const BUSY_SHARE = 0.5;
const DEFAULT_SLOW_FACTOR = 5;
const STREAM_PATH = /^\/v1\/streams\/([^/]+)(\/suspend)?$/;

const KEPT_RUNS = 4_000;

interface TimedReport {
  readonly at: number;
  readonly report: Omit<LoadReport, 'ageMs'>;
}

const headerOf = (request: IncomingMessage, name: string): string =>
  String(request.headers[name] ?? '');

const slownessOf = (fault: VersionFault | undefined): number => {
  const slow = fault?.kind === 'slow' || fault?.kind === 'slow_under_load';
  return slow ? (fault?.factor ?? DEFAULT_SLOW_FACTOR) : 1;
};

/** An engine's HTTP face over its batch. */
export class EngineServer {
  private readonly faults: EngineFaults;

  private readonly batch: Batch;

  private readonly cache: PrefixCache;

  private readonly versions: VersionTable;

  private readonly runs = new Map<string, Run>();

  private readonly answers = new Map<Run, Answer>();

  private readonly counts = new Map<string, number>();

  private readonly sockets = new Set<Socket>();

  private readonly silenced = new WeakSet<Socket>();

  private reports: TimedReport[] = [];

  private fencing = 0;

  private timer: NodeJS.Timeout | undefined;

  private readonly totals = {
    requests: 0,
    completed: 0,
    cancelled: 0,
    failed: 0,
    suspended: 0,
    resumed: 0,
    swallowed: 0,
    wastedPrefillTokens: 0,
    outputTokens: 0,
    orders: 0,
    staleOrders: { accepted: 0, refused: 0 },
  };

  constructor(private readonly options: EngineOptions) {
    this.faults = { ...NO_FAULTS, ...options.faults };
    this.cache = new PrefixCache(options.cacheBlocks ?? 2_000);
    this.versions = new VersionTable(options.versions ?? ['v1'], options.loadMs ?? 500, (version) =>
      this.faultOf(version),
    );
    this.batch = new Batch(
      {
        slots: options.slots ?? 8,
        prefillTokensPerSecond: options.prefillTokensPerSecond ?? 2_000,
        decodeTokensPerSecond: options.decodeTokensPerSecond ?? 40,
        decodeSlowdown: options.decodeSlowdown ?? 0.05,
        chunkIntervalMs: options.chunkIntervalMs ?? 25,
        orphanMs: options.orphanMs ?? 10_000,
      },
      this.cache,
      {
        onTokens: (run) => this.answers.get(run)?.tell(),
        onEnd: (run) => this.complete(run),
        onAbandoned: (run) => this.drop(run, 'cancelled'),
      },
    );
  }

  setFaults(faults: Partial<EngineFaults>): void {
    Object.assign(this.faults, faults);
  }

  onConnection(socket: Socket): void {
    if (this.faults.refuse) socket.destroy();
    this.sockets.add(socket);
    socket.on('close', () => this.sockets.delete(socket));
  }

  silenceOpenConnections(): void {
    this.sockets.forEach((socket) => this.silenced.add(socket));
  }

  arrivals(id: string): number {
    return this.counts.get(id) ?? 0;
  }

  stop(): void {
    clearInterval(this.timer);
  }

  stats(): EngineStats {
    return {
      ...this.totals,
      prefillTokens: Math.round(this.batch.prefillDone),
      wastedPrefillTokens: Math.round(this.totals.wastedPrefillTokens),
      doubled: [...this.counts].filter(([, count]) => count > 1).map(([id]) => id),
      versions: this.versions.stats,
    };
  }

  async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(request);
    if (this.silenced.has(request.socket)) {
      if (request.method === 'POST') this.totals.swallowed += 1;
      return;
    }
    this.delayed(request.socket)(() => this.route(request, response, body));
  }

  private route(request: IncomingMessage, response: ServerResponse, body: string): void {
    const url = new URL(request.url ?? '/', 'http://engine');
    const stream = STREAM_PATH.exec(url.pathname);
    if (url.pathname === '/v1/chat/completions') this.start(request, response, body);
    else if (stream !== null) this.routeStream(request, response, stream);
    else if (url.pathname === '/v1/load') sendJson(response, 200, this.report(performance.now()));
    else if (url.pathname === '/v1/cache/events') this.sendCacheEvents(url, response);
    else if (url.pathname === '/v1/orders') this.order(response, body);
    else if (url.pathname === '/v1/versions') {
      sendJson(response, 200, { versions: this.versions.list() });
    } else sendJson(response, 404, { error: { code: 'not_found', message: url.pathname } });
  }

  private sendCacheEvents(url: URL, response: ServerResponse): void {
    const after = Number(url.searchParams.get('after') ?? 0);
    const { cacheLagMs, cacheGapShare } = this.faults;
    const events = this.cache.eventsAfter(after, performance.now(), cacheLagMs, cacheGapShare);
    sendJson(response, 200, { events });
  }

  /** Messages of one connection take the network's delay and stay in order; on a silent one they vanish. */
  private delayed(socket: Socket): (send: () => void) => void {
    const guarded = (send: () => void) => {
      if (!this.silenced.has(socket) && !socket.destroyed) send();
    };
    return (send) => {
      const delay = this.faults.networkDelayMs;
      if (delay === 0) guarded(send);
      else setTimeout(() => guarded(send), delay);
    };
  }

  private start(request: IncomingMessage, response: ServerResponse, body: string): void {
    const id = headerOf(request, 'x-request-id');
    const version = headerOf(request, 'x-model-version') || (this.options.versions?.[0] ?? 'v1');
    const prompt = promptOf(body);
    if (prompt === undefined || id === '') {
      sendJson(response, 400, { error: { code: 'bad_request', message: 'no chat request' } });
      return;
    }
    if (!this.versions.ready(version)) {
      const error = { code: 'version_not_ready', message: version };
      sendJson(response, 404, { error }, { 'x-request-id': id });
      return;
    }
    this.counts.set(id, this.arrivals(id) + 1);
    this.totals.requests += 1;
    const stats = this.versions.statsOf(version);
    const at = Date.now();
    stats.requests += 1;
    stats.lastRequestAt = at;
    stats.firstRequestAt ||= at;
    this.run(response, id, version, prompt, stats);
  }

  private run(
    response: ServerResponse,
    id: string,
    version: string,
    prompt: Prompt,
    stats: VersionStats,
  ): void {
    const fault = this.faultOf(version, prompt.route);
    const strikes = this.strikes(fault, stats);
    if (strikes) this.versions.noteFault(version);
    const run = newRun(id, version, prompt, strikes ? slownessOf(fault) : 1);
    const answerFault = strikes && fault?.kind === 'cut' ? 'cut' : this.nextAnswerFault();
    const answer = this.attach(run, response, 0, answerFault);
    if (strikes && (fault?.kind === 'fail' || fault?.kind === 'fail_after')) {
      this.totals.failed += 1;
      answer.fail(500);
      return;
    }
    this.runs.set(id, run);
    const now = performance.now();
    if (this.options.instant === true) {
      this.batch.running.add(run);
      run.state = 'running';
      this.batch.complete(run, now);
    } else {
      this.batch.add(run, now);
      this.wake();
    }
  }

  private faultOf(version: string, route?: string): VersionFault | undefined {
    const fault = this.faults.versions[version];
    if (fault === undefined) return undefined;
    const here =
      fault.failureDomain === undefined || fault.failureDomain === this.options.failureDomain;
    return here && (fault.route === undefined || fault.route === route) ? fault : undefined;
  }

  private strikes(fault: VersionFault | undefined, { requests }: VersionStats): boolean {
    if (fault === undefined || fault.kind === 'crash_on_load') return false;
    if (fault.kind === 'fail_after') return requests > (fault.after ?? 50);
    if (fault.kind === 'slow_under_load') {
      return this.batch.running.size >= (this.options.slots ?? 8) * BUSY_SHARE;
    }
    return true;
  }

  private nextAnswerFault(): AnswerFault {
    const { faults } = this;
    if (faults.silenceNext > 0) {
      faults.silenceNext -= 1;
      return 'silence';
    }
    if (faults.crossNext > 0) {
      faults.crossNext -= 1;
      return 'cross';
    }
    if (faults.cutNext > 0) {
      faults.cutNext -= 1;
      return 'cut';
    }
    if (faults.truncateNext > 0) {
      faults.truncateNext -= 1;
      return 'truncate';
    }
    return undefined;
  }

  private attach(run: Run, response: ServerResponse, after: number, fault: AnswerFault): Answer {
    const { socket } = response;
    const delayed = socket === null ? (send: () => void) => send() : this.delayed(socket);
    const silence = () => {
      if (socket !== null) this.silenced.add(socket);
    };
    const answer = new Answer(response, run, after, fault, delayed, silence);
    this.answers.set(run, answer);
    Object.assign(run, { orphanedAt: undefined });
    response.on('close', () => {
      if (this.answers.get(run) !== answer) return;
      this.answers.delete(run);
      Object.assign(run, { orphanedAt: performance.now() });
    });
    if (fault === 'cut') {
      // An engine that breaks an answer off has lost the run: it can't be taken up again.
      response.on('close', () => this.drop(run, 'failed'));
    }
    return answer;
  }

  private complete(run: Run): void {
    this.totals.completed += 1;
    this.totals.outputTokens += run.told;
    this.answers.get(run)?.end();
    if (this.runs.size > KEPT_RUNS) this.forgetOldRuns();
  }

  /** Whole answers are kept for a while only, for connections that take them up again. */
  private forgetOldRuns(): void {
    [...this.runs.values()]
      .slice(0, KEPT_RUNS / 2)
      .filter(({ state }) => state === 'completed')
      .forEach(({ id }) => this.runs.delete(id));
  }

  private drop(run: Run, state: 'cancelled' | 'failed'): void {
    if (run.state === 'cancelled' || run.state === 'failed') return;
    const completed = run.state === 'completed';
    this.batch.remove(run, state);
    if (this.runs.get(run.id) === run) this.runs.delete(run.id);
    if (completed) this.totals.completed -= 1;
    this.totals[state] += 1;
    this.totals.wastedPrefillTokens +=
      run.promptTokens - run.cachedTokens - Math.max(0, run.prefillLeft);
  }

  private routeStream(
    request: IncomingMessage,
    response: ServerResponse,
    [, id = '', suspend]: readonly string[],
  ): void {
    const run = this.runs.get(id);
    if (run === undefined) sendJson(response, 404, { error: { code: 'unknown_request' } });
    else if (request.method === 'DELETE') {
      this.answers.get(run)?.cut();
      if (run.state !== 'completed') this.drop(run, 'cancelled');
      sendJson(response, 200, {});
    } else if (suspend !== undefined) this.suspend(run, response);
    else this.resume(run, request, response);
  }

  private suspend(run: Run, response: ServerResponse): void {
    if (run.state === 'running' || run.state === 'waiting') {
      this.totals.suspended += 1;
      this.batch.remove(run, 'suspended');
      const answer = this.answers.get(run);
      this.answers.delete(run);
      answer?.cut();
    }
    sendJson(response, 200, { state: run.state });
  }

  private resume(run: Run, request: IncomingMessage, response: ServerResponse): void {
    this.totals.resumed += 1;
    const after = Number(request.headers['last-event-id'] ?? 0);
    const answer = this.attach(run, response, Math.min(after, run.chunks.length), undefined);
    if (run.state === 'completed') answer.end();
    else {
      answer.tell();
      if (run.state === 'suspended') {
        Object.assign(run, { state: 'waiting' });
        this.batch.add(run, performance.now());
        this.wake();
      }
    }
  }

  private order(response: ServerResponse, body: string): void {
    const { fencing, command } = JSON.parse(body);
    this.totals.orders += 1;
    if (fencing < this.fencing) {
      const outcome = this.options.checksFencing === true ? 'refused' : 'accepted';
      this.totals.staleOrders[outcome] += 1;
      if (outcome === 'refused') {
        sendJson(response, 409, { fencing: this.fencing });
        return;
      }
    }
    this.fencing = Math.max(this.fencing, fencing);
    if (command._tag === 'loadVersion') this.versions.load(command.version);
    if (command._tag === 'unloadVersion') this.versions.unload(command.version);
    sendJson(response, 200, { versions: this.versions.list() });
  }

  private report(now: number): LoadReport {
    const shown = this.reports.findLast(({ at }) => at <= now - this.faults.loadLagMs);
    const report = shown?.report ?? { running: 0, waiting: 0, cacheUsed: 0 };
    return { ageMs: this.faults.loadLagMs, ...report };
  }

  private wake(): void {
    if (this.timer !== undefined) return;
    this.timer = setInterval(() => this.step(performance.now()), STEP_MS);
  }

  private step(now: number): void {
    this.batch.step(now, this.faults.speedFactor * (this.options.timeScale ?? 1));
    const report = {
      running: this.batch.running.size,
      waiting: this.batch.waiting.length,
      cacheUsed: this.cache.used,
    };
    this.reports.push({ at: now, report });
    if (this.reports.length > KEPT_REPORTS * 2) this.reports = this.reports.slice(-KEPT_REPORTS);
    if (this.batch.idle) {
      clearInterval(this.timer);
      this.timer = undefined;
    }
  }
}
