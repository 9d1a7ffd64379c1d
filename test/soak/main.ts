// Plays soaks: `npm run soak -- --seed N --minutes M --entries K [--seeds COUNT]`.
import { mkdirSync, rmSync } from 'node:fs';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import * as Effect from 'effect/Effect';
import * as Scope from 'effect/Scope';
import * as Exit from 'effect/Exit';
import { playSoak, type SoakResult } from './playSoak.ts';

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    seeds: { type: 'string', default: '1' },
    minutes: { type: 'string', default: '0.5' },
    entries: { type: 'string', default: '5' },
  },
});
const MS_PER_MINUTE = 60_000;
const FOLDER = 'target/soak';

const play = async (seed: number): Promise<SoakResult> => {
  const folder = join(FOLDER, `seed-${seed}`);
  mkdirSync(folder, { recursive: true });
  const scope = Scope.makeUnsafe();
  const owner = {
    after: (release: () => void | Promise<void>) =>
      Effect.runSync(
        Scope.addFinalizer(
          scope,
          Effect.promise(async () => release()),
        ),
      ),
  };
  try {
    return await playSoak(owner, {
      seed,
      gateways: Number(values.entries),
      faultsMs: Number(values.minutes) * MS_PER_MINUTE,
      program: 'target/gateway.cjs',
      folder,
    });
  } finally {
    await Effect.runPromise(Scope.close(scope, Exit.void));
  }
};

for (let seed = Number(values.seed); seed < Number(values.seed) + Number(values.seeds); seed += 1) {
  const { broken, ledUp, served, of, steps } = await play(seed);
  const [first] = broken;
  console.log(
    `seed ${seed}: ${steps} steps, ${served} of ${of} served, ${first ? `${first.promise} broken` : 'no promise broken'}`,
  );
  if (first === undefined) {
    rmSync(join(FOLDER, `seed-${seed}`), { recursive: true });
  } else {
    process.exitCode = 1;
    console.log(`  at ${first.at} ms: ${first.detail}`);
    ledUp.forEach((line) => console.log(`    ${line}`));
    console.log(`  settings and logs: ${join(FOLDER, `seed-${seed}`)}`);
  }
}
