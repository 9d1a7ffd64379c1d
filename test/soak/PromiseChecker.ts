import type { FaultHistory } from './FaultHistory.ts';
import type { RunnerArrival } from './SoakRunner.ts';
import { eventData, plainAnswer } from './SoakRunner.ts';
import { LimitLedger } from '../support/LimitLedger.ts';
import { WindowSum } from './WindowSum.ts';
import { ACCOUNTS, LIMITED_QUOTA, servicesOf } from './soakConfiguration.ts';

export type RouteKind = 'safe' | 'unsafe' | 'stream' | 'resumableStream';

/** A request as a caller sent it; times in ms on one clock. */
export interface CallerSend {
  readonly id: string;
  /** Caller address of the gateway that it was sent to. */
  readonly gateway: string;
  readonly kind: RouteKind;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly key: string;
  readonly tokens: readonly [number, number] | undefined;
  readonly deadlineMs: number;
  readonly at: number;
}

/** How it ended for the caller. */
export interface CallerEnd {
  readonly id: string;
  /** 0 where no answer came. */
  readonly status: number;
  /** Whether the answer ended as HTTP frames it. */
  readonly complete: boolean;
  readonly body: string;
  /** Whether the caller went away itself. */
  readonly left: boolean;
  readonly retryAfterMs: number | undefined;
  readonly at: number;
}

/** A promise of the platform's pages that was broken. */
export interface BrokenPromise {
  readonly promise: string;
  readonly detail: string;
  readonly at: number;
}

/** What the promises are measured against, as the platform states it. */
export const BOUNDS = {
  configurationMs: 2_000,
  drainMs: 2_000,
  retryRatio: 0.2,
  retrySlack: 20,
  retryWindowMs: 10_000,
  quotaWindowMs: 8_000,
  quotaOvershoot: 0.1,
  quotaSlack: 1_000,
  /** Time after a caller has left in which its request may still be worked on. */
  leftMs: 500,
  /** Part of the requests of callers that left that may be worked on for longer. */
  leftShare: 0.25,
  /** Requests after which a share is judged. */
  leftLeast: 8,
  /** How much more time an endpoint may be told than is left. */
  deadlineSlackMs: 500,
  deadlineMost: 20,
  /** Part of the requests that are served once nothing is harmed any more. */
  servedAfterwards: 0.9,
} as const;

/** Statuses that promise that a request hasn't run and won't. */
const PROMISES: readonly number[] = [408, 421, 429, 503];
const SERVED = 200;

interface Seen {
  readonly send: CallerSend;
  readonly runs: RunnerArrival[];
  arrivals: number;
  end: CallerEnd | undefined;
}

const sumOf = (sums: Map<string, WindowSum>, service: string): WindowSum => {
  const held = sums.get(service) ?? new WindowSum(BOUNDS.retryWindowMs);
  sums.set(service, held);
  return held;
};

/** Checks the promises on what callers and runners see, while it goes on. */
export class PromiseChecker {
  readonly #history: FaultHistory;

  readonly #onBroken: (broken: BrokenPromise) => void;

  readonly #requests = new Map<string, Seen>();

  readonly #drainingSince = new Map<string, number>();

  readonly #knownVersions = new Map<string, Set<number>>();

  readonly #repeats = new Map<string, WindowSum>();

  readonly #asked = new Map<string, WindowSum>();

  /** What runners stated of their limits, and got. */
  readonly #limits = new Map<string, LimitLedger>();

  readonly #limitedTokens = new WindowSum(BOUNDS.quotaWindowMs);

  #workedOnAfterLeaving = 0;

  #leftWhileRunning = 0;

  #overlongDeadlines = 0;

  constructor(history: FaultHistory, onBroken: (broken: BrokenPromise) => void) {
    this.#history = history;
    this.#onBroken = onBroken;
  }

  sent(send: CallerSend): void {
    this.#requests.set(send.id, { send, runs: [], arrivals: 0, end: undefined });
    servicesOf(send.path).forEach((service) => sumOf(this.#asked, service).add(send.at, 1));
  }

  /** Notes a request that reached a runner, whether it runs or not. */
  arrived(arrival: RunnerArrival): void {
    const { requestId, runner, service, at } = arrival;
    const seen = this.#requests.get(requestId);
    if (seen === undefined) {
      const { method, path } = arrival;
      this.#break(
        'UNASKED',
        `no caller sent "${requestId}" (${method} ${path}), which reached ${runner}`,
        at,
      );
      return;
    }
    seen.arrivals += 1;
    this.#limits.get(runner)?.arrived(seen.send.gateway, at);
    this.#checkUnchanged(seen.send, arrival);
    this.#checkDraining(seen.send, arrival);
    this.#checkDeadline(seen, arrival);
    this.#checkBudget(service, seen, at);
  }

  /** Notes that a runner begins to work. */
  ran(arrival: RunnerArrival): void {
    const seen = this.#requests.get(arrival.requestId);
    if (seen === undefined) return;
    const { send, runs, end } = seen;
    runs.push(arrival);
    const mayRunTwice = send.kind === 'safe' || send.kind === 'resumableStream';
    if (!mayRunTwice && runs.length > 1) {
      const where = runs.map(({ runner }) => runner).join(' and ');
      this.#break('TWICE', `${send.id} (${send.kind}) ran at ${where}`, arrival.at);
    }
    if (end !== undefined && !mayRunTwice && PROMISES.includes(end.status)) {
      this.#break('REFUSED', `${send.id} was refused (${end.status}) and runs`, arrival.at);
    }
    if (runs.length > 1 || ACCOUNTS[send.key] !== 'limited' || send.tokens === undefined) return;
    // What counts in a window was both sent and runs in it.
    this.#limitedTokens.add(send.at, send.tokens[0] + send.tokens[1]);
    this.#checkQuota(arrival.at);
  }

  /** Notes that the answer to a request states how many requests a second its runner accepts. */
  limitStated({ requestId, runner }: RunnerArrival, requestsPerSecond: number, at: number): void {
    const ledger = this.#limits.get(runner) ?? new LimitLedger();
    this.#limits.set(runner, ledger);
    ledger.stated(requestsPerSecond, at);
    const gateway = this.#requests.get(requestId)?.send.gateway;
    if (gateway !== undefined) ledger.told(gateway, at);
  }

  /** Notes that a run is over, by itself or because its connection was closed. */
  runOver({ requestId }: RunnerArrival, at: number): void {
    const seen = this.#requests.get(requestId);
    if (seen?.end === undefined || !seen.end.left) return;
    const { send, end } = seen;
    if (send.kind === 'unsafe' || !this.#history.isCalm(send.gateway, send.at, at)) return;
    this.#leftWhileRunning += 1;
    if (at - end.at > BOUNDS.leftMs) this.#workedOnAfterLeaving += 1;
    if (
      this.#leftWhileRunning >= BOUNDS.leftLeast &&
      this.#workedOnAfterLeaving > this.#leftWhileRunning * BOUNDS.leftShare
    ) {
      this.#break(
        'GONE',
        `${this.#workedOnAfterLeaving} of ${this.#leftWhileRunning} requests were worked on after their callers had left`,
        at,
      );
    }
  }

  /** Notes how a request ended for its caller. */
  ended(end: CallerEnd): void {
    const seen = this.#requests.get(end.id);
    if (seen === undefined) return;
    seen.end = end;
    const { send, runs } = seen;
    const isRepeatable = send.kind === 'safe' || send.kind === 'resumableStream';
    if (PROMISES.includes(end.status) && runs.length > 0 && !isRepeatable) {
      this.#break('REFUSED', `${send.id} was refused (${end.status}) and has run`, end.at);
    }
    if (end.status === SERVED && end.complete) this.#checkOwnAnswer(seen, end);
    if ([401, 403, 404].includes(end.status)) {
      this.#break('DENIED', `${send.id} to ${send.path} got ${end.status}`, end.at);
    }
  }

  /** Notes that the store took a runner's word that it leaves. */
  draining(runner: string, at: number): void {
    this.#drainingSince.set(runner, at);
  }

  /**
   * Notes whether a gateway knows the route that a version added.
   *
   * @param probe - the process asked, when, and when the store took the version
   */
  probed(probe: {
    readonly gateway: string;
    readonly process: string;
    readonly version: number;
    readonly known: boolean;
    readonly acknowledgedAt: number;
    readonly at: number;
  }): void {
    const known = this.#knownVersions.get(probe.process) ?? new Set();
    this.#knownVersions.set(probe.process, known);
    if (probe.known) {
      known.add(probe.version);
      return;
    }
    const { gateway, version, acknowledgedAt, at } = probe;
    if (known.has(version)) {
      this.#break('CONFIG', `${gateway} knew version ${version} and went back behind it`, at);
    }
    const isLate = at > acknowledgedAt + BOUNDS.configurationMs;
    if (isLate && this.#history.isCalm(gateway, acknowledgedAt, at)) {
      const lateMs = Math.round(at - acknowledgedAt);
      this.#break('CONFIG', `${gateway} lacks version ${version} after ${lateMs} ms`, at);
    }
  }

  /** Notes a gateway process that ended though nobody asked it to. */
  processEnded(detail: string, at: number): void {
    this.#break('ENDED', detail, at);
  }

  /** Tells how many of the requests sent between two times were served, and of how many. */
  served(from: number, to: number): { readonly served: number; readonly of: number } {
    const owed = [...this.#requests.values()].filter(
      ({ send, end }) =>
        end !== undefined &&
        !end.left &&
        send.at >= from &&
        send.at <= to &&
        ACCOUNTS[send.key] !== 'limited',
    );
    const served = owed.filter(({ end }) => end?.status === SERVED && end.complete);
    return { served: served.length, of: owed.length };
  }

  /** Checks what can be told only at the end: that all is well again once nothing is harmed. */
  finish(from: number, to: number): void {
    this.#limits.forEach((ledger, runner) => {
      const excess = ledger.worstExcess(
        ledger.lastStatedAt,
        (gateway, at) => !this.#history.isCalm(gateway, at, at),
      );
      if (excess > 0)
        this.#break('LIMIT', `${runner} got ${excess} requests beyond its limit in 4 s`, to);
    });
    const { served, of } = this.served(from, to);
    if (of === 0 || served < of * BOUNDS.servedAfterwards) {
      this.#break('RECOVER', `${served} of ${of} requests were served after the faults`, to);
    }
  }

  #checkUnchanged(send: CallerSend, { headers, method, path, body, at }: RunnerArrival): void {
    const wrong = (what: string): void =>
      this.#break('UNASKED', `${send.id} reached a runner with ${what}`, at);
    if (method !== send.method || path !== send.path) wrong(`${method} ${path}`);
    if (body !== send.body) wrong('another body');
    if (headers['x-corianderwick-tenant'] !== ACCOUNTS[send.key]) wrong('another account');
    if (headers['x-corianderwick-key'] !== undefined) wrong("its caller's key");
    if (headers['x-corianderwick-pin-ms'] !== undefined) wrong('a pin that its caller set');
    if (headers['x-corianderwick-token-count'] !== send.tokens?.join(',')) wrong('another size');
  }

  #checkDraining(send: CallerSend, { runner, at }: RunnerArrival): void {
    const since = this.#drainingSince.get(runner);
    if (since === undefined || at <= since + BOUNDS.drainMs) return;
    if (!this.#history.isCalm(send.gateway, since, at)) return;
    const lateMs = Math.round(at - since);
    this.#break('DRAIN', `${send.id} reached ${runner} ${lateMs} ms after it left`, at);
  }

  #checkDeadline({ send }: Seen, { headers, at }: RunnerArrival): void {
    if (send.kind !== 'safe' && send.kind !== 'unsafe') return;
    if (!this.#history.isCalm(send.gateway, send.at, at)) return;
    const told = Number(headers['x-corianderwick-deadline-ms'] ?? Number.POSITIVE_INFINITY);
    if (told <= send.deadlineMs + BOUNDS.deadlineSlackMs) return;
    this.#overlongDeadlines += 1;
    if (this.#overlongDeadlines > BOUNDS.deadlineMost) {
      this.#break('BUDGET', `${send.id}: a runner was told ${told} ms, more than is left`, at);
    }
  }

  #checkBudget(service: string, { send, arrivals }: Seen, at: number): void {
    const repeats = sumOf(this.#repeats, service);
    if (arrivals === 1) return;
    repeats.add(at, 1);
    const asked = sumOf(this.#asked, service).most(at);
    const most = BOUNDS.retryRatio * asked + BOUNDS.retrySlack;
    const sum = repeats.sum(at);
    if (sum > most) {
      this.#break('BUDGET', `${sum} repeats at ${service} where ${most} may be: ${send.id}`, at);
    }
  }

  #checkQuota(at: number): void {
    const { ratePerS, burst } = LIMITED_QUOTA;
    const perWindow = (ratePerS * BOUNDS.quotaWindowMs) / 1_000 + burst;
    const most = perWindow * (1 + BOUNDS.quotaOvershoot) + BOUNDS.quotaSlack;
    const sum = this.#limitedTokens.sum(at);
    if (sum > most) this.#break('QUOTA', `${sum} tokens in a window where ${most} may be`, at);
  }

  #checkOwnAnswer({ send }: Seen, { body, at }: CallerEnd): void {
    if (send.kind === 'safe' || send.kind === 'unsafe') {
      if (body !== plainAnswer(send.id, send.method, send.path, send.body)) {
        this.#break('MIXED', `${send.id} got "${body.slice(0, 80)}"`, at);
      }
      return;
    }
    const data = body
      .split('\n\n')
      .filter((event) => event !== '')
      .map((event) => /^data: (.*)$/m.exec(event)?.[1]);
    const count = data.length;
    const wrong = data.findIndex((text, index) => text !== eventData(send.id, index + 1, count));
    if (count === 0 || wrong >= 0) {
      this.#break('ORDER', `${send.id}: event ${wrong + 1} of ${count} is "${data[wrong]}"`, at);
    }
  }

  #break(promise: string, detail: string, at: number): void {
    this.#onBroken({ promise, detail, at });
  }
}
