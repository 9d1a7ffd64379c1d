import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { expect } from 'earl';

const root = fileURLToPath(new URL('..', import.meta.url));
const LINK = /\]\(([^)#\s]+)(?:#[^)]*)?\)/g;
const NAMED_TEST = /`((?:src|test)\/[^`]+\.test\.ts)`: “([^”]+)”/g;

const pages = ['.', 'docs', 'docs/design'].flatMap((folder) =>
  readdirSync(join(root, folder))
    .filter((name) => name.endsWith('.md'))
    .map((name) => join(folder, name)),
);

const read = (page: string): string => readFileSync(join(root, page), 'utf8');

const findAll = (pattern: RegExp, text: string): string[][] =>
  [...text.matchAll(pattern)].map((match) => match.slice(1));

test('every link between pages leads to a file', () => {
  const dead = pages.flatMap((page) =>
    findAll(LINK, read(page))
      .flat()
      .filter((target) => !/^[a-z]+:/.test(target))
      .filter((target) => !existsSync(join(root, dirname(page), target)))
      .map((target) => `${page}: ${target}`),
  );
  expect(dead).toEqual([]);
});

test('every test that the page of promises names is there', () => {
  const named = findAll(NAMED_TEST, read('docs/PROMISES.md').replaceAll(/\s+/g, ' '));
  const missing = named.filter(
    ([file = '', name = '']) => !(existsSync(join(root, file)) && read(file).includes(name)),
  );
  expect(named.length).toBeGreaterThan(0);
  expect(missing).toEqual([]);
});
