import { test } from 'node:test';
import { expect } from 'earl';
import type { Action } from '../Action.ts';
import { PoolScheduler } from './PoolScheduler.ts';
import {
  POLICY,
  poolBundle,
  poolReservation,
  poolRouting,
  TIMING,
} from '../../../test/fakes/schedulingInputs.ts';

const makeScheduler = (slots = 1): PoolScheduler => {
  const scheduler = new PoolScheduler({ pool: 'p', policy: POLICY, timing: TIMING });
  scheduler.configure(
    { bundle: poolBundle([{ slots }]), routing: poolRouting(), leaving: new Set() },
    0,
  );
  return scheduler;
};

const messagesOf = (actions: readonly Action[]) =>
  actions.flatMap((action) => (action._tag === 'send' ? [action.message] : []));

const grantedIds = (actions: readonly Action[]): readonly string[] =>
  messagesOf(actions).flatMap((message) =>
    message._tag === 'granted' ? message.grants.map(({ id }) => id) : [],
  );

test('a reservation gets a free slot at once, and the next one waits while the endpoint is full', () => {
  const scheduler = makeScheduler();
  const actions = scheduler.reserve('home', [poolReservation('a'), poolReservation('b')], 0);
  expect(grantedIds(actions)).toEqual(['a']);
  expect(scheduler.findingOf('b', false)).toEqual('waiting');
});

test('a repeated reservation gets the same grant and takes no second slot', () => {
  const scheduler = makeScheduler(2);
  scheduler.reserve('home', [poolReservation('a')], 0);
  expect(grantedIds(scheduler.reserve('home', [poolReservation('a')], 10))).toEqual(['a']);
  expect(scheduler.snapshot().running).toEqual(1);
});

test('a lower tier is suspended for a higher one that would be late, and resumes afterwards', () => {
  const scheduler = makeScheduler();
  scheduler.reserve('home', [poolReservation('low', { tierRank: 2, outputTokens: 400 })], 0);
  scheduler.reserve('home', [poolReservation('high', { tierRank: 0, remainingMs: 800 })], 100);
  expect(messagesOf(scheduler.tick(150)).some(({ _tag }) => _tag === 'suspend')).toEqual(true);
  expect(grantedIds(scheduler.confirmSuspension('home', 'low', 160))).toEqual(['high']);
  scheduler.withdraw('home', ['high'], 200);
  expect(scheduler.snapshot().running).toEqual(1);
  expect(scheduler.snapshot().suspended).toEqual(0);
});
