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
    directory.put(record('1'));
    directory.put(record('2'));
    expect(directory.remove('1', 0, undefined, 100).map(({ _tag }) => _tag)).toEqual(['removed']);
    expect(readyIds(directory)).toEqual(['2']);
  });

  it('keeps entries that expired during an outage until the grace time is over', () => {
    const directory = new EndpointDirectory();
    directory.put(record('1'));
    directory.put(record('2'));
    directory.remove('1', 0, OUTAGE, 5_000);
    directory.remove('2', 0, OUTAGE, 5_000);
    directory.put(record('2'));
    directory.removeMissing(OUTAGE, 6_900);
    expect(readyIds(directory).sort()).toEqual(['1', '2']);
    directory.removeMissing(OUTAGE, 7_300);
    expect(readyIds(directory)).toEqual(['2']);
  });

  it('stops listing a draining endpoint at once, also when its entry expires in an outage', () => {
    const directory = new EndpointDirectory();
    directory.put(record('1'));
    expect(directory.put(record('1', { state: 'draining' })).map(({ _tag }) => _tag)).toEqual([
      'draining',
    ]);
    expect(readyIds(directory)).toEqual([]);
    directory.remove('1', 0, OUTAGE, 5_000);
    expect(directory.findReady('1')).toEqual(undefined);
  });

  it('treats an endpoint that restarted under the same id as added', () => {
    const directory = new EndpointDirectory();
    directory.put(record('1'));
    expect(directory.put(record('1', { bornAt: 2 })).map(({ _tag }) => _tag)).toEqual(['added']);
  });

  it('tells that an endpoint which drained is listed as ready again', () => {
    const directory = new EndpointDirectory();
    directory.put(record('1', { state: 'draining' }));
    expect(directory.put(record('1')).map(({ _tag }) => _tag)).toEqual(['readyAgain']);
  });

  // DRAIN: an endpoint that left while one watch was cut was kept as if it had expired in an outage of the store.
  it('takes a removal between two confirmations of the view for a departure', () => {
    const directory = new EndpointDirectory();
    const contact = new StoreContact();
    [0, 1_500].forEach((at) => contact.record({ from: at, until: at }));
    directory.put(record('1'));
    expect(directory.remove('1', 0, contact.outage(1_500), 1_500).map(({ _tag }) => _tag)).toEqual([
      'removed',
    ]);
  });

  // DRAIN: an endpoint whose removal was noticed late was kept for the whole retention time from then.
  it('counts the retention of an entry that left after an outage from when it was last listed', () => {
    const directory = new EndpointDirectory();
    directory.put(record('1'));
    expect(directory.remove('1', 5_000, OUTAGE, 6_400).map(({ _tag }) => _tag)).toEqual([
      'missing',
    ]);
    expect(directory.removeMissing(OUTAGE, 6_790)).toEqual([]);
    expect(directory.removeMissing(OUTAGE, 6_800).map(({ _tag }) => _tag)).toEqual(['removed']);
  });

  // DRAIN: a gateway that the store refused kept an endpoint that it saw leave, for the grace time after an outage.
  it('drops a missing endpoint as soon as the group knows that the store was available', () => {
    const directory = new EndpointDirectory();
    directory.put(record('1'));
    directory.remove('1', 0, OUTAGE, 5_000);
    expect(directory.removeMissing(undefined, 5_050).map(({ _tag }) => _tag)).toEqual(['removed']);
  });

  it('keeps missing endpoints while an outage lasts', () => {
    const directory = new EndpointDirectory();
    directory.put(record('1'));
    directory.remove('1', 0, OUTAGE, 5_000);
    const lasting = { startedAt: 5_100, endedAt: Number.POSITIVE_INFINITY };
    expect(directory.removeMissing(lasting, 9_000)).toEqual([]);
  });
});
