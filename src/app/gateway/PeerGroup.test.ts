import { describe, it } from 'node:test';
import { expect } from 'earl';
import * as Schema from 'effect/Schema';
import pino from 'pino';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Member } from '../../state/Member.ts';
import { Timing } from '../../state/EntrySettings.ts';
import { PeerGroup } from './PeerGroup.ts';

const member = (incarnation: string, more: Partial<Member> = {}): Member => ({
  incarnation,
  callerAddress: `10.0.0.1:${incarnation}`,
  peerAddress: `10.0.1.1:${incarnation}`,
  failureDomain: 'a',
  region: 'here',
  status: 'alive',
  revision: 0,
  draining: false,
  ...more,
});

const makeGroup = (self: Member): { readonly group: PeerGroup; readonly sent: string[] } => {
  const sent: string[] = [];
  const group = new PeerGroup({
    self,
    timing: Schema.decodeSync(Timing)({}),
    random: xoroshiro128plus(1),
    network: {
      send: (address) => {
        sent.push(address);
        return true;
      },
      onDelivery: () => {},
      traffic: () => ({ sentBytes: 0, receivedBytes: 0 }),
    },
    logger: pino({ level: 'silent' }),
    nextIncarnation: () => '9',
    onMessage: () => {},
    onEnded: () => {},
  });
  return { group, sent };
};

/** Lets a group know members, as an introduction of theirs would. */
const introduce = (group: PeerGroup, ...members: readonly Member[]): void =>
  members.forEach((other) =>
    group.handle(other.incarnation, { _tag: 'probe', sequence: 1, updates: [other] }, 0),
  );

describe('PeerGroup', () => {
  it('tries a seed often at first, which may start a little later than this process', () => {
    const { group, sent } = makeGroup(member('5'));
    group.join(['10.0.1.9:7600'], 0);
    for (let now = 25; now < 2_000; now += 25) group.tick(now);
    const tries = sent.filter((address) => address === '10.0.1.9:7600').length;
    expect(tries).toBeGreaterThan(8);
  });

  it('stops trying a seed that has answered', () => {
    const { group, sent } = makeGroup(member('5'));
    introduce(group, member('7', { peerAddress: '10.0.1.9:7600' }));
    sent.length = 0;
    group.join(['10.0.1.9:7600'], 0);
    expect(sent).toEqual([]);
  });

  it('has the strongest member schedule, and of equals the one that started first', () => {
    const { group } = makeGroup(member('5'));
    introduce(group, member('3'), member('7', { strength: 2 }), member('8', { strength: 2 }));
    expect(group.scheduler()).toEqual('7');
  });

  it('has a member of the same failure domain watch the store', () => {
    const { group } = makeGroup(member('5'));
    introduce(group, member('3', { failureDomain: 'b' }), member('4'));
    expect(group.storeWatcher()).toEqual('4');
  });

  it('gives no task to a member that drains', () => {
    const { group } = makeGroup(member('5'));
    introduce(group, member('3', { draining: true }));
    expect([group.scheduler(), group.storeWatcher()]).toEqual(['5', '5']);
  });
});
