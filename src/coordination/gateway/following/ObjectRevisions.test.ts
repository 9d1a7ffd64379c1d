import { describe, it } from 'node:test';
import { expect } from 'earl';
import { ObjectRevisions } from './ObjectRevisions.ts';

const object = (name: string, revision: number) => ({ name, revision, spec: null, status: null });
const put = (name: string, revision: number) => ({
  removed: false,
  object: object(name, revision),
});
const removal = (name: string, revision: number) => ({
  removed: true,
  object: object(name, revision),
});

describe('ObjectRevisions', () => {
  // DRAIN: relayed changes that a follower knew already brought a removed endpoint back.
  it('take no state for news that is older than the removal of its object', () => {
    const revisions = new ObjectRevisions();
    const changes = [put('a', 1), removal('a', 2)];
    expect(revisions.apply(changes)).toEqual(changes);
    expect(revisions.apply(changes)).toEqual([]);
    expect(revisions.apply([put('a', 3)])).toEqual([put('a', 3)]);
  });

  it('accept a removal that bears the revision of the last state', () => {
    const revisions = new ObjectRevisions();
    revisions.apply([put('a', 1)]);
    expect(revisions.apply([removal('a', 1)])).toEqual([removal('a', 1)]);
    expect(revisions.apply([put('a', 1)])).toEqual([]);
  });

  it('keep what is newer than a list', () => {
    const revisions = new ObjectRevisions();
    revisions.apply([put('a', 1), put('b', 1), put('c', 9), removal('a', 8)]);
    const changes = revisions.compare([object('a', 1), object('b', 4)], 5);
    expect(revisions.apply(changes)).toEqual([put('b', 4)]);
  });

  it('derive from a list which objects are gone', () => {
    const revisions = new ObjectRevisions();
    revisions.apply([put('a', 1), put('b', 2)]);
    expect(revisions.apply(revisions.compare([object('b', 2)], 5))).toEqual([removal('a', 5)]);
  });
});
