import { readFileSync } from 'node:fs';
import * as Schema from 'effect/Schema';
import type { Slope, Slopes } from './Slopes.ts';

const RUN = 'npm run measure -- slopes';
const US_PER_MS = 1_000;

const Report = Schema.Struct({
  rows: Schema.Array(
    Schema.Struct({
      cost: Schema.String,
      unit: Schema.String,
      slope: Schema.String,
      'standard error': Schema.String,
      'at zero': Schema.String,
    }),
  ),
});

/**
 * Takes measured costs of whole entry processes out of a report of `npm run measure -- slopes`.
 *
 * @param file - the report's JSON
 * @returns the costs; a slope that is not above its standard error is taken as zero
 */
export const importReport = (file: string): Slopes => {
  const { rows } = Schema.decodeUnknownSync(Report)(JSON.parse(readFileSync(file, 'utf8')));
  const find = (cost: string, unit: string) => {
    const row = rows.find((each) => each.cost === cost && each.unit.startsWith(unit));
    if (row === undefined) throw new Error(`the report has no row ${cost} in ${unit}`);
    return row;
  };
  const slopeOf = (cost: string, unit: string, divisor = 1): Slope => {
    const row = find(cost, unit);
    const error = Number(row['standard error']) / divisor;
    const value = Number(row.slope) / divisor;
    return { value: value > error ? value : 0, error, run: RUN };
  };
  const zeroOf = (cost: string, unit: string, divisor = 1): Slope => ({
    value: Number(find(cost, unit)['at zero']) / divisor,
    run: RUN,
  });
  return {
    requestCpuUs: slopeOf('request', 'µs'),
    tokenCpuUs: slopeOf('generated token of a stream', 'µs'),
    controlBytesPerSecond: zeroOf('member, idle', 'control bytes'),
    controlBytesPerSecondPerMember: slopeOf('member, idle', 'control bytes'),
    idleCpuMsPerSecond: zeroOf('member, idle', 'µs', US_PER_MS),
    idleCpuMsPerSecondPerMember: slopeOf('member, idle', 'µs', US_PER_MS),
    idleMemoryMb: zeroOf('member', 'MiB'),
  };
};
