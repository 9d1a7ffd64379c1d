import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import {
  RolloutEvidence,
  type VersionFinding,
  type VersionSample,
} from '../../src/coordination/gateway/rollouts/RolloutEvidence.ts';

/** What is wrong with the new version. */
export interface SimulatedFault {
  readonly kind: 'slow' | 'failing';
  /** Part of the responses that are affected. */
  readonly part: number;
  /** How much longer slow responses take. */
  readonly factor: number;
  readonly fromMs: number;
  /** The only route concerned; all if absent. */
  readonly route?: string;
}

/** A service under load. */
export interface SimulatedService {
  readonly isEngine: boolean;
  readonly endpoints: number;
  readonly routes: readonly {
    readonly name: string;
    readonly perSecond: number;
    readonly ms: number;
  }[];
}

/** What the evidence showed. */
export interface SimulatedOutcome {
  readonly finding: VersionFinding | undefined;
  /** Responses of the new version that were affected by the fault, when it was found. */
  readonly badResponses: number;
  readonly missing: string | undefined;
}

/** The engines of the wire desk, and its plain service. */
export const ENGINES: SimulatedService = {
  isEngine: true,
  endpoints: 63,
  routes: [
    { name: 'release-draft', perSecond: 90.6, ms: 1_200 },
    { name: 'headline-summary', perSecond: 120, ms: 900 },
    { name: 'sector-tag', perSecond: 142, ms: 130 },
  ],
};
export const PLAIN: SimulatedService = {
  isEngine: false,
  endpoints: 4,
  routes: [
    { name: 'wire-dispatch', perSecond: 87.8, ms: 21 },
    { name: 'feed-lookup', perSecond: 35.3, ms: 21 },
  ],
};

const TRIAL_MS = 11_750;
const SHARE = 0.05;
const STEP_MS = 250;
const SPEEDS = { fast: 0.68, slow: 3 };

/** Plays the trial of one roll-out in virtual time: waves of load, uneven engines, and a crash of a quarter of them. */
export const simulateEvidence = (
  { isEngine, endpoints, routes }: SimulatedService,
  fault: SimulatedFault | undefined,
  seed: number,
): SimulatedOutcome => {
  const generator = xoroshiro128plus(seed);
  const random = (): number => uniformFloat64(generator);
  const normal = (): number =>
    Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  const makeEndpoint = (name: string) => ({
    name,
    speed: isEngine && random() < 1 / 3 ? SPEEDS.slow : SPEEDS.fast,
    wobble: 0,
    isKnown: false,
  });
  const makeGroup = (name: string) =>
    Array.from({ length: endpoints }, (_, index) => makeEndpoint(`${name}-${index}`));
  const groups = { old: makeGroup('old'), new: makeGroup('new') };
  const all = [...groups.old, ...groups.new];
  const phase = random() * 2 * Math.PI;
  const crashAt = 2_000 + random() * 8_000;
  const crashed = new Set(all.filter(() => random() < 0.25).map(({ name }) => name));
  const total = routes.reduce((sum, { perSecond }) => sum + perSecond, 0);
  const evidence = new RolloutEvidence(isEngine);
  const pending: (VersionSample & { readonly isBad: boolean })[] = [];

  const choose = (group: ReturnType<typeof makeGroup>) => {
    // Engines that are known to be slow get a third of the requests that others get.
    const options = Array.from({ length: 3 }, () => group[Math.floor(random() * group.length)]);
    const best = options.reduce((a, b) =>
      (b?.isKnown ? b.speed : 1) < (a?.isKnown ? a.speed : 1) ? b : a,
    );
    if (best === undefined) throw new Error('no endpoint');
    best.isKnown = true;
    return best;
  };
  const send = (route: SimulatedService['routes'][number], now: number, load: number): void => {
    const share = Math.min(0.3, (SHARE * total) / (routes.length * route.perSecond));
    const isNew = random() < share;
    const endpoint = choose(isNew ? groups.new : groups.old);
    const predictedMs = route.ms * Math.exp(0.6 * normal());
    const isBad =
      isNew &&
      fault !== undefined &&
      now >= fault.fromMs &&
      (fault.route ?? route.name) === route.name &&
      random() < fault.part;
    const factor = isBad && fault.kind === 'slow' ? fault.factor : 1;
    const totalMs =
      predictedMs * endpoint.speed * load * factor * Math.exp(0.3 * normal() + endpoint.wobble);
    const isCrashed = crashed.has(endpoint.name) && now < crashAt && now + totalMs > crashAt;
    if (crashed.has(endpoint.name) && now >= crashAt && now < crashAt + 2_000) return;
    const hasFailed = (isBad && fault.kind === 'failing') || random() < 0.003;
    const outcome = hasFailed ? 'failed' : 'served';
    pending.push({
      route: route.name,
      endpoint: endpoint.name,
      isNew,
      outcome: isCrashed ? 'broken' : outcome,
      totalMs,
      predictedMs,
      isCold: false,
      at: isCrashed ? crashAt : now + totalMs,
      isBad,
    });
  };

  let badResponses = 0;
  for (let now = STEP_MS; now <= TRIAL_MS; now += STEP_MS) {
    const load = 1 + 0.55 * Math.sin(phase + (2 * Math.PI * now) / 15_000);
    all.forEach((endpoint) => {
      const entry = endpoint;
      // The load of each endpoint wanders by itself.
      entry.wobble = 0.8 * entry.wobble + 0.12 * normal();
    });
    routes.forEach((route) => {
      const count = (route.perSecond * load * STEP_MS) / 1_000 + random();
      for (let index = 1; index <= count; index += 1) send(route, now, 0.8 + 0.4 * load);
    });
    const ended = pending.filter(({ at }) => at <= now);
    ended.forEach((sample) => pending.splice(pending.indexOf(sample), 1));
    badResponses += ended.filter(({ isBad }) => isBad).length;
    evidence.record(ended);
    evidence.advance(now);
    if (evidence.finding !== undefined) break;
  }
  return { finding: evidence.finding, badResponses, missing: evidence.missing() };
};
