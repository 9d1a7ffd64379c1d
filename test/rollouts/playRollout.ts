import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { RolloutDriver, RolloutGate } from '../../src/coordination/gateway/index.ts';
import { VersionTraffic } from '../../src/app/gateway/rollouts/VersionTraffic.ts';
import type { EndpointRecord, RolloutState } from '../../src/state/gateway/index.ts';
import type { SimulatedFault, SimulatedService } from './simulateEvidence.ts';

/** A fault that may show only where an endpoint has many requests at once. */
export interface PlayedFault extends SimulatedFault {
  /** Requests at the endpoint, in parts of its slots, from which responses are bad. */
  readonly fromLoad?: number;
}

/** One roll-out that is played. */
export interface RolloutPlay {
  readonly service: SimulatedService;
  readonly slots: number;
  readonly gateways: number;
  readonly durationMs: number;
  readonly fault: PlayedFault | undefined;
  /** Time after the order at which another driver takes over. */
  readonly driverChangesAt?: number;
  /** Times after the order between which the store doesn't answer. */
  readonly storeAway?: { readonly fromMs: number; readonly toMs: number };
  readonly seed: number;
}

/** What happened. */
export interface RolloutPlayResult {
  /** States that the store held, in order, and the time of the last one after the order. */
  readonly states: readonly RolloutState[];
  readonly finalAt: number;
  /** Requests of the service from the order to the deadline, and those of them to the new version. */
  readonly requests: number;
  readonly exposed: number;
  /** When the 50th bad response ended, and when the last request was sent to the new version. */
  readonly fiftiethBadAt: number;
  readonly lastSentAt: number;
  /** Requests that ran at old endpoints when `completed` was written. */
  readonly cutOff: number;
}

interface Job {
  readonly gateway: number;
  readonly route: string;
  readonly sentAt: number;
  readonly workMs: number;
  readonly predictedMs: number;
  readonly isBad: boolean;
  readonly isFailing: boolean;
  endsAt: number;
}

const TICK_MS = 5;
const REPORT_MS = { trial: 250, cutover: 100 };
const ORDER_AT = 2_000;
const SERVICE = 'service';

/** Plays one roll-out in virtual time with the gateways' real gates and the real driver. */
export const playRollout = (play: RolloutPlay): RolloutPlayResult => {
  const { service, slots, gateways, durationMs, fault, driverChangesAt, storeAway, seed } = play;
  const generator = xoroshiro128plus(seed);
  const random = (): number => uniformFloat64(generator);
  const normal = (): number =>
    Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  const makeEndpoints = (version: string) =>
    Array.from({ length: service.endpoints }, (_, index) => ({
      record: {
        id: `${version}-${index}`,
        service: SERVICE,
        address: '10.0.0.1:80',
        failureDomain: 'a',
        version,
        slots,
        state: 'ready',
        coldMs: 0,
        bornAt: version === 'v1' ? 1 : 2,
      } satisfies EndpointRecord,
      speed: service.isEngine && random() < 1 / 3 ? 3 : 0.68,
      running: [] as Job[],
      queue: [] as Job[],
    }));
  const old = makeEndpoints('v1');
  const endpoints = [...old, ...makeEndpoints('v2')];
  let isMixed = false;
  const members = Array.from({ length: gateways }, (_, index) => `gateway-${index}`);
  const sites = members.map(() => ({
    gate: new RolloutGate(5_000),
    traffic: new VersionTraffic(),
  }));
  const makeDriver = (now: number): RolloutDriver =>
    new RolloutDriver({
      service: SERVICE,
      isEngine: service.isEngine,
      bounds: { exposeShare: 0.1, exposeSlack: 50, rollbackMs: 5_000 },
      mixedSince: Math.min(now, ORDER_AT),
      startedMsAgo: () => undefined,
      predictMs: (size) => size,
    });
  let driver = makeDriver(ORDER_AT);
  const stored = { state: undefined as RolloutState | undefined, revision: 1 };
  const states: RolloutState[] = [];
  const result = { finalAt: Infinity, requests: 0, exposed: 0, lastSentAt: 0, cutOff: 0 };
  const badAt: number[] = [];
  const phase = random() * 2 * Math.PI;

  const readOrder = (now: number): void =>
    driver.observeOrder(
      {
        service: SERVICE,
        target: 'v2',
        durationMs,
        revision: stored.revision,
        ...(stored.state && { status: { state: stored.state, target: 'v2' } }),
      },
      false,
      now,
    );
  const startJobs = (endpoint: (typeof endpoints)[number], now: number): void => {
    while (endpoint.running.length < slots && endpoint.queue.length > 0) {
      const job = endpoint.queue.shift();
      if (job === undefined) return;
      job.endsAt = now + job.workMs * endpoint.speed;
      endpoint.running.push(job);
    }
  };
  const arrive = (route: SimulatedService['routes'][number], now: number): void => {
    const gateway = Math.floor(random() * gateways);
    const site = sites[gateway];
    const request = { service: SERVICE, route: route.name, draw: random() };
    // The scheduler sends nothing to an engine without a free slot; requests without one are refused.
    const selected =
      site?.gate.select(request, isMixed ? endpoints : old, ({ record }) => record, now) ?? old;
    const usable = selected.filter(({ running }) => !service.isEngine || running.length < slots);
    const options = Array.from({ length: 3 }, () => usable[Math.floor(random() * usable.length)]);
    const cost = (endpoint: (typeof endpoints)[number] | undefined): number =>
      endpoint === undefined
        ? Infinity
        : endpoint.speed * (1 + (endpoint.running.length + endpoint.queue.length) / slots);
    const endpoint = options.reduce((a, b) => (cost(b) < cost(a) ? b : a));
    if (endpoint === undefined) return;
    const isNew = endpoint.record.version === 'v2';
    const since = now - ORDER_AT;
    const load = (endpoint.running.length + endpoint.queue.length) / slots;
    const isBad =
      isNew &&
      fault !== undefined &&
      since >= fault.fromMs &&
      load >= (fault.fromLoad ?? 0) &&
      (fault.route ?? route.name) === route.name &&
      random() < fault.part;
    if (since >= 0 && since <= durationMs) {
      result.requests += 1;
      if (isNew) result.exposed += 1;
    }
    if (isNew) result.lastSentAt = since;
    const predictedMs = route.ms * Math.exp((service.isEngine ? 0.6 : 0.2) * normal());
    const factor = isBad && fault.kind === 'slow' ? fault.factor : 1;
    endpoint.queue.push({
      gateway,
      route: route.name,
      sentAt: now,
      workMs: predictedMs * factor * Math.exp(0.2 * normal()),
      predictedMs,
      isBad,
      isFailing: (isBad && fault.kind === 'failing') || random() < 0.003,
      endsAt: Infinity,
    });
    site?.traffic.recordStart(SERVICE, endpoint.record.version);
    startJobs(endpoint, now);
  };
  const end = (endpoint: (typeof endpoints)[number], job: Job, now: number): void => {
    const { version, id } = endpoint.record;
    if (job.isBad) badAt.push(now - ORDER_AT);
    const traffic = sites[job.gateway]?.traffic;
    traffic?.recordEnd(SERVICE, version);
    if (now < ORDER_AT) return;
    traffic?.observe(
      SERVICE,
      {
        route: job.route,
        version,
        endpoint: id,
        outcome: job.isFailing ? 'failed' : 'served',
        totalMs: now - job.sentAt,
        promptTokens: job.predictedMs,
        outputTokens: 0,
      },
      now,
    );
  };
  const drive = (now: number): void => {
    const isAway =
      storeAway !== undefined &&
      now - ORDER_AT >= storeAway.fromMs &&
      now - ORDER_AT < storeAway.toMs;
    if (!isAway) readOrder(now);
    sites.forEach(({ gate, traffic }, index) => {
      const known = gate.stepOf(SERVICE, now);
      const { step } = known ?? {};
      const report = {
        ...traffic.take(SERVICE, now),
        condemned: gate.condemnedVersions(SERVICE),
        ...(step && { step: step._tag }),
        ...(step !== undefined &&
          'orderAgeMs' in step && {
            order: { target: 'v2', ageMs: step.orderAgeMs + (known?.ageMs ?? 0) },
          }),
      };
      driver.observeReport(members[index] ?? '', report, now);
    });
    const { step, write } = driver.decide(
      {
        members,
        slotsByVersion: new Map(['v1', 'v2'].map((name) => [name, slots * service.endpoints])),
        baseVersion: 'v1',
        isStoreReached: !isAway,
      },
      now,
    );
    sites.forEach(({ gate }) => gate.apply(step, now));
    if (write === undefined || isAway || write.revision !== stored.revision) return;
    stored.state = write.state;
    stored.revision += 1;
    states.push(write.state);
    if (write.state === 'running') return;
    result.finalAt = now - ORDER_AT;
    if (write.state !== 'completed') return;
    result.cutOff = old.reduce((sum, { running, queue }) => sum + running.length + queue.length, 0);
  };

  const until = ORDER_AT + durationMs + (storeAway === undefined ? 0 : 8_000);
  for (let now = 0; now <= until; now += TICK_MS) {
    if (!isMixed && now >= ORDER_AT - TICK_MS) {
      sites.forEach(({ gate }) =>
        gate.observe(
          endpoints.map(({ record }) => record),
          now,
        ),
      );
      isMixed = true;
    }
    const load = 1 + 0.4 * Math.sin(phase + (2 * Math.PI * now) / 15_000);
    service.routes.forEach((route) => {
      const count = (route.perSecond * load * TICK_MS) / 1_000 + random();
      for (let index = 1; index <= count; index += 1) arrive(route, now);
    });
    endpoints.forEach((entry) => {
      const endpoint = entry;
      const ended = endpoint.running.filter(({ endsAt }) => endsAt <= now);
      if (ended.length === 0) return;
      endpoint.running = endpoint.running.filter(({ endsAt }) => endsAt > now);
      ended.forEach((job) => end(endpoint, job, now));
      startJobs(endpoint, now);
    });
    if (now === ORDER_AT + (driverChangesAt ?? -1)) {
      driver = makeDriver(now);
      sites.forEach(({ traffic }) => traffic.resend(now));
    }
    const step = sites[0]?.gate.stepOf(SERVICE, now)?.step._tag;
    if (isMixed && now % (step === 'cutover' ? REPORT_MS.cutover : REPORT_MS.trial) === 0)
      drive(now);
  }
  return { ...result, states, fiftiethBadAt: badAt[49] ?? Infinity };
};
