import type { RouteTable } from '../RouteTable.ts';

/** A difference between two configurations, in words for an operator. */
export interface RouteTableDifference {
  /** Path of the entry or the value. */
  readonly place: string;
  readonly change: string;
}

type Entry = Readonly<Record<string, unknown>>;

const format = (value: unknown): string =>
  value === undefined ? 'nothing' : JSON.stringify(value);

/** Keys are secrets, so that differences state only how many there are. */
const withoutKeys = (entry: Entry): Entry =>
  Array.isArray(entry.keys) ? { ...entry, keys: entry.keys.length } : entry;

const compareFields = (place: string, before: Entry, after: Entry): RouteTableDifference[] =>
  [...new Set([...Object.keys(before), ...Object.keys(after)])]
    .filter((field) => format(before[field]) !== format(after[field]))
    .map((field) => ({
      place: `${place}.${field}`,
      change: `${format(before[field])} becomes ${format(after[field])}`,
    }));

const compareKeys = (place: string, before: Entry, after: Entry): RouteTableDifference[] => {
  if (!Array.isArray(before.keys) || !Array.isArray(after.keys)) return [];
  const added = after.keys.filter((key) => !(before.keys as unknown[]).includes(key)).length;
  const removed = before.keys.filter((key) => !(after.keys as unknown[]).includes(key)).length;
  if (added === 0 && removed === 0) return [];
  return [{ place: `${place}.keys`, change: `${added} added, ${removed} removed` }];
};

const compareEntries = <T extends { readonly name: string }>(
  kind: string,
  before: readonly T[],
  after: readonly T[],
): RouteTableDifference[] => {
  const known = new Map(before.map((entry) => [entry.name, entry]));
  const remaining = new Set(after.map(({ name }) => name));
  return [
    ...after.flatMap((entry) => {
      const place = `${kind}.${entry.name}`;
      const previous = known.get(entry.name);
      if (previous === undefined) return [{ place, change: 'added' }];
      const fields = compareFields(place, withoutKeys(previous), withoutKeys(entry));
      return [
        ...fields.filter((difference) => difference.place !== `${place}.keys`),
        ...compareKeys(place, previous, entry),
      ];
    }),
    ...before
      .filter(({ name }) => !remaining.has(name))
      .map(({ name }) => ({ place: `${kind}.${name}`, change: 'removed' })),
  ];
};

/**
 * Compares a configuration with the one in force.
 *
 * @param before - the configuration in force
 * @param after - the configuration that is to replace it
 * @returns the differences by entry, without keys of accounts
 */
export const compareRouteTables = (
  before: RouteTable,
  after: RouteTable,
): readonly RouteTableDifference[] => [
  ...compareEntries('routes', before.routes, after.routes),
  ...compareEntries('services', before.services, after.services),
  ...compareEntries('accounts', before.accounts ?? [], after.accounts ?? []),
  ...compareFields('limits', before.limits, after.limits),
];
