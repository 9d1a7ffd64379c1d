import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import {
  EndpointLimits,
  FirstByteTimes,
  HedgePolicy,
  PlainEndpointSelector,
  PlainServiceBalancer,
  RetryBudget,
  estimateHedges,
} from '../../src/coordination/gateway/index.ts';
import type { EndpointRecord } from '../../src/state/gateway/index.ts';
import { Timeline } from './Timeline.ts';

/** A load of a plain service whose endpoints stand still now and then. */
export interface HedgingPlay {
  /** Second copies as a share of the requests; 0 for none. */
  readonly share: number;
  /** Work that comes as a part of what the endpoints can do. */
  readonly load: number;
  readonly durationMs: number;
  readonly seed: number;
}

/** What became of a play, after its first seconds. */
export interface HedgingOutcome {
  readonly p50: number;
  readonly p99: number;
  readonly p999: number;
  /** Second copies as a share of the requests. */
  readonly sent: number;
  /** Those whose answer came first, as a share of those sent. */
  readonly won: number;
  /** Slow requests without a second copy, by the limit. */
  readonly rejected: ReadonlyMap<string, number>;
}

interface Job {
  readonly workMs: number;
  readonly onDone: (now: number) => void;
  endAt: number;
}

interface Gateway {
  readonly balancer: PlainServiceBalancer;
  readonly selector: PlainEndpointSelector;
  readonly policy: HedgePolicy;
  readonly retryBudget: RetryBudget;
  readonly unreported: FirstByteTimes;
}

interface Copy {
  readonly endpoint: StallingEndpoint;
  readonly sentAt: number;
  readonly job: Job;
}

const SERVICE = 'plain';
const GROUP = { service: SERVICE, route: 'read', size: 0 };
const ACCOUNT = { name: 'office', quota: 0 };
const GATEWAYS = 8;
const ENDPOINTS = 4;
const SLOTS = 6;
const MEAN_WORK_MS = 21.4;
const STALL_MS = 300;
const MEAN_STALL_INTERVAL_MS = 20_000;
const REPORT_INTERVAL_MS = 2_000;
const ESTIMATE_INTERVAL_MS = 4_000;
const HALF_LIFE_MS = 15_000;
const WARM_UP_MS = 20_000;

/** An endpoint with slots and a queue that stands still for a time now and then. */
class StallingEndpoint {
  readonly record: EndpointRecord;

  readonly #timeline: Timeline;

  readonly #running = new Set<Job>();

  readonly #queue: Job[] = [];

  #stalledUntil = 0;

  constructor(index: number, timeline: Timeline) {
    this.#timeline = timeline;
    this.record = {
      id: `i-${index}`,
      service: SERVICE,
      address: `127.0.0.1:${index + 1}`,
      failureDomain: 'abcd'.charAt(index % 4),
      version: 'v1',
      slots: SLOTS,
      state: 'ready',
      coldMs: 0,
      bornAt: 0,
    };
  }

  stall(now: number): void {
    this.#stalledUntil = now + STALL_MS;
    this.#running.forEach((running) => {
      const job = running;
      job.endAt += STALL_MS;
    });
  }

  add(job: Job, now: number): void {
    this.#queue.push(job);
    this.#admit(now);
  }

  cancel(job: Job, now: number): void {
    const queued = this.#queue.indexOf(job);
    if (queued >= 0) this.#queue.splice(queued, 1);
    if (this.#running.delete(job)) this.#admit(now);
  }

  #admit(now: number): void {
    while (this.#running.size < SLOTS) {
      const job = this.#queue.shift();
      if (job === undefined) return;
      this.#running.add(job);
      job.endAt = Math.max(now, this.#stalledUntil) + job.workMs;
      this.#awaitEnd(job);
    }
  }

  #awaitEnd(job: Job): void {
    this.#timeline.add(job.endAt, (now) => {
      if (!this.#running.has(job)) return;
      if (job.endAt > now) {
        this.#awaitEnd(job);
        return;
      }
      this.#running.delete(job);
      this.#admit(now);
      job.onDone(now);
    });
  }
}

/**
 * Plays requests of a plain service through several gateways in virtual time.
 *
 * @param play - load and share
 * @returns quantiles of the time to the answer, in ms, and what became of the second copies
 */
export const playHedging = ({ share, load, durationMs, seed }: HedgingPlay): HedgingOutcome => {
  const timeline = new Timeline();
  const random = xoroshiro128plus(seed);
  const exponential = (mean: number): number => -Math.log(1 - uniformFloat64(random)) * mean;
  const endpoints = Array.from(
    { length: ENDPOINTS },
    (_, index) => new StallingEndpoint(index, timeline),
  );
  const records = endpoints.map(({ record }) => record);
  const gateways = Array.from({ length: GATEWAYS }, (): Gateway => {
    const balancer = new PlainServiceBalancer();
    return {
      balancer,
      selector: new PlainEndpointSelector(balancer, new EndpointLimits()),
      policy: new HedgePolicy({ share, windowMs: 10_000 }),
      retryBudget: new RetryBudget({ ratio: 0.2, slack: 20, windowMs: 10_000 }, undefined),
      unreported: new FirstByteTimes(Number.POSITIVE_INFINITY),
    };
  });
  const merged = new FirstByteTimes(HALF_LIFE_MS);
  const latencies: number[] = [];
  const rejected = new Map<string, number>();
  let sent = 0;
  let won = 0;

  const handle = (gateway: Gateway, arrivedAt: number): void => {
    const { balancer, selector, policy, retryBudget, unreported } = gateway;
    const copies: Copy[] = [];
    let isDone = false;
    const send = (record: EndpointRecord, now: number): void => {
      const endpoint = endpoints.find((one) => one.record === record);
      if (endpoint === undefined) return;
      balancer.recordStart(record);
      const copy: Copy = {
        endpoint,
        sentAt: now,
        // eslint-disable-next-line @typescript-eslint/no-use-before-define
        job: { workMs: exponential(MEAN_WORK_MS), endAt: 0, onDone: (at) => finish(copy, at) },
      };
      copies.push(copy);
      endpoint.add(copy.job, now);
    };
    const finish = (winner: Copy, now: number): void => {
      isDone = true;
      const [first] = copies;
      copies.forEach((copy) => {
        const { endpoint, job, sentAt } = copy;
        const outcome = copy === winner ? 'served' : 'cancelled';
        if (copy !== winner) endpoint.cancel(job, now);
        if (copy !== winner && copy === first) balancer.recordSlow(endpoint.record, now - sentAt);
        balancer.recordEnd(endpoint.record, outcome, now - sentAt, now);
      });
      unreported.record(GROUP, now - arrivedAt, now);
      if (arrivedAt < WARM_UP_MS) return;
      if (winner !== first) won += 1;
      latencies.push(now - arrivedAt);
    };
    const onSlow = (now: number): void => {
      if (isDone) return;
      const slow = { group: GROUP, account: ACCOUNT, mayRepeat: true };
      const charge = (): boolean => retryBudget.tryRetry(SERVICE, GATEWAYS, now);
      const limit = policy.tryHedge(slow, charge, now);
      const candidates = { service: SERVICE, records, avoid: [], fraction: uniformFloat64(random) };
      const [first] = copies;
      const selection = first && selector.selectHedge(candidates, first.endpoint.record, now);
      if (arrivedAt >= WARM_UP_MS && limit === undefined) sent += 1;
      if (limit !== undefined) rejected.set(limit, (rejected.get(limit) ?? 0) + 1);
      else if (selection?._tag === 'direct') send(selection.endpoint, now);
    };
    retryBudget.recordRequest(SERVICE, arrivedAt);
    policy.recordRequest(SERVICE, ACCOUNT, arrivedAt);
    const record = balancer.pick(records, [], uniformFloat64(random), arrivedAt);
    if (record === undefined) return;
    send(record, arrivedAt);
    const slowAfterMs = policy.slowAfterMs(GROUP, arrivedAt);
    if (slowAfterMs !== undefined) timeline.add(arrivedAt + slowAfterMs, onSlow);
  };

  const meanIntervalMs = MEAN_WORK_MS / (load * ENDPOINTS * SLOTS);
  const arrive = (now: number): void => {
    const gateway = gateways[Math.floor(uniformFloat64(random) * GATEWAYS)];
    if (gateway !== undefined) handle(gateway, now);
    const next = now + exponential(meanIntervalMs);
    if (next < durationMs) timeline.add(next, arrive);
  };
  const stall = (endpoint: StallingEndpoint, now: number): void => {
    endpoint.stall(now);
    const next = now + STALL_MS + exponential(MEAN_STALL_INTERVAL_MS);
    if (next < durationMs) timeline.add(next, (at) => stall(endpoint, at));
  };
  timeline.add(0, arrive);
  endpoints.forEach((endpoint) =>
    timeline.add(exponential(MEAN_STALL_INTERVAL_MS), (now) => stall(endpoint, now)),
  );
  for (let at = REPORT_INTERVAL_MS; at < durationMs; at += REPORT_INTERVAL_MS)
    timeline.add(at, (now) =>
      gateways.forEach(({ unreported }) => merged.merge(unreported.take(), now)),
    );
  const occupancyOf = (now: number): number =>
    merged.meanInProgress(SERVICE, now) / (ENDPOINTS * SLOTS);
  for (let at = ESTIMATE_INTERVAL_MS; share > 0 && at < durationMs; at += ESTIMATE_INTERVAL_MS)
    timeline.add(at, (now) => {
      const estimates = estimateHedges(merged, share, () => occupancyOf(now), now);
      gateways.forEach(({ policy }) => policy.setEstimates(estimates, now));
    });
  let event = timeline.next();
  while (event !== undefined) {
    event.run(event.at);
    event = timeline.next();
  }
  latencies.sort((a, b) => a - b);
  const quantile = (part: number): number => latencies[Math.floor(part * latencies.length)] ?? 0;
  return {
    p50: quantile(0.5),
    p99: quantile(0.99),
    p999: quantile(0.999),
    sent: sent / latencies.length,
    won: won / Math.max(1, sent),
    rejected,
  };
};
