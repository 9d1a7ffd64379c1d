// Works out docs/CAPACITY.md anew from the measured costs in docs/capacity/slopes.json. With
// --measure it first measures anew what the decision machines cost by themselves; with --import FILE
// it first takes over a report that npm run measure -- slopes --json FILE has written.
import { readFileSync, writeFileSync } from 'node:fs';
import { parseArgs } from 'node:util';
import { format, resolveConfig } from 'prettier';
import { measureMachines } from './capacity/measureMachines.ts';
import { describeRoles } from './capacity/roles.ts';
import type { Figure, Role } from './capacity/roles.ts';
import { importReport } from './capacity/importReport.ts';
import { readSlopes } from './capacity/Slopes.ts';
import type { Slopes } from './capacity/Slopes.ts';

const SIGNIFICANT_DIGITS = 3;
const PAGE = new URL('../docs/CAPACITY.md', import.meta.url);
const SLOPES = new URL('../docs/capacity/slopes.json', import.meta.url);
const BLOCK = /(<!-- figures -->\n)[^]*(<!-- end of figures -->)/;

const print = (value: number): string =>
  Number(value.toPrecision(SIGNIFICANT_DIGITS)).toLocaleString('en', {
    maximumSignificantDigits: SIGNIFICANT_DIGITS,
  });

const judge = ({ value, bound }: Figure): string => {
  if (bound === undefined) return '';
  if (value === undefined) return 'not known';
  return value <= bound ? 'fits' : '**does not fit**';
};

const printFigure = (figure: Figure): string => {
  const value =
    figure.value === undefined ? '_not measured_' : `${print(figure.value)} ${figure.unit}`;
  const bound = figure.bound === undefined ? '' : `${print(figure.bound)} ${figure.unit}`;
  return `| ${figure.what} | ${figure.formula} | ${value} | ${bound} | ${judge(figure)} |`;
};

const printRole = (role: Role): string[] => {
  const exceeds = role.figures.some(
    ({ value, bound }) => value !== undefined && bound !== undefined && value > bound,
  );
  return [
    `### ${role.name}`,
    '',
    `Carried by: ${role.mechanism}.${role.state === '' ? '' : ` State: ${role.state}.`}`,
    '',
    '| Figure | Worked out as | Value | Bound | |',
    '| --- | --- | --- | --- | --- |',
    ...role.figures.map(printFigure),
    '',
    ...(exceeds ? [`To change: ${role.remedy}.`, ''] : []),
  ];
};

const printSlopes = (slopes: Slopes): string[] => [
  '### Measured costs',
  '',
  '| Cost | Value | Error | Run |',
  '| --- | --- | --- | --- |',
  ...Object.entries(slopes).map(
    ([name, { value, error, run }]) =>
      `| \`${name}\` | ${print(value)} | ${error === undefined ? '' : `± ${print(error)}`} | \`${run}\` |`,
  ),
  '',
];

const { values } = parseArgs({
  options: { measure: { type: 'boolean', default: false }, import: { type: 'string' } },
});
if (values.measure || values.import !== undefined) {
  const measured = {
    ...readSlopes(SLOPES),
    ...(values.measure && measureMachines()),
    ...(values.import !== undefined && importReport(values.import)),
  };
  writeFileSync(SLOPES, `${JSON.stringify(measured, null, 2)}\n`);
}

const slopes = readSlopes(SLOPES);
const figures = [...printSlopes(slopes), ...describeRoles(slopes).flatMap(printRole)].join('\n');
const page = readFileSync(PAGE, 'utf8').replace(
  BLOCK,
  (_whole, start: string, end: string) => `${start}\n${figures}\n${end}`,
);
const options = await resolveConfig(PAGE.pathname);
writeFileSync(PAGE, await format(page, { ...options, parser: 'markdown' }));
process.stdout.write(`${figures}\n`);
