import { describe, it } from 'node:test';
import { expect } from 'earl';
import { CrashQuarantine } from './CrashQuarantine.ts';

const SERVICE = 'model';
const PARTS = ['first', 'bad'];
const PERIOD_MS = 60_000;

describe('CrashQuarantine', () => {
  it('refuses requests with the part, to the end of the period, and no others', () => {
    const quarantine = new CrashQuarantine();
    quarantine.impose(SERVICE, 'bad', 0);
    expect(quarantine.decide(SERVICE, PARTS, true, 10_000)).toEqual({
      _tag: 'refused',
      part: 'bad',
      retryAfterMs: PERIOD_MS - 10_000,
    });
    expect(quarantine.decide(SERVICE, ['first', 'good'], true, 10_000)).toEqual({
      _tag: 'admitted',
    });
    expect(quarantine.decide('other', PARTS, true, 10_000)).toEqual({ _tag: 'admitted' });
  });

  it('admits one trial after the period, and a longer period follows another crash', () => {
    const quarantine = new CrashQuarantine();
    quarantine.impose(SERVICE, 'bad', 0);
    expect(quarantine.decide(SERVICE, PARTS, true, PERIOD_MS)._tag).toEqual('trial');
    expect(quarantine.isOnTrial(SERVICE, 'bad')).toEqual(true);
    expect(quarantine.decide(SERVICE, PARTS, true, PERIOD_MS + 1)._tag).toEqual('refused');
    expect(quarantine.impose(SERVICE, 'bad', PERIOD_MS + 100)).toEqual(4 * PERIOD_MS);
    expect(quarantine.decide(SERVICE, PARTS, true, 4 * PERIOD_MS)._tag).toEqual('refused');
  });

  it('admits another trial where the first one had no outcome', () => {
    const quarantine = new CrashQuarantine();
    quarantine.impose(SERVICE, 'bad', 0);
    quarantine.decide(SERVICE, PARTS, true, PERIOD_MS);
    expect(quarantine.decide(SERVICE, PARTS, true, PERIOD_MS + 30_000)._tag).toEqual('trial');
  });

  it('ends with a release', () => {
    const quarantine = new CrashQuarantine();
    quarantine.impose(SERVICE, 'bad', 0);
    expect(quarantine.release(SERVICE, 'bad', Number.POSITIVE_INFINITY, 1)).toEqual(true);
    expect(quarantine.release(SERVICE, 'bad', Number.POSITIVE_INFINITY, 2)).toEqual(false);
    expect([quarantine.size, quarantine.decide(SERVICE, PARTS, true, 3)._tag]).toEqual([
      0,
      'admitted',
    ]);
  });

  it('agrees with others whichever order their states come in', () => {
    const first = new CrashQuarantine();
    const states = [
      () => first.impose(SERVICE, 'bad', 0),
      () => first.decide(SERVICE, PARTS, true, PERIOD_MS),
      () => first.release(SERVICE, 'bad', Number.POSITIVE_INFINITY, PERIOD_MS + 900),
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
      const other = new CrashQuarantine();
      order.forEach((index) => other.merge(states[index] ?? [], PERIOD_MS + 900));
      expect(other.list(PERIOD_MS + 900)).toEqual(first.list(PERIOD_MS + 900));
    });
  });

  describe('of a request', () => {
    const REQUEST = 'request:abc';

    // Guards against long refusals of a sound request that was in flight when many endpoints failed.
    it('begins with a short period, whose trial decides', () => {
      const quarantine = new CrashQuarantine();
      expect(quarantine.impose(SERVICE, REQUEST, 0)).toEqual(1_000);
      expect(quarantine.decide(SERVICE, [REQUEST], true, 1_000)._tag).toEqual('trial');
      expect(quarantine.release(SERVICE, REQUEST, 1_100, 1_110)).toEqual(true);
      expect(quarantine.decide(SERVICE, [REQUEST], true, 1_200)._tag).toEqual('admitted');
    });

    it('lasts longer after each crash under a trial', () => {
      const quarantine = new CrashQuarantine();
      const periods = [0, 1, 2].map((at) => quarantine.impose(SERVICE, REQUEST, at));
      expect(periods).toEqual([1_000, PERIOD_MS, 4 * PERIOD_MS]);
    });

    it('admits a trial at the scheduler only', () => {
      const quarantine = new CrashQuarantine();
      quarantine.impose(SERVICE, REQUEST, 0);
      expect(quarantine.decide(SERVICE, [REQUEST], false, 2_000)._tag).toEqual('refused');
      expect(quarantine.decide(SERVICE, [REQUEST], true, 2_000)._tag).toEqual('trial');
    });

    it("isn't ended by an answer from before it", () => {
      const quarantine = new CrashQuarantine();
      quarantine.impose(SERVICE, REQUEST, 500);
      expect(quarantine.release(SERVICE, REQUEST, 400, 600)).toEqual(false);
    });

    it('admits a trial when the software of the service changes', () => {
      const quarantine = new CrashQuarantine();
      quarantine.impose(SERVICE, REQUEST, 0);
      quarantine.impose(SERVICE, REQUEST, 1);
      expect(quarantine.expire('other', 10)).toEqual(false);
      expect(quarantine.expire(SERVICE, 10)).toEqual(true);
      expect(quarantine.decide(SERVICE, [REQUEST], true, 10)._tag).toEqual('trial');
    });
  });
});
