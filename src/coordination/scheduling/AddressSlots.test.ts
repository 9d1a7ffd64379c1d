import { test } from 'node:test';
import { expect } from 'earl';
import { AddressSlots } from './AddressSlots.ts';

const createSlots = (slots: number): AddressSlots => Object.assign(new AddressSlots(), { slots });

const applyTwoReports = (
  addressSlots: AddressSlots,
  running: number,
  ageMs: number,
  now: number,
): void =>
  [0, 1].forEach(() =>
    addressSlots.applyLoadReport({ ageMs, running, waiting: 0, cacheUsed: 0 }, now),
  );

test('own requests that ran at the time of a late report are not counted as foreign', () => {
  const addressSlots = createSlots(8);
  for (let change = 0; change < 6; change += 1) addressSlots.adjustRunning(1, 0);
  for (let change = 0; change < 6; change += 1) addressSlots.adjustRunning(-1, 900);
  applyTwoReports(addressSlots, 6, 500, 1_000);
  expect(addressSlots.freeSlots(1_000)).toEqual(8);
});

test('a high turnover of own requests between two reports is not counted as foreign work', () => {
  const addressSlots = createSlots(8);
  for (let now = 0; now < 2_000; now += 1) {
    addressSlots.adjustRunning(1, now);
    addressSlots.adjustRunning(-1, now);
  }
  applyTwoReports(addressSlots, 8, 1_900, 2_000);
  expect(addressSlots.freeSlots(2_000)).toEqual(8);
});

test('foreign work takes slots until the reports no longer show it', () => {
  const addressSlots = createSlots(8);
  applyTwoReports(addressSlots, 5, 0, 1_000);
  expect(addressSlots.freeSlots(1_000)).toEqual(3);
  applyTwoReports(addressSlots, 0, 0, 1_500);
  expect(addressSlots.freeSlots(1_500)).toEqual(8);
});
