import { test } from 'node:test';
import { expect } from 'earl';
import { OwnIncarnations } from './OwnIncarnations.ts';
import { makeRequestIdPrefix, WINDOW_MS } from './RequestWindow.ts';

const START = 50 * WINDOW_MS;
const FIRST = 'aaaaaaaaaa';
const SECOND = 'bbbbbbbbbb';
const oldId = `${makeRequestIdPrefix(FIRST, START)}x`;

test('an ended incarnation takes nothing, and what it never took was never run', () => {
  const own = new OwnIncarnations(FIRST);
  expect(own.acceptsNew(oldId, START)).toEqual(true);
  expect(own.neverRan(oldId, START)).toEqual(false);
  own.replace(SECOND);
  expect(own.acceptsNew(oldId, START)).toEqual(false);
  expect(own.neverRan(oldId, START)).toEqual(true);
});

test('outcomes of an ended incarnation are kept until their window is forgotten', () => {
  const own = new OwnIncarnations(FIRST);
  own.replace(SECOND);
  expect(own.mayForget(oldId, START + WINDOW_MS)).toEqual(false);
  expect(own.mayForget(oldId, START + 4 * WINDOW_MS)).toEqual(true);
  expect(own.neverRan(oldId, START + 4 * WINDOW_MS)).toEqual(false);
});

test('nothing is claimed of ids of other processes', () => {
  const own = new OwnIncarnations(FIRST);
  expect(own.neverRan(`${makeRequestIdPrefix(SECOND, START)}x`, START)).toEqual(false);
});
