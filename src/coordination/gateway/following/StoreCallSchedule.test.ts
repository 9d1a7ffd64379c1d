import { describe, it } from 'node:test';
import { expect } from 'earl';
import { StoreCallSchedule } from './StoreCallSchedule.ts';

describe('StoreCallSchedule', () => {
  it('tells since when calls have failed, and whether they were refused or left without an answer', () => {
    const schedule = new StoreCallSchedule();
    schedule.recordFailure(schedule.next(true), 100, 104);
    const watch = schedule.next(true);
    schedule.recordFailure(watch, 150, 150 + 320);
    expect(schedule.failed).toEqual({ count: 2, since: 100, longestMs: 300 });
    schedule.recordAnswer({ call: watch, sentAt: 500 }, 520, 524);
    expect(schedule.failed).toEqual(undefined);
  });
});
