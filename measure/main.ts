// Runs one scenario against real entry processes and prints what it showed.
import { writeFileSync } from 'node:fs';
import { parseArgs } from 'node:util';
import { buildProgram } from './harness/EntryProcess.ts';
import { tableOf } from './harness/Report.ts';
import type { Report, ScenarioOptions } from './harness/Report.ts';
import { accountLimits } from './scenarios/accountLimits.ts';
import { entryLoss } from './scenarios/entryLoss.ts';
import { overhead } from './scenarios/overhead.ts';
import { overload } from './scenarios/overload.ts';

const SCENARIOS: Readonly<Record<string, (options: ScenarioOptions) => Promise<Report>>> = {
  overhead,
  'entry-loss': entryLoss,
  overload,
  'account-limits': accountLimits,
};

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
const report = await scenario({
  deployment,
  rounds: numberOf(values.rounds),
  seconds: numberOf(values.seconds),
});
console.log(`\n${report.scenario}\n\n${tableOf(report.rows)}\n`);
report.aims.forEach(({ name, met, seen }) =>
  console.log(`${met ? 'met' : 'MISSED'}: ${name} (seen: ${seen})`),
);
if (values.json !== undefined) writeFileSync(values.json, JSON.stringify(report, undefined, 2));
process.exitCode = report.aims.every(({ met }) => met) ? 0 : 1;
