import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { makeSoakConfiguration } from '../soak/soakConfiguration.ts';
import { GatewayFleet } from './GatewayFleet.ts';
import type { Owner } from './Owner.ts';
import { PlayCallers } from './PlayCallers.ts';

/** What every play with gateways as processes is given. */
export interface FleetPlay {
  readonly seed: number;
  readonly gateways: number;
  /** Path of the gateway's bundled program. */
  readonly program: string;
  /** Where settings and logs of the processes lie. */
  readonly folder: string;
}

/** A play that has begun. */
export interface StartedPlay<Kind extends string> {
  readonly fleet: GatewayFleet;
  readonly callers: PlayCallers<Kind>;
  /** Draws a number in [0, 1) by the seed. */
  readonly fraction: () => number;
}

/**
 * Starts the gateways and the callers of a play.
 *
 * @param owner - ends all that was started
 * @param play - seed, size and where the processes come from
 * @param deadlineMs - how long callers wait; they give up after twice the time
 * @returns the started play, once all gateways are ready
 */
export const startPlay = async <Kind extends string>(
  owner: Owner,
  { seed, gateways, program, folder }: FleetPlay,
  deadlineMs: number,
): Promise<StartedPlay<Kind>> => {
  const generator = xoroshiro128plus(seed);
  const fraction = (): number => uniformFloat64(generator);
  const configuration = makeSoakConfiguration([5]);
  const fleet = await GatewayFleet.start(owner, { size: gateways, configuration, program, folder });
  const callers = new PlayCallers<Kind>(owner, {
    fleet,
    prefix: `play-${seed}`,
    fraction,
    deadlineMs,
    patienceMs: 2 * deadlineMs,
  });
  return { fleet, callers, fraction };
};
