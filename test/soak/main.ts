// Plays soaks: `npm run soak -- --seed N --minutes M --entries K [--seeds COUNT]`, or `--regressions`.
import { mkdirSync, rmSync } from 'node:fs';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { withOwner } from '../support/withOwner.ts';
import { playSoak, type SoakResult } from './playSoak.ts';
import { REGRESSIONS, type SoakRegression } from './regressions.ts';

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    seeds: { type: 'string', default: '1' },
    minutes: { type: 'string', default: '0.5' },
    entries: { type: 'string', default: '5' },
    regressions: { type: 'boolean', default: false },
  },
});
const MS_PER_MINUTE = 60_000;
const FOLDER = 'target/soak';
const PROGRAM = 'target/gateway.cjs';

type Round = Pick<SoakRegression, 'seed' | 'gateways' | 'minutes'>;

const play = async ({ seed, gateways, minutes }: Round, folder: string): Promise<SoakResult> => {
  mkdirSync(folder, { recursive: true });
  const faultsMs = minutes * MS_PER_MINUTE;
  return withOwner((owner) =>
    playSoak(owner, { seed, gateways, faultsMs, program: PROGRAM, folder }),
  );
};

const report = (seed: number, folder: string, result: SoakResult): void => {
  const { broken, ledUp, served, of, steps } = result;
  const [first] = broken;
  const verdict = first === undefined ? 'no promise broken' : `${first.promise} broken`;
  console.log(`seed ${seed}: ${steps} steps, ${served} of ${of} served, ${verdict}`);
  if (first === undefined) {
    rmSync(folder, { recursive: true });
    return;
  }
  process.exitCode = 1;
  console.log(`  at ${first.at} ms: ${first.detail}`);
  ledUp.forEach((line) => console.log(`    ${line}`));
  console.log(`  settings and logs: ${folder}`);
};

const rounds: readonly Round[] = values.regressions
  ? REGRESSIONS
  : Array.from({ length: Number(values.seeds) }, (_, index) => ({
      seed: Number(values.seed) + index,
      gateways: Number(values.entries),
      minutes: Number(values.minutes),
    }));

for (const round of rounds) {
  const folder = join(FOLDER, `seed-${round.seed}`);
  report(round.seed, folder, await play(round, folder));
}
