// Plays gateways that are cut from all endpoints: `npm run reach -- --seed N [--seeds COUNT] [--gateways K]`.
import { parseArgs } from 'node:util';
import type { EndpointLinks } from '../soak/GatewayProcess.ts';
import { runPlays } from '../support/runPlays.ts';
import { keepsReach } from './keepsReach.ts';
import { playReach, type ReachDisturbance } from './playReach.ts';

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    seeds: { type: 'string', default: '1' },
    gateways: { type: 'string', default: '6' },
    endpoints: { type: 'string', default: '4' },
    rate: { type: 'string', default: '12' },
    seconds: { type: 'string', default: '10' },
  },
});
const MS_PER_SECOND = 1_000;

/** One after the other, by the seed; their numbers have no common factor, so that all pairs come. */
const DISTURBANCES: readonly ReachDisturbance[] = [
  { _tag: 'none' },
  { _tag: 'burst' },
  { _tag: 'endpointsCrash' },
  { _tag: 'endpointsSilent', forMs: 1_000 },
  { _tag: 'schedulerKilled' },
  { _tag: 'schedulerPaused', forMs: 3_000 },
  { _tag: 'storeAway' },
  { _tag: 'reachingKilled' },
  { _tag: 'reachingPaused', forMs: 2_000 },
  { _tag: 'release' },
  { _tag: 'schedulerCutOneWay', forMs: 3_000 },
];
const LINKS: readonly EndpointLinks[] = ['silent', 'reset', 'refusing', 'oneWay'];
const MAKE_CUT: readonly ((gateways: number) => readonly number[])[] = [
  (gateways) => [gateways - 1],
  (gateways) => Array.from({ length: Math.floor(gateways / 2) }, (_, index) => 2 * index),
  () => [0],
  (gateways) => Array.from({ length: gateways - 1 }, (_, index) => index + 1),
  (gateways) => Array.from({ length: gateways - 1 }, (_, index) => index),
  (gateways) => Array.from({ length: Math.floor(gateways / 2) }, (_, index) => 2 * index + 1),
  (gateways) => Array.from({ length: gateways }, (_, index) => index),
];

const series = {
  name: 'reach',
  seed: Number(values.seed),
  seeds: Number(values.seeds),
  gateways: Number(values.gateways),
};
await runPlays(series, async (owner, common) => {
  const { seed, gateways } = common;
  const disturbance = DISTURBANCES[seed % DISTURBANCES.length] ?? { _tag: 'none' };
  const links = LINKS[seed % LINKS.length] ?? 'silent';
  const cut = MAKE_CUT[seed % MAKE_CUT.length]?.(gateways) ?? [0];
  const play = {
    ...common,
    endpoints: Number(values.endpoints),
    cut,
    links,
    disturbance,
    rate: Number(values.rate),
    cutMs: Number(values.seconds) * MS_PER_SECOND,
  };
  const result = await playReach(owner, play);
  const variant = `${links} at ${cut.join(' ')} of ${gateways}, ${disturbance._tag}`;
  return { kept: keepsReach(play, result), variant, result };
});
