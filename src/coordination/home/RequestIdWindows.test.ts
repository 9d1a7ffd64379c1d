import { test } from 'node:test';
import { expect } from 'earl';
import { RequestIdWindows, REQUEST_ID_WINDOW_MS, makeRequestIdPrefix } from './RequestIdWindows.ts';

const INCARNATION = 'a1b2c3d4e5';
const START = 100 * REQUEST_ID_WINDOW_MS;
const id = `${makeRequestIdPrefix(INCARNATION, START)}x1`;

test('an id is accepted in its own window and in the two windows after it', () => {
  const window = new RequestIdWindows(INCARNATION);
  expect(
    [0, 1, 2, 3].map((later) => window.acceptsNew(id, START + later * REQUEST_ID_WINDOW_MS)),
  ).toEqual([true, true, true, false]);
});

test('an id is retained for as long as it could be accepted as new', () => {
  const window = new RequestIdWindows(INCARNATION);
  [0, 1, 2, 3, 4, 5].forEach((later) => {
    const at = START + later * REQUEST_ID_WINDOW_MS;
    expect(window.acceptsNew(id, at) && window.mayEvict(id, at)).toEqual(false);
  });
  expect(window.mayEvict(id, START + 4 * REQUEST_ID_WINDOW_MS)).toEqual(true);
});

test('a clock that is set back does not reopen a closed window', () => {
  const window = new RequestIdWindows(INCARNATION);
  expect(window.acceptsNew(id, START + 5 * REQUEST_ID_WINDOW_MS)).toEqual(false);
  expect(window.acceptsNew(id, START)).toEqual(false);
});

test('ids without a window or of another incarnation are rejected', () => {
  const window = new RequestIdWindows(INCARNATION);
  expect(window.acceptsNew(`${INCARNATION}.zzz`, START)).toEqual(false);
  expect(window.acceptsNew(`${INCARNATION}.-1_a`, START)).toEqual(false);
  expect(window.acceptsNew(`ffffffffff.${id.split('.')[1]}`, START)).toEqual(false);
});
