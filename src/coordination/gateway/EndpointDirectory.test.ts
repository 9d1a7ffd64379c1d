import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { EndpointRecord } from '../../state/gateway/index.ts';
import { EndpointDirectory } from './EndpointDirectory.ts';

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

const idsOf = (directory: EndpointDirectory): string[] =>
  directory.listReady('model').map(({ id }) => id);

describe('EndpointDirectory', () => {
  it('takes a removed entry for a leaving endpoint while the store is well', () => {
    const directory = new EndpointDirectory();
    directory.replaceAll([record('1'), record('2')], 0);
    expect(directory.remove('1', 100).map(({ _tag }) => _tag)).toEqual(['removed']);
    expect(idsOf(directory)).toEqual(['2']);
  });

  it('keeps entries that lapsed during an outage until they had time to come back', () => {
    const directory = new EndpointDirectory();
    directory.replaceAll([record('1'), record('2')], 0);
    directory.storeFailed();
    directory.storeAnswered(5_000);
    directory.remove('1', 5_000);
    directory.remove('2', 5_000);
    directory.put(record('2'));
    directory.removeMissing(6_900);
    expect(idsOf(directory).sort()).toEqual(['1', '2']);
    directory.removeMissing(7_300);
    expect(idsOf(directory)).toEqual(['2']);
  });

  it('leaves a draining endpoint at once, also one that lapses in an outage', () => {
    const directory = new EndpointDirectory();
    directory.replaceAll([record('1')], 0);
    expect(directory.put(record('1', { state: 'draining' })).map(({ _tag }) => _tag)).toEqual([
      'draining',
    ]);
    expect(idsOf(directory)).toEqual([]);
    directory.storeFailed();
    directory.remove('1', 10);
    expect(directory.findReady('1')).toEqual(undefined);
  });

  it('takes the same id that was born again for another endpoint', () => {
    const directory = new EndpointDirectory();
    directory.put(record('1'));
    expect(directory.put(record('1', { bornAt: 2 })).map(({ _tag }) => _tag)).toEqual(['added']);
  });

  it('drops what a whole list no longer names', () => {
    const directory = new EndpointDirectory();
    directory.replaceAll([record('1'), record('2')], 0);
    directory.replaceAll([record('2')], 10);
    expect(idsOf(directory)).toEqual(['2']);
  });
});
