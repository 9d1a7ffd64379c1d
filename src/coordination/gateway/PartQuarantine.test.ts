import { describe, it } from 'node:test';
import { expect } from 'earl';
import { PartQuarantine } from './PartQuarantine.ts';

const SERVICE = 'model';
const PARTS = ['first', 'bad'];
const PERIOD_MS = 60_000;

describe('PartQuarantine', () => {
  it('refuses requests with the part, to the end of the period, and no others', () => {
    const quarantine = new PartQuarantine();
    quarantine.impose(SERVICE, 'bad', 0);
    expect(quarantine.decide(SERVICE, PARTS, 10_000)).toEqual({
      _tag: 'refused',
      part: 'bad',
      retryAfterMs: PERIOD_MS - 10_000,
    });
    expect(quarantine.decide(SERVICE, ['first', 'good'], 10_000)).toEqual({ _tag: 'admitted' });
    expect(quarantine.decide('other', PARTS, 10_000)).toEqual({ _tag: 'admitted' });
  });

  it('admits one trial after the period, and a longer period follows another crash', () => {
    const quarantine = new PartQuarantine();
    quarantine.impose(SERVICE, 'bad', 0);
    expect(quarantine.decide(SERVICE, PARTS, PERIOD_MS)._tag).toEqual('trial');
    expect(quarantine.isOnTrial(SERVICE, 'bad')).toEqual(true);
    expect(quarantine.decide(SERVICE, PARTS, PERIOD_MS + 1)._tag).toEqual('refused');
    expect(quarantine.impose(SERVICE, 'bad', PERIOD_MS + 100)).toEqual(4 * PERIOD_MS);
    expect(quarantine.decide(SERVICE, PARTS, 4 * PERIOD_MS)._tag).toEqual('refused');
  });

  it('admits another trial where the first one had no outcome', () => {
    const quarantine = new PartQuarantine();
    quarantine.impose(SERVICE, 'bad', 0);
    quarantine.decide(SERVICE, PARTS, PERIOD_MS);
    expect(quarantine.decide(SERVICE, PARTS, PERIOD_MS + 30_000)._tag).toEqual('trial');
  });

  it('ends with a release', () => {
    const quarantine = new PartQuarantine();
    quarantine.impose(SERVICE, 'bad', 0);
    expect(quarantine.release(SERVICE, 'bad', 1)).toEqual(true);
    expect(quarantine.release(SERVICE, 'bad', 2)).toEqual(false);
    expect([quarantine.size, quarantine.decide(SERVICE, PARTS, 3)._tag]).toEqual([0, 'admitted']);
  });

  it('agrees with others whichever order their states come in', () => {
    const first = new PartQuarantine();
    const states = [
      () => first.impose(SERVICE, 'bad', 0),
      () => first.decide(SERVICE, PARTS, PERIOD_MS),
      () => first.release(SERVICE, 'bad', PERIOD_MS + 900),
    ].map((change) => {
      change();
      return first.list(PERIOD_MS + 900);
    });
    const orders = [
      [0, 1, 2],
      [2, 0, 1],
      [1, 2, 0],
    ];
    orders.forEach((order) => {
      const other = new PartQuarantine();
      order.forEach((index) => other.merge(states[index] ?? [], PERIOD_MS + 900));
      expect(other.list(PERIOD_MS + 900)).toEqual(first.list(PERIOD_MS + 900));
    });
  });
});
