import { describe, it } from 'node:test';
import { expect } from 'earl';
import { RelayTrust } from './RelayTrust.ts';

const sign = (revision: number, reached = true) => ({
  reached,
  configurationRevision: revision,
  endpointsRevision: revision,
});

const knownRevisions = (revision: number) => ({ configuration: revision, endpoints: revision });

describe('RelayTrust', () => {
  it('relies on a watcher that is heard and reaches the store', () => {
    const trust = new RelayTrust();
    expect(trust.mayRely('w', knownRevisions(10), 0)).toEqual(false);
    trust.hear('w', 'w', sign(10), 0);
    expect(trust.mayRely('w', knownRevisions(10), 100)).toEqual(true);
    trust.hear('w', 'w', sign(10, false), 200);
    expect(trust.mayRely('w', knownRevisions(10), 300)).toEqual(false);
  });

  it('gives a watcher up that falls silent', () => {
    const trust = new RelayTrust();
    trust.hear('w', 'w', sign(10), 0);
    expect(trust.mayRely('w', knownRevisions(10), 1_400)).toEqual(false);
  });

  it('relies on no other than the one whose task it is', () => {
    const trust = new RelayTrust();
    trust.hear('other', 'w', sign(10), 0);
    expect(trust.mayRely('w', knownRevisions(10), 10)).toEqual(false);
  });

  it('finds out a watcher that is cut off from the store by what other watchers have seen', () => {
    const trust = new RelayTrust();
    trust.hear('w', 'w', sign(10), 0);
    trust.hear('other', 'w', sign(12), 50);
    expect(trust.mayRely('w', knownRevisions(10), 100)).toEqual(true);
    trust.hear('w', 'w', sign(10), 400);
    expect(trust.mayRely('w', knownRevisions(10), 501)).toEqual(false);
    expect(trust.mayRely('w', knownRevisions(12), 600)).toEqual(true);
  });
});
