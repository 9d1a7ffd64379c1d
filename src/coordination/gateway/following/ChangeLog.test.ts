import { describe, it } from 'node:test';
import { expect } from 'earl';
import { ChangeLog } from './ChangeLog.ts';

const change = (name: string, revision: number, removed = false) => ({
  removed,
  object: { name, revision, spec: null, status: null },
});

describe('ChangeLog', () => {
  it('returns the last change of each object since a revision', () => {
    const log = new ChangeLog();
    log.reset(10);
    log.append([change('a', 11), change('b', 12)], 12);
    log.append([change('a', 13)], 15);
    expect(log.since(12)).toEqual({
      fromRevision: 12,
      toRevision: 15,
      changes: [change('a', 13)],
    });
    expect(log.since(10)?.changes).toEqual([change('b', 12), change('a', 13)]);
  });

  it('returns a removal that bears the revision of the state that it ends', () => {
    const log = new ChangeLog();
    log.reset(10);
    log.append([change('a', 9, true)], 20);
    expect(log.since(15)?.changes).toEqual([change('a', 9, true)]);
  });

  it('returns nothing if it does not reach back, or if there is nothing newer', () => {
    const log = new ChangeLog();
    log.reset(10);
    log.append([change('a', 11)], 11);
    expect(log.since(9)).toEqual(undefined);
    expect(log.since(11)).toEqual(undefined);
  });

  it('reaches back less far when it has dropped changes', () => {
    const log = new ChangeLog();
    log.reset(0);
    for (let revision = 1; revision <= 1_025; revision += 1)
      log.append([change(`${revision}`, revision)], revision);
    expect(log.since(0)).toEqual(undefined);
    expect(log.since(1)?.changes.length).toEqual(1_024);
  });
});
