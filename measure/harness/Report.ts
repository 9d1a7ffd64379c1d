/** One row of a table. */
export type Row = Readonly<Record<string, string | number>>;

/** A bound that a scenario is held to. */
export interface Aim {
  readonly name: string;
  readonly met: boolean;
  readonly seen: string;
}

/** What a scenario shows. */
export interface Report {
  readonly scenario: string;
  readonly rows: readonly Row[];
  readonly aims: readonly Aim[];
}

/** How a scenario is run. */
export interface ScenarioOptions {
  readonly deployment: 'orbitale' | 'snow';
  readonly rounds: number | undefined;
  readonly seconds: number | undefined;
}

/** Gives the value below which a share of all lie. */
export const quantile = (values: readonly number[], share: number): number => {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
};

export const median = (values: readonly number[]): number => quantile(values, 0.5);

export const sum = (values: readonly number[]): number =>
  values.reduce((total, value) => total + value, 0);

/** Median with the lowest and highest value. */
export const spread = (values: readonly number[], digits = 2): string =>
  `${median(values).toFixed(digits)} (${Math.min(...values).toFixed(digits)}–${Math.max(...values).toFixed(digits)})`;

const cellsOf = (rows: readonly Row[]): readonly (readonly string[])[] => {
  const columns = [...new Set(rows.flatMap((row) => Object.keys(row)))];
  return [columns, ...rows.map((row) => columns.map((column) => String(row[column] ?? '')))];
};

/** Writes rows as a Markdown table. */
export const tableOf = (rows: readonly Row[]): string => {
  const [head = [], ...body] = cellsOf(rows);
  const lineOf = (cells: readonly string[]) => `| ${cells.join(' | ')} |`;
  return [lineOf(head), lineOf(head.map(() => '---')), ...body.map(lineOf)].join('\n');
};
