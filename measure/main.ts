// Runs one scenario against real entry processes and prints what it showed.
import { writeFileSync } from 'node:fs';
import { loadavg } from 'node:os';
import { monitorEventLoopDelay } from 'node:perf_hooks';
import { parseArgs } from 'node:util';
import { run as detectors } from './detectors.ts';
import { buildProgram } from './harness/EntryProcess.ts';
import { tableOf } from './harness/Report.ts';
import type { Report, ScenarioOptions } from './harness/Report.ts';
import { accountLimits } from './scenarios/accountLimits.ts';
import { burst } from './scenarios/burst.ts';
import { config } from './scenarios/config.ts';
import { controlCost } from './scenarios/controlCost.ts';
import { entryLoss } from './scenarios/entryLoss.ts';
import { moves } from './scenarios/moves.ts';
import { overhead } from './scenarios/overhead.ts';
import { overload } from './scenarios/overload.ts';
import { slopes } from './scenarios/slopes.ts';
import { straggler } from './scenarios/straggler.ts';

const SCENARIOS: Readonly<Record<string, (options: ScenarioOptions) => Promise<Report>>> = {
  overhead,
  'entry-loss': entryLoss,
  overload,
  burst,
  straggler,
  'account-limits': accountLimits,
  config,
  moves,
  'control-cost': controlCost,
  slopes,
  detectors,
};

const NANOSECONDS_PER_MS = 1_000_000;

const { values, positionals } = parseArgs({
  allowPositionals: true,
  options: {
    deployment: { type: 'string', default: 'orbitale' },
    rounds: { type: 'string' },
    seconds: { type: 'string' },
    json: { type: 'string' },
  },
});
const numberOf = (text: string | undefined) => (text === undefined ? undefined : Number(text));
const scenario = SCENARIOS[positionals[0] ?? ''];
const { deployment } = values;
if (scenario === undefined || (deployment !== 'orbitale' && deployment !== 'snow')) {
  throw new Error(
    `usage: npm run measure -- SCENARIO [--deployment orbitale|snow] [--rounds N] [--seconds S] [--json FILE]; scenarios: ${Object.keys(SCENARIOS).join(', ')}`,
  );
}

buildProgram();
const stalls = monitorEventLoopDelay();
stalls.enable();
const report = await scenario({
  deployment,
  rounds: numberOf(values.rounds),
  seconds: numberOf(values.seconds),
});
console.log(`\n${report.scenario}\n\n${tableOf(report.rows)}\n`);
report.aims.forEach(({ name, met, seen }) =>
  console.log(`${met ? 'met' : 'MISSED'}: ${name} (seen: ${seen})`),
);
// Stalls of a process that does little tell how far other work on the machine disturbed the run.
const stall = (stalls.max / NANOSECONDS_PER_MS).toFixed(0);
const load = loadavg()[0]?.toFixed(1);
console.log(`noise: longest stall of the callers' process ${stall} ms; load average ${load}`);
if (values.json !== undefined) writeFileSync(values.json, JSON.stringify(report, undefined, 2));
process.exitCode = report.aims.every(({ met }) => met) ? 0 : 1;
