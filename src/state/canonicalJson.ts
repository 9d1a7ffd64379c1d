import { createHash } from 'node:crypto';

const sortMembers = (value: unknown): unknown => {
  if (Array.isArray(value)) return value.map(sortMembers);
  if (typeof value !== 'object' || value === null) return value;
  return Object.fromEntries(
    Object.entries(value)
      .filter(([, member]) => member !== undefined)
      .sort(([a], [b]) => (a < b ? -1 : 1))
      .map(([name, member]) => [name, sortMembers(member)]),
  );
};

/**
 * Serializes a JSON value canonically: object members sorted by name, no white space.
 *
 * @param value - a plain JSON value
 * @returns the canonical JSON
 */
export const canonicalJson = (value: unknown): string => JSON.stringify(sortMembers(value));

/**
 * Computes a digest of a JSON value that doesn't depend on member order and white space.
 *
 * @param value - a plain JSON value
 * @returns `sha256:` and the lower-case hex digest of the canonical JSON
 */
export const digestJson = (value: unknown): string =>
  `sha256:${createHash('sha256').update(canonicalJson(value)).digest('hex')}`;
