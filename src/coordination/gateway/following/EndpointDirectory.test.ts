import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { EndpointRecord } from '../../../state/gateway/index.ts';
import { EndpointDirectory } from './EndpointDirectory.ts';
import { StoreContact } from './StoreContact.ts';

const record = (id: string, more: Partial<EndpointRecord> = {}): EndpointRecord => ({
  id,
  service: 'model',
  address: '10.0.0.1:80',
  failureDomain: 'a',
  version: 'v1',
  slots: 10,
  state: 'ready',
  coldMs: 0,
  bornAt: 1,
  ...more,
});

/** Moments at which the store answered any gateway before and after an outage, in ms. */
const OUTAGE = { startedAt: 0, endedAt: 5_000 };

const readyIds = (directory: EndpointDirectory): string[] =>
  directory.listReady('model').map(({ id }) => id);

describe('EndpointDirectory', () => {
  it('removes an endpoint whose entry is removed while the store is available', () => {
    const directory = new EndpointDirectory();
    directory.put(record('1'), 0);
    directory.put(record('2'), 0);
    expect(directory.remove('1', 0, undefined, 100).map(({ _tag }) => _tag)).toEqual(['removed']);
    expect(readyIds(directory)).toEqual(['2']);
  });

  it('keeps entries that expired during an outage until the grace time is over', () => {
    const directory = new EndpointDirectory();
    directory.put(record('1'), 0);
    directory.put(record('2'), 0);
    directory.remove('1', 0, OUTAGE, 5_000);
    directory.remove('2', 0, OUTAGE, 5_000);
    directory.put(record('2'), 0);
    directory.removeMissing(OUTAGE, 6_900);
    expect(readyIds(directory).sort()).toEqual(['1', '2']);
    directory.removeMissing(OUTAGE, 7_300);
    expect(readyIds(directory)).toEqual(['2']);
  });

  it('stops listing a draining endpoint at once, also when its entry expires in an outage', () => {
    const directory = new EndpointDirectory();
    directory.put(record('1'), 0);
    expect(directory.put(record('1', { state: 'draining' }), 0).map(({ _tag }) => _tag)).toEqual([
      'draining',
    ]);
    expect(readyIds(directory)).toEqual([]);
    directory.remove('1', 0, OUTAGE, 5_000);
    expect(directory.findReady('1')).toEqual(undefined);
  });

  it('treats an endpoint that restarted under the same id as added', () => {
    const directory = new EndpointDirectory();
    directory.put(record('1'), 0);
    expect(directory.put(record('1', { bornAt: 2 }), 0).map(({ _tag }) => _tag)).toEqual(['added']);
  });

  // DRAIN: an earlier heartbeat that the store carried out late brought an endpoint back that drains.
  it('keeps an endpoint that drained out of use when the store lists it as ready again', () => {
    const directory = new EndpointDirectory();
    directory.put(record('1'), 0);
    directory.put(record('1', { state: 'draining' }), 100);
    expect(directory.put(record('1'), 4_000).map(({ _tag }) => _tag)).toEqual(['readyAgain']);
    expect(directory.put(record('1', { coldMs: 5 }), 4_100)).toEqual([]);
    expect(readyIds(directory)).toEqual([]);
    directory.remove('1', 4_100, undefined, 5_000);
    expect(directory.put(record('1'), 6_000).map(({ _tag }) => _tag)).toEqual(['readyAgain']);
    expect(directory.findReady('1')).toEqual(undefined);
    expect(directory.isExpectedToRun('1')).toEqual(false);
  });

  it('takes an endpoint that drained back once it starts again, or stays listed as ready for long', () => {
    const directory = new EndpointDirectory();
    directory.put(record('1', { state: 'draining' }), 0);
    directory.put(record('2', { state: 'draining' }), 0);
    expect(directory.put(record('1', { bornAt: 2 }), 1_000).map(({ _tag }) => _tag)).toEqual([
      'added',
    ]);
    directory.put(record('2'), 1_000);
    expect(directory.takeBack(119_000, 119_000)).toEqual([]);
    expect(directory.takeBack(121_000, 121_000).map(({ _tag }) => _tag)).toEqual(['added']);
    expect(readyIds(directory).sort()).toEqual(['1', '2']);
  });

  it('takes an endpoint back whose entry expired, by the same start', () => {
    const directory = new EndpointDirectory();
    directory.put(record('1'), 0);
    directory.remove('1', 0, undefined, 100);
    expect(directory.put(record('1'), 200).map(({ _tag }) => _tag)).toEqual(['added']);
    expect(readyIds(directory)).toEqual(['1']);
  });

  // DRAIN: an endpoint that left while one watch was cut was kept as if it had expired in an outage of the store.
  it('takes a removal between two confirmations of the view for a departure', () => {
    const directory = new EndpointDirectory();
    const contact = new StoreContact();
    [0, 1_500].forEach((at) => contact.record({ from: at, until: at }));
    directory.put(record('1'), 0);
    expect(directory.remove('1', 0, contact.outage(1_500), 1_500).map(({ _tag }) => _tag)).toEqual([
      'removed',
    ]);
  });

  // DRAIN: an endpoint whose removal was noticed late was kept for the whole retention time from then.
  it('counts the retention of an entry that left after an outage from when it was last listed', () => {
    const directory = new EndpointDirectory();
    directory.put(record('1'), 0);
    expect(directory.remove('1', 5_000, OUTAGE, 6_400).map(({ _tag }) => _tag)).toEqual([
      'missing',
    ]);
    expect(directory.removeMissing(OUTAGE, 6_790)).toEqual([]);
    expect(directory.removeMissing(OUTAGE, 6_800).map(({ _tag }) => _tag)).toEqual(['removed']);
  });

  // DRAIN: a gateway that the store refused kept an endpoint that it saw leave, for the grace time after an outage.
  it('drops a missing endpoint as soon as the group knows that the store was available', () => {
    const directory = new EndpointDirectory();
    directory.put(record('1'), 0);
    directory.remove('1', 0, OUTAGE, 5_000);
    expect(directory.removeMissing(undefined, 5_050).map(({ _tag }) => _tag)).toEqual(['removed']);
  });

  // Refused requests: gateways dropped an endpoint that lived, whose last confirmation had come to them by a peer more than
  // the last answer of the store.
  it('keeps an entry that expired in an outage, though its last confirmation looks later than the last answer', () => {
    const directory = new EndpointDirectory();
    directory.put(record('1'), 0);
    directory.remove('1', 4, OUTAGE, 5_100);
    expect(directory.removeMissing(OUTAGE, 7_000)).toEqual([]);
    expect(readyIds(directory)).toEqual(['1']);
  });

  it('keeps missing endpoints while an outage lasts', () => {
    const directory = new EndpointDirectory();
    directory.put(record('1'), 0);
    directory.remove('1', 0, OUTAGE, 5_000);
    const lasting = { startedAt: 5_100, endedAt: Number.POSITIVE_INFINITY };
    expect(directory.removeMissing(lasting, 9_000)).toEqual([]);
  });

  // DRAIN: an endpoint that had left was used again because an older copy of the store lists it.
  it('keeps a removed endpoint out of use that only a copy lists, until it is written or listed for long', () => {
    const directory = new EndpointDirectory();
    ['1', '2'].forEach((id) => {
      directory.put(record(id), 0);
      directory.remove(id, 0, undefined, 100);
      const [change] = directory.put(record(id), 1_000, true);
      expect(change?._tag).toEqual('copied');
    });
    expect(readyIds(directory)).toEqual([]);
    directory.put(record('1'), 1_500);
    expect(readyIds(directory)).toEqual(['1']);
    expect(directory.takeBack(6_900, 6_900)).toEqual([]);
    expect(directory.takeBack(9_000, 6_900)).toEqual([]);
    directory.takeBack(9_000, 7_100);
    expect(readyIds(directory)).toEqual(['1', '2']);
  });

  it('uses an endpoint again that a copy lists, if its entry went missing in an outage', () => {
    const directory = new EndpointDirectory();
    directory.put(record('1'), 0);
    directory.remove('1', 0, OUTAGE, 5_000);
    directory.removeMissing(OUTAGE, 7_300);
    expect(directory.put(record('1'), 8_000, true).map(({ _tag }) => _tag)).toEqual(['added']);
  });
});
