import { describe, it } from 'node:test';
import { expect } from 'earl';
import * as Schema from 'effect/Schema';
import pino from 'pino';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Member } from '../../state/Member.ts';
import { EntryTiming } from '../../state/EntrySettings.ts';
import { PeerGroup } from './PeerGroup.ts';
import { ownShare, schedulerShare } from './placement/slotShares.ts';

const member = (incarnation: string, overrides: Partial<Member> = {}): Member => ({
  incarnation,
  callerAddress: `10.0.0.1:${incarnation}`,
  peerAddress: `10.0.1.1:${incarnation}`,
  failureDomain: 'a',
  region: 'here',
  status: 'alive',
  revision: 0,
  draining: false,
  ...overrides,
});

const makeGroup = (self: Member): { readonly group: PeerGroup; readonly sent: string[] } => {
  const sent: string[] = [];
  const group = new PeerGroup({
    self,
    timing: Schema.decodeSync(EntryTiming)({}),
    random: xoroshiro128plus(1),
    network: {
      send: (address) => {
        sent.push(address);
        return true;
      },
      onDelivery: () => {},
      sendDatagram: () => false,
      takesDatagrams: false,
      confirm: () => {},
      traffic: () => ({ sentBytes: 0, receivedBytes: 0 }),
    },
    logger: pino({ level: 'silent' }),
    nextIncarnation: () => '9',
    onMessage: () => {},
    onMemberEnded: () => {},
  });
  return { group, sent };
};

/** Adds members to a group by the probes that they would send. */
const introduce = (group: PeerGroup, ...members: readonly Member[]): void =>
  members.forEach((other) =>
    group.handle(
      { from: other.incarnation, message: { _tag: 'probe', sequence: 1, updates: [other] } },
      0,
    ),
  );

describe('PeerGroup', () => {
  it('retries a seed frequently at first, because it may start later than this process', () => {
    const { group, sent } = makeGroup(member('5'));
    group.join(['10.0.1.9:7600'], 0);
    for (let now = 25; now < 2_000; now += 25) group.tick(now);
    const contacts = sent.filter((address) => address === '10.0.1.9:7600').length;
    expect(contacts).toBeGreaterThan(8);
  });

  it('stops contacting a seed that has answered', () => {
    const { group, sent } = makeGroup(member('5'));
    introduce(group, member('7', { peerAddress: '10.0.1.9:7600' }));
    sent.length = 0;
    group.join(['10.0.1.9:7600'], 0);
    expect(sent).toEqual([]);
  });

  it('selects the strongest member as the leader, and of equals the one that started first', () => {
    const { group } = makeGroup(member('5'));
    introduce(group, member('3'), member('7', { strength: 2 }), member('8', { strength: 2 }));
    expect(group.leader()).toEqual('7');
  });

  it('selects a store watcher of the same failure domain', () => {
    const { group } = makeGroup(member('5'));
    introduce(group, member('3', { failureDomain: 'b' }), member('4'));
    expect(group.storeWatcher()).toEqual('4');
  });

  it('does not select a draining member as the leader or the store watcher', () => {
    const { group } = makeGroup(member('5'));
    introduce(group, member('3', { draining: true }));
    expect([group.leader(), group.storeWatcher()]).toEqual(['5', '5']);
  });

  const SEEDS = ['10.0.1.1:1', '10.0.1.1:2', '10.0.1.1:3'];

  // QUOTA: a gateway that was restarted while it was cut off took itself for the whole group, beside the others.
  it('reserves the shares of seeds that it has not met, for as long as they reserve its own', () => {
    const { group } = makeGroup(member('1'));
    group.join(SEEDS.slice(0, 2), 0);
    expect([schedulerShare(group, 2_000), ownShare(group, 2_000)]).toEqual([1 / 2, 1 / 2]);
    expect([schedulerShare(group, 10_000), ownShare(group, 10_000)]).toEqual([1, 1]);
  });

  it('assumes further members where the settings name as many seeds as they can', () => {
    const { group } = makeGroup(member('4'));
    group.join(SEEDS, 0);
    expect(schedulerShare(group, 2_000)).toEqual(1 / 10);
  });

  it('uses a part together with others that start cut off as well', () => {
    const { group } = makeGroup(member('1'));
    group.join(SEEDS, 0);
    introduce(group, member('2'));
    expect(schedulerShare(group, 2_000)).toEqual(2 / 10);
  });

  it('uses everything at once on the first start of all, as it meets its seeds', () => {
    const { group } = makeGroup(member('1'));
    group.join(SEEDS, 0);
    introduce(group, member('2'), member('3'));
    expect(schedulerShare(group, 2_000)).toEqual(1);
  });

  it('uses everything at once where it has no other seeds', () => {
    const { group } = makeGroup(member('1'));
    group.join(SEEDS.slice(0, 1), 0);
    expect(schedulerShare(group, 500)).toEqual(1);
  });
});
