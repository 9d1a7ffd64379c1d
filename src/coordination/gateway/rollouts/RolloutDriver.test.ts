import { describe, it } from 'node:test';
import { expect } from 'earl';
import { makePosition } from '../../../protocol/gateway/index.ts';
import type { RolloutOrder } from '../../../state/gateway/index.ts';
import { RolloutDriver, type RolloutOutcome } from './RolloutDriver.ts';

const ORDER: RolloutOrder = { service: 'plain', target: 'v2', durationMs: 15_000, revision: 7 };

const REPORT = { service: 'plain', counts: [], observations: [], condemned: [] };

const makeDriver = (startedMsAgo?: number): RolloutDriver =>
  new RolloutDriver({
    service: 'plain',
    isEngine: false,
    bounds: { exposeShare: 0.1, exposeSlack: 50, rollbackMs: 5_000 },
    mixedSince: 0,
    startedMsAgo: () => startedMsAgo,
    predictMs: () => 20,
  });

const decide = (
  driver: RolloutDriver,
  now: number,
  more: { readonly isStoreReached?: boolean; readonly baseVersion?: string } = {},
): RolloutOutcome =>
  driver.decide(
    {
      members: ['a'],
      slotsByVersion: new Map([
        ['v1', 8],
        ['v2', 8],
      ]),
      baseVersion: 'v1',
      isStoreReached: true,
      ...more,
    },
    now,
  );

describe('RolloutDriver', () => {
  it('lets a newcomer have a share before the store has answered, and everything without an order', () => {
    const driver = makeDriver();
    expect(decide(driver, 100).step).toEqual({ _tag: 'unread', service: 'plain', share: 0.05 });
    driver.observeOrder(undefined, false, 200);
    expect(decide(driver, 300).step).toEqual({ _tag: 'unordered', service: 'plain' });
  });

  it('writes `running` at the revision that it has read, until the store holds it', () => {
    const driver = makeDriver();
    driver.observeOrder(ORDER, false, 100);
    expect(decide(driver, 200).write).toEqual({ state: 'running', target: 'v2', revision: 7 });
    const status = { state: 'running', target: 'v2' } as const;
    driver.observeOrder({ ...ORDER, revision: 8, status }, false, 300);
    expect(decide(driver, 400).write).toEqual(undefined);
  });

  // A version without evidence stays where it is: the old one is known to work.
  it('rolls back at the deadline where evidence is missing, and says why', () => {
    const driver = makeDriver();
    driver.observeOrder(ORDER, true, 100);
    expect(decide(driver, 13_000).step._tag).toEqual('trial');
    const { step, detail, write } = decide(driver, 14_900);
    expect([step._tag, detail, write?.state]).toEqual([
      'rolledBack',
      'deadline: 0 of 20 responses',
      'rolledBack',
    ]);
  });

  it('waits with that while the store is away', () => {
    const driver = makeDriver();
    driver.observeOrder(ORDER, true, 100);
    expect(decide(driver, 20_000, { isStoreReached: false }).step._tag).toEqual('trial');
  });

  // Two drivers, or a write that takes effect seconds later: what the store holds decides.
  (['completed', 'rolledBack'] as const).forEach((state) =>
    it(`follows a final state ${state}, and never writes another one`, () => {
      const driver = makeDriver();
      driver.observeOrder(ORDER, true, 100);
      driver.observeReport('a', { ...REPORT, condemned: ['v2'] }, 200);
      expect(decide(driver, 300).write?.state).toEqual('rolledBack');
      driver.observeOrder({ ...ORDER, revision: 9, status: { state, target: 'v2' } }, false, 400);
      driver.observeOrder({ ...ORDER, revision: 8 }, true, 500);
      const { step, write } = decide(driver, 600);
      expect([step._tag, write]).toEqual([state, undefined]);
    }),
  );

  it('begins anew with an order for another target, whatever the state of the last one', () => {
    const driver = makeDriver();
    const status = { state: 'completed', target: 'v1' } as const;
    driver.observeOrder({ ...ORDER, status }, false, 100);
    expect([decide(driver, 200).step._tag, decide(driver, 200).write?.state]).toEqual([
      'trial',
      'running',
    ]);
  });

  it('takes a final state for the version that served before for one of an earlier roll-out', () => {
    const driver = makeDriver();
    const status = { state: 'completed', target: 'v2' } as const;
    driver.observeOrder({ ...ORDER, status }, false, 100);
    expect(decide(driver, 200, { baseVersion: 'v2' }).step._tag).toEqual('unordered');
  });

  // The store doesn't say when an order was given; a deadline that is assumed too late is missed.
  it('counts an order from the start of its endpoints, or from what an earlier driver said', () => {
    const driver = makeDriver(3_000);
    driver.observeOrder(ORDER, false, 1_000);
    expect(decide(driver, 1_000).orderAgeMs).toEqual(3_500);
    driver.observeReport('a', { ...REPORT, order: { target: 'v2', ageMs: 6_000 } }, 1_000);
    expect(decide(driver, 1_000).orderAgeMs).toEqual(6_000);
    const unclear = makeDriver(-8_000_000);
    unclear.observeOrder(ORDER, false, 1_000);
    expect(decide(unclear, 1_000).orderAgeMs).toEqual(2_500);
  });

  // EXPOSURE: a bad version got requests again, because the store had gone back to before it was rolled back.
  (['completed', 'rolledBack'] as const).forEach((state) =>
    it(`writes \`${state}\` again that the store has lost, and acts by it meanwhile`, () => {
      const driver = makeDriver();
      driver.observeOrder({ ...ORDER, status: { state, target: 'v2' } }, true, 100);
      driver.observeOrder({ ...ORDER, revision: makePosition(1, 5) }, false, 200);
      const { step, write } = decide(driver, 300);
      expect(step._tag).toEqual(state);
      expect(write).toEqual({ state, target: 'v2', revision: makePosition(1, 5) });
      const held = {
        ...ORDER,
        revision: makePosition(1, 9),
        status: { state, target: 'v2' },
      } as const;
      driver.observeOrder(held, true, 400);
      expect([decide(driver, 500).step._tag, decide(driver, 500).write]).toEqual([
        state,
        undefined,
      ]);
    }),
  );
});
