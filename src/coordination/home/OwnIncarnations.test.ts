import { test } from 'node:test';
import { expect } from 'earl';
import { OwnIncarnations } from './OwnIncarnations.ts';
import { makeRequestIdPrefix, REQUEST_ID_WINDOW_MS } from './RequestIdWindows.ts';

const START = 50 * REQUEST_ID_WINDOW_MS;
const FIRST = 'aaaaaaaaaa';
const SECOND = 'bbbbbbbbbb';
const oldId = `${makeRequestIdPrefix(FIRST, START)}x`;

test('an ended incarnation accepts no id, and an id that it never accepted was never run', () => {
  const own = new OwnIncarnations(FIRST);
  expect(own.acceptsNew(oldId, START)).toEqual(true);
  expect(own.neverRan(oldId, START)).toEqual(false);
  own.replace(SECOND);
  expect(own.acceptsNew(oldId, START)).toEqual(false);
  expect(own.neverRan(oldId, START)).toEqual(true);
});

test('outcomes of an ended incarnation are retained until their id window expires', () => {
  const own = new OwnIncarnations(FIRST);
  own.replace(SECOND);
  expect(own.mayEvict(oldId, START + REQUEST_ID_WINDOW_MS)).toEqual(false);
  expect(own.mayEvict(oldId, START + 4 * REQUEST_ID_WINDOW_MS)).toEqual(true);
  expect(own.neverRan(oldId, START + 4 * REQUEST_ID_WINDOW_MS)).toEqual(false);
});

test('an id of another process is not reported as never run', () => {
  const own = new OwnIncarnations(FIRST);
  expect(own.neverRan(`${makeRequestIdPrefix(SECOND, START)}x`, START)).toEqual(false);
});
