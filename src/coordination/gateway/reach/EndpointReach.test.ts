import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { EndpointRecord } from '../../../state/gateway/index.ts';
import type { Member } from '../../../state/Member.ts';
import { chooseForwardPeer } from './chooseForwardPeer.ts';
import { EndpointReach } from './EndpointReach.ts';

const record = (id: string, failureDomain: string): EndpointRecord => ({
  id,
  failureDomain,
  service: 'plain',
  address: '127.0.0.1:1',
  version: 'v1',
  slots: 4,
  state: 'ready',
  coldMs: 0,
  bornAt: 1,
});

describe('the reach of endpoints', () => {
  it('is lost with a check that fails, and trusted again after two that succeed', () => {
    const reach = new EndpointReach();
    expect(reach.recordCheck(false, 1_000)).toEqual('isolated');
    expect([reach.isRecheckDue(1_299), reach.isRecheckDue(1_300)]).toEqual([false, true]);
    expect(reach.recordCheck(true, 1_300)).toEqual('none');
    expect(reach.isIsolated).toEqual(true);
    expect(reach.isRecheckDue(1_400)).toEqual(true);
    expect(reach.recordCheck(true, 1_400)).toEqual('regained');
  });

  it('is trusted more slowly after a relapse', () => {
    const reach = new EndpointReach();
    reach.recordCheck(false, 0);
    [100, 200].forEach((at) => reach.recordCheck(true, at));
    reach.recordCheck(false, 5_000);
    const changes = [5_100, 5_200, 5_300, 5_400].map((at) => reach.recordCheck(true, at));
    expect(changes).toEqual(['none', 'none', 'none', 'regained']);
  });

  it('is doubted only when nothing arrives from any endpoint', () => {
    const reach = new EndpointReach();
    reach.recordBytes(10_000);
    expect([reach.isSilent(10_500), reach.isSilent(10_501)]).toEqual([false, true]);
    reach.recordCheck(true, 10_501);
    expect([reach.isSilent(11_500), reach.isSilent(11_502)]).toEqual([false, true]);
  });

  it('is checked at other endpoints than the suspect, in different failure domains, in turn', () => {
    const reach = new EndpointReach();
    const records = [record('a1', 'a'), record('a2', 'a'), record('b1', 'b'), record('b2', 'b')];
    const check = (): string[] => reach.selectTargets(records, 'a1').map(({ id }) => id);
    expect(check()).toEqual(['a2', 'b1']);
    expect(check()).toEqual(['b2', 'a2']);
    expect(reach.selectTargets([record('a1', 'a')], 'a1').length).toEqual(1);
  });
});

describe('chooseForwardPeer', () => {
  const member = (
    incarnation: string,
    failureDomain: string,
    more: Partial<Member> = {},
  ): Member => ({
    incarnation,
    failureDomain,
    callerAddress: 'c',
    peerAddress: 'p',
    region: 'here',
    status: 'alive',
    revision: 1,
    draining: false,
    ...more,
  });
  const choose = (members: readonly Member[], busy: Readonly<Record<string, number>> = {}) =>
    chooseForwardPeer({
      members,
      failureDomain: 'a',
      exclude: new Set(['self']),
      forwardedTo: (incarnation) => busy[incarnation] ?? 0,
      fraction: 0,
    })?.incarnation;

  it('never chooses this gateway, or one that reaches no endpoint either', () => {
    expect(choose([member('self', 'a'), member('cut', 'a', { isolated: true })])).toEqual(
      undefined,
    );
  });

  it('prefers the same failure domain, until its members have more to do', () => {
    const members = [member('far', 'b'), member('near', 'a')];
    expect(choose(members)).toEqual('near');
    expect(choose(members, { near: 2 })).toEqual('far');
  });

  it('chooses a suspected member only if there is no other', () => {
    const suspect = member('suspect', 'a', { status: 'suspect' });
    expect(choose([suspect, member('far', 'b')])).toEqual('far');
    expect(choose([suspect])).toEqual('suspect');
  });
});
