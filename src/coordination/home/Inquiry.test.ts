import { test } from 'node:test';
import { expect } from 'earl';
import type { Member } from '../../state/Member.ts';
import type { RequestStatus } from '../../state/RequestOutcome.ts';
import { OutcomeResolver } from './Inquiry.ts';
import type { InquirySurroundings } from './Inquiry.ts';

const ID = 'home1234.1_a';
const SILENCE_MS = 4_000;
const UNKNOWN = { _tag: 'ended', outcome: { _tag: 'unknown', reason: 'entry_lost' } } as const;
const NOT_RUN = {
  _tag: 'ended',
  outcome: { _tag: 'notRun', reason: 'entry_lost', retryAfterMs: 300 },
} as const;

const member = (
  incarnation: string,
  status: Member['status'],
  peerAddress = incarnation,
): Member => ({
  incarnation,
  status,
  peerAddress,
  callerAddress: incarnation,
  failureDomain: 'a',
  region: 'r',
  revision: 0,
  draining: false,
});

type Finding = 'waiting' | 'granted' | 'nothing' | 'home_alive';

const ask = (
  members: readonly Member[],
  local: Finding,
  changes: Partial<InquirySurroundings> = {},
) => {
  const told: (RequestStatus | undefined)[] = [];
  const inquiry = new OutcomeResolver({
    incarnation: () => 'self',
    members: () => members,
    silenceMs: () => SILENCE_MS,
    requiredSilenceMs: SILENCE_MS,
    voidLocally: () => local,
    randomRetryAfterMs: () => 300,
    ...changes,
  });
  const actions = inquiry.resolve(ID, 0, (status) => told.push(status));
  return { inquiry, told, actions };
};

const dead = member('home1234', 'dead');
const self = member('self', 'alive');
const peers = [member('p1', 'alive'), member('p2', 'alive')];

interface Case {
  readonly name: string;
  readonly local: Finding;
  readonly replies: readonly Finding[];
  readonly status: RequestStatus;
}

const cases: readonly Case[] = [
  {
    name: 'waiting here, nothing elsewhere',
    local: 'waiting',
    replies: ['nothing', 'nothing'],
    status: NOT_RUN,
  },
  {
    name: 'waiting at one peer',
    local: 'nothing',
    replies: ['waiting', 'nothing'],
    status: NOT_RUN,
  },
  { name: 'known to nobody', local: 'nothing', replies: ['nothing', 'nothing'], status: UNKNOWN },
  {
    name: 'granted by one peer',
    local: 'waiting',
    replies: ['nothing', 'granted'],
    status: UNKNOWN,
  },
  {
    name: 'home heard by one peer',
    local: 'waiting',
    replies: ['home_alive', 'nothing'],
    status: UNKNOWN,
  },
];

cases.forEach(({ name, local, replies, status }) => {
  test(`a dead home's request that is ${name} is ${status === NOT_RUN ? 'not run' : 'unknown'}`, () => {
    const { inquiry, told } = ask([self, dead, ...peers], local);
    replies.forEach((finding, index) => {
      const reply = { _tag: 'voidReply', question: 1, id: ID, finding } as const;
      inquiry.receiveVoidReply(`p${index + 1}`, reply);
    });
    expect(told).toEqual([status]);
  });
});

test('one member that does not answer leaves the outcome unknown', () => {
  const { inquiry, told } = ask([self, dead, ...peers], 'waiting');
  inquiry.receiveVoidReply('p1', { _tag: 'voidReply', question: 1, id: ID, finding: 'nothing' });
  expect(told).toEqual([]);
  inquiry.tick(1_000);
  expect(told).toEqual([UNKNOWN]);
});

test('nobody is asked before the home has been silent for lease and margin', () => {
  let silent = 0;
  const { inquiry, told, actions } = ask([self, dead], 'waiting', { silenceMs: () => silent });
  expect(actions).toEqual([]);
  inquiry.tick(1_000);
  expect(told).toEqual([]);
  silent = SILENCE_MS;
  inquiry.tick(4_000);
  expect(told).toEqual([NOT_RUN]);
});

test('a home that is alive answers itself', () => {
  const { inquiry, told, actions } = ask([self, member('home1234', 'alive')], 'nothing');
  expect(actions.length).toEqual(1);
  const status: RequestStatus = { _tag: 'waiting' };
  inquiry.receiveStatusReply('home1234', { _tag: 'statusReply', question: 1, id: ID, status }, 10);
  expect(told).toEqual([status]);
});

test('the process that goes on in place of an ended incarnation answers for it', () => {
  const { actions } = ask([self, dead, member('next', 'alive', 'home1234')], 'nothing');
  expect(actions).toEqual([
    { _tag: 'send', to: 'next', message: { _tag: 'statusRequest', question: 1, id: ID } },
  ]);
});
