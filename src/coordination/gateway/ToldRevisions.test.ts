import { describe, it } from 'node:test';
import { expect } from 'earl';
import { ToldRevisions } from './ToldRevisions.ts';

describe('ToldRevisions', () => {
  it('says nothing again and again of a store in which nothing changes', () => {
    const told = new ToldRevisions();
    expect(told.advance({ from: 10, to: 11, isNews: false }, 0)).toEqual(10);
    expect(told.advance({ from: 11, to: 12, isNews: false }, 900)).toEqual(undefined);
    expect(told.advance({ from: 12, to: 13, isNews: false }, 1_800)).toEqual(undefined);
    expect(told.advance({ from: 13, to: 14, isNews: false }, 3_000)).toEqual(11);
  });

  it('spans what was left unsaid when something changes', () => {
    const told = new ToldRevisions();
    told.advance({ from: 10, to: 11, isNews: true }, 0);
    told.advance({ from: 11, to: 12, isNews: false }, 900);
    expect(told.advance({ from: 12, to: 15, isNews: true }, 1_000)).toEqual(11);
  });

  it('leaves a gap that is noticed where revisions were not seen by watching', () => {
    const told = new ToldRevisions();
    told.advance({ from: 10, to: 11, isNews: true }, 0);
    told.forget();
    expect(told.advance({ from: 40, to: 41, isNews: false }, 500)).toEqual(40);
  });
});
