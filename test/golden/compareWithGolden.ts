import { readFileSync, writeFileSync } from 'node:fs';
import { expect } from 'earl';

/** Set by `npm run golden`, which writes the files anew; their difference is then to be read. */
const writes = process.env.WRITE_GOLDEN_FILES === '1';

/**
 * Compares a session's record with its golden file.
 *
 * @param name - the file's name without its ending
 * @param lines - the record
 */
export const compareWithGolden = (name: string, lines: readonly string[]): void => {
  const file = new URL(`./${name}.golden.txt`, import.meta.url);
  const text = `${lines.join('\n')}\n`;
  if (writes) writeFileSync(file, text);
  expect(text.split('\n')).toEqual(readFileSync(file, 'utf8').split('\n'));
};
