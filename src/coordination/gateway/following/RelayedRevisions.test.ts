import { describe, it } from 'node:test';
import { expect } from 'earl';
import { RelayedRevisions } from './RelayedRevisions.ts';

describe('RelayedRevisions', () => {
  it("relays at most once per interval while the store doesn't change", () => {
    const relayed = new RelayedRevisions();
    expect(relayed.planRelay({ from: 10, to: 11, isNews: false }, 0)).toEqual(10);
    expect(relayed.planRelay({ from: 11, to: 12, isNews: false }, 900)).toEqual(undefined);
    expect(relayed.planRelay({ from: 12, to: 13, isNews: false }, 1_800)).toEqual(undefined);
    expect(relayed.planRelay({ from: 13, to: 14, isNews: false }, 3_000)).toEqual(11);
  });

  it('spans the revisions that were not relayed when a change occurs', () => {
    const relayed = new RelayedRevisions();
    relayed.planRelay({ from: 10, to: 11, isNews: true }, 0);
    relayed.planRelay({ from: 11, to: 12, isNews: false }, 900);
    expect(relayed.planRelay({ from: 12, to: 15, isNews: true }, 1_000)).toEqual(11);
  });

  // Peers of a member that isn't the watcher saw a gap where nothing had changed, and asked for what they had.
  it('spans watches without changes that a member has not relayed', () => {
    const relayed = new RelayedRevisions();
    relayed.recordUnchanged({ from: 22, to: 23 });
    relayed.recordUnchanged({ from: 23, to: 24 });
    expect(relayed.planRelay({ from: 24, to: 25, isNews: true }, 0)).toEqual(22);
    relayed.recordUnchanged({ from: 30, to: 31 });
    expect(relayed.planRelay({ from: 31, to: 32, isNews: true }, 10)).toEqual(30);
  });

  it('leaves a detectable gap after revisions that did not come from a watch', () => {
    const relayed = new RelayedRevisions();
    relayed.planRelay({ from: 10, to: 11, isNews: true }, 0);
    relayed.reset();
    expect(relayed.planRelay({ from: 40, to: 41, isNews: false }, 500)).toEqual(40);
  });

  // DRAIN, CONFIG: a member that accepted such a span never learned of the change in it.
  it('does not span a change that it left to another watcher', () => {
    const relayed = new RelayedRevisions();
    relayed.planRelay({ from: 10, to: 11, isNews: true }, 0);
    expect(relayed.planRelay({ from: 13, to: 14, isNews: true }, 500)).toEqual(13);
  });
});
