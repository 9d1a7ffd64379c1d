import { mkdirSync, rmSync } from 'node:fs';
import { join } from 'node:path';
import type { Owner } from './Owner.ts';
import type { FleetPlay } from './startPlay.ts';
import { withOwner } from './withOwner.ts';

/** Whether a play kept its bounds, how it differed from the others, and what came of it. */
export interface PlayVerdict {
  readonly kept: boolean;
  readonly variant: string;
  readonly result: object;
}

/** Which plays are run. */
export interface PlaySeries {
  /** Names the folder under `target` where logs of broken plays stay. */
  readonly name: string;
  readonly seed: number;
  readonly seeds: number;
  readonly gateways: number;
}

const PROGRAM = 'target/gateway.cjs';

/**
 * Runs plays one after the other and prints a line for each. The process fails if a bound is broken.
 *
 * @param series - which plays
 * @param play - runs one and judges it
 */
export const runPlays = async (
  { name, seed: first, seeds, gateways }: PlaySeries,
  play: (owner: Owner, common: FleetPlay) => Promise<PlayVerdict>,
): Promise<void> => {
  for (let seed = first; seed < first + seeds; seed += 1) {
    const folder = join('target', name, `seed-${seed}`);
    mkdirSync(folder, { recursive: true });
    const common = { seed, gateways, program: PROGRAM, folder };
    const { kept, variant, result } = await withOwner((owner) => play(owner, common));
    const verdict = kept ? 'kept' : 'BROKEN';
    console.log(`seed ${seed}, ${variant}: ${verdict} ${JSON.stringify(result)}`);
    if (kept) rmSync(folder, { recursive: true });
    else process.exitCode = 1;
  }
};
