import { test } from 'node:test';
import { expect } from 'earl';
import { RequestWindow, WINDOW_MS, makeRequestIdPrefix } from './RequestWindow.ts';

const INCARNATION = 'a1b2c3d4e5';
const START = 100 * WINDOW_MS;
const id = `${makeRequestIdPrefix(INCARNATION, START)}x1`;

test('an id is taken in its own window and for two windows after it', () => {
  const window = new RequestWindow(INCARNATION);
  expect([0, 1, 2, 3].map((later) => window.acceptsNew(id, START + later * WINDOW_MS))).toEqual([
    true,
    true,
    true,
    false,
  ]);
});

test('an id is remembered for as long as it could be taken as new', () => {
  const window = new RequestWindow(INCARNATION);
  [0, 1, 2, 3, 4, 5].forEach((later) => {
    const at = START + later * WINDOW_MS;
    expect(window.acceptsNew(id, at) && window.mayForget(id, at)).toEqual(false);
  });
  expect(window.mayForget(id, START + 4 * WINDOW_MS)).toEqual(true);
});

test('a clock that is set back does not open a closed window again', () => {
  const window = new RequestWindow(INCARNATION);
  expect(window.acceptsNew(id, START + 5 * WINDOW_MS)).toEqual(false);
  expect(window.acceptsNew(id, START)).toEqual(false);
});

test('ids without a window or of another incarnation are refused', () => {
  const window = new RequestWindow(INCARNATION);
  expect(window.acceptsNew(`${INCARNATION}.zzz`, START)).toEqual(false);
  expect(window.acceptsNew(`${INCARNATION}.-1_a`, START)).toEqual(false);
  expect(window.acceptsNew(`ffffffffff.${id.split('.')[1]}`, START)).toEqual(false);
});
