import { test } from 'node:test';
import { expect } from 'earl';
import type { Member } from '../../state/Member.ts';
import type { RequestStatus } from '../../state/RequestOutcome.ts';
import { OutcomeResolver } from './OutcomeResolver.ts';
import type { OutcomeResolverDependencies } from './OutcomeResolver.ts';

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

const startResolving = (
  members: readonly Member[],
  local: Finding,
  changes: Partial<OutcomeResolverDependencies> = {},
) => {
  const resolved: (RequestStatus | undefined)[] = [];
  const resolver = new OutcomeResolver({
    incarnation: () => 'self',
    members: () => members,
    silenceMs: () => SILENCE_MS,
    requiredSilenceMs: SILENCE_MS,
    voidLocally: () => local,
    randomRetryAfterMs: () => 300,
    ...changes,
  });
  const actions = resolver.resolve(ID, 0, (status) => resolved.push(status));
  return { resolver, resolved, actions };
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
    name: 'waiting locally and unknown to the other members',
    local: 'waiting',
    replies: ['nothing', 'nothing'],
    status: NOT_RUN,
  },
  {
    name: 'waiting at one other member',
    local: 'nothing',
    replies: ['waiting', 'nothing'],
    status: NOT_RUN,
  },
  {
    name: 'unknown to every member',
    local: 'nothing',
    replies: ['nothing', 'nothing'],
    status: UNKNOWN,
  },
  {
    name: 'granted by one other member',
    local: 'waiting',
    replies: ['nothing', 'granted'],
    status: UNKNOWN,
  },
  {
    name: 'waiting locally while one other member still receives messages from its home',
    local: 'waiting',
    replies: ['home_alive', 'nothing'],
    status: UNKNOWN,
  },
];

cases.forEach(({ name, local, replies, status }) => {
  test(`a request of a dead home that is ${name} ends as ${status === NOT_RUN ? 'not run' : 'unknown'}`, () => {
    const { resolver, resolved } = startResolving([self, dead, ...peers], local);
    replies.forEach((finding, index) => {
      const reply = { _tag: 'voidReply', question: 1, id: ID, finding } as const;
      resolver.receiveVoidReply(`p${index + 1}`, reply);
    });
    expect(resolved).toEqual([status]);
  });
});

test('the outcome is unknown if one member does not reply', () => {
  const { resolver, resolved } = startResolving([self, dead, ...peers], 'waiting');
  resolver.receiveVoidReply('p1', { _tag: 'voidReply', question: 1, id: ID, finding: 'nothing' });
  expect(resolved).toEqual([]);
  resolver.tick(1_000);
  expect(resolved).toEqual([UNKNOWN]);
});

test('no id is voided before the home has been silent for its lease and the margin', () => {
  let silent = 0;
  const { resolver, resolved, actions } = startResolving([self, dead], 'waiting', {
    silenceMs: () => silent,
  });
  expect(actions).toEqual([]);
  resolver.tick(1_000);
  expect(resolved).toEqual([]);
  silent = SILENCE_MS;
  resolver.tick(4_000);
  expect(resolved).toEqual([NOT_RUN]);
});

test('the status comes from the home itself while it is alive', () => {
  const { resolver, resolved, actions } = startResolving(
    [self, member('home1234', 'alive')],
    'nothing',
  );
  expect(actions.length).toEqual(1);
  const status: RequestStatus = { _tag: 'waiting' };
  resolver.receiveStatusReply('home1234', { _tag: 'statusReply', question: 1, id: ID, status }, 10);
  expect(resolved).toEqual([status]);
});

test('the next incarnation of the same process is asked about an ended incarnation', () => {
  const { actions } = startResolving([self, dead, member('next', 'alive', 'home1234')], 'nothing');
  expect(actions).toEqual([
    { _tag: 'send', to: 'next', message: { _tag: 'statusRequest', question: 1, id: ID } },
  ]);
});
