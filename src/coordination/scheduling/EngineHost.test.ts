import { test } from 'node:test';
import { expect } from 'earl';
import { EngineHost } from './EngineHost.ts';

const hostOf = (slots: number): EngineHost => Object.assign(new EngineHost(), { slots });

const report = (host: EngineHost, running: number, ageMs: number, now: number): void =>
  [0, 1].forEach(() => host.applyLoadReport({ ageMs, running, waiting: 0, cacheUsed: 0 }, now));

test('work that ran by own grants when a late report was taken is not counted as foreign', () => {
  const host = hostOf(8);
  for (let change = 0; change < 6; change += 1) host.adjustRunning(1, 0);
  for (let change = 0; change < 6; change += 1) host.adjustRunning(-1, 900);
  report(host, 6, 500, 1_000);
  expect(host.free(1_000)).toEqual(8);
});

test('a quick turnover between two reports makes no own work look foreign', () => {
  const host = hostOf(8);
  for (let now = 0; now < 2_000; now += 1) {
    host.adjustRunning(1, now);
    host.adjustRunning(-1, now);
  }
  report(host, 8, 1_900, 2_000);
  expect(host.free(2_000)).toEqual(8);
});

test('work that others started takes slots until two reports say that it is gone', () => {
  const host = hostOf(8);
  report(host, 5, 0, 1_000);
  expect(host.free(1_000)).toEqual(3);
  report(host, 0, 0, 1_500);
  expect(host.free(1_500)).toEqual(8);
});
