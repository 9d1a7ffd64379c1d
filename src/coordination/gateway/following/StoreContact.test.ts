import { describe, it } from 'node:test';
import { expect } from 'earl';
import { StoreContact } from './StoreContact.ts';

const answerAt = (contact: StoreContact, ...moments: readonly number[]): void =>
  moments.forEach((at) => contact.record({ from: at, until: at }));

describe('StoreContact', () => {
  it('takes a long time in which the store answered nobody for an outage', () => {
    const contact = new StoreContact();
    expect(contact.outage(0)).toEqual(undefined);
    answerAt(contact, 0, 1_000);
    expect(contact.outage(3_000)).toEqual(undefined);
    expect(contact.outage(4_000)).toEqual({ startedAt: 1_000, endedAt: Infinity });
    answerAt(contact, 4_000);
    expect(contact.outage(4_100)).toEqual({ startedAt: 1_000, endedAt: 4_000 });
  });

  // DRAIN: one process that the store refused began a grace time for an outage that the store never had.
  it('knows of no outage if the store answered others meanwhile, also if it hears of that later', () => {
    const contact = new StoreContact();
    answerAt(contact, 0, 4_000);
    expect(contact.outage(4_100)).toEqual({ startedAt: 0, endedAt: 4_000 });
    contact.record({ from: -9_000, until: 3_900 });
    expect(contact.outage(4_100)).toEqual(undefined);
    expect(contact.latest).toEqual({ from: -9_000, until: 4_000 });
  });

  it('learns of an outage that a peer saw both ends of', () => {
    const contact = new StoreContact();
    answerAt(contact, 0);
    contact.record({ from: 5_000, until: 6_000 });
    answerAt(contact, 500);
    expect(contact.outage(6_000)).toEqual({ startedAt: 500, endedAt: 5_000 });
  });

  it('takes a pause of its own process for no outage, and tells nobody that the store answered in it', () => {
    const contact = new StoreContact();
    answerAt(contact, 0);
    contact.recordPause({ countedMs: 4_000, uncountedMs: 0 }, 4_000);
    answerAt(contact, 4_100);
    expect(contact.outage(4_100)).toEqual(undefined);
    expect(contact.latest).toEqual({ from: 4_100, until: 4_100 });
  });

  it('counts the time that only the wall clock counted in a pause', () => {
    const contact = new StoreContact();
    answerAt(contact, 1_000);
    contact.recordPause({ countedMs: 0, uncountedMs: 3_000 }, 1_200);
    expect(contact.latest).toEqual({ from: -2_000, until: -2_000 });
    expect(contact.outage(1_300)).toEqual(undefined);
  });
});
