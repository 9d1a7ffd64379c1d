import { describe, it } from 'node:test';
import { expect } from 'earl';
import pino from 'pino';
import { QuotaMeter } from '../../coordination/gateway/index.ts';
import type { PeerMessage } from '../../protocol/peer/PeerMessage.ts';
import type { PlacementTicket } from '../../protocol/peer/Placement.ts';
import type { EndpointRecord } from '../../state/gateway/index.ts';
import type { PlacementAnswer } from './DeskTickets.ts';
import { GatewayMetrics } from './GatewayMetrics.ts';
import type { PeerGroup } from './PeerGroup.ts';
import { PlacementDesk } from './PlacementDesk.ts';

const ACCOUNT = {
  name: 'office',
  keys: [],
  priority: 1,
  quota: { unit: 'tokens' as const, ratePerSecond: 10, burst: 0, defaultTokens: 0 },
};

const ticket = (id: string): PlacementTicket => ({
  id,
  service: 'model',
  route: 'stream',
  account: ACCOUNT.name,
  accountPriority: 1,
  priority: 1,
  promptTokens: 100,
  outputTokens: 10,
  quotaUnits: 110,
  targetMs: 500,
  gapMs: 500,
  tokensPerEvent: 5,
  remainingMs: 5_000,
  avoid: [],
});

const ENGINE: EndpointRecord = {
  id: 'i-1',
  service: 'model',
  address: '10.0.0.1:80',
  failureDomain: 'a',
  version: 'v1',
  slots: 1,
  state: 'ready',
  coldMs: 0,
  bornAt: 0,
};

/** A desk in a group whose scheduler, clock and messages the test holds. */
const makeDesk = (own: string) => {
  const state = { now: 1_000, scheduler: 'first' };
  const sent: { readonly to: string; readonly message: PeerMessage }[] = [];
  const group = {
    incarnation: own,
    scheduler: () => state.scheduler,
    alive: () => [own, state.scheduler],
    cutOff: () => [],
    send: (to: string, message: PeerMessage) => {
      sent.push({ to, message });
      return true;
    },
    broadcast: () => {},
  };
  const bounds = { windowMs: 8_000, overshoot: 0.1, slack: 0 };
  const desk = new PlacementDesk({
    group: () => group as unknown as PeerGroup,
    quotas: new QuotaMeter(bounds, state.now),
    findAccount: () => ACCOUNT,
    configurationVersion: () => 1,
    metrics: new GatewayMetrics(),
    logger: pino({ level: 'silent' }),
    now: () => state.now,
  });
  const answers: PlacementAnswer[] = [];
  const place = (id: string): void =>
    desk.requestSlot(ticket(id), (answer) => answers.push(answer));
  return { desk, state, sent, answers, place };
};

const refusals = (sent: readonly { readonly message: PeerMessage }[]) =>
  sent.flatMap(({ message }) =>
    message._tag === 'placementRefusal' ? [[message.id, message.reason]] : [],
  );

describe('PlacementDesk', () => {
  it('tells a new scheduler which tickets the one before has counted, and which it may not have', () => {
    const { desk, state, sent, place } = makeDesk('own');
    place('early');
    state.now += 50;
    desk.handle('first', { _tag: 'schedulerAlive', configurationVersion: 1 }, state.now);
    state.now += 50;
    place('late');
    state.now += 50;
    state.scheduler = 'second';
    desk.tick();
    const told = sent.flatMap(({ to, message }) =>
      to === 'second' && message._tag === 'placementState' ? message.waiting : [],
    );
    expect(told.map(({ id, quotaUnits }) => [id, quotaUnits])).toEqual([
      ['early', 0],
      ['late', 110],
    ]);
  });

  it('counts tickets that it takes over against their quotas', () => {
    const { desk, state, sent } = makeDesk('first');
    desk.tick();
    const waiting = [{ ...ticket('counted'), quotaUnits: 0 }, ticket('uncounted')];
    desk.handle('other', { _tag: 'placementState', running: [], waiting }, state.now);
    expect(refusals(sent)).toEqual([['uncounted', 'quota']]);
  });

  it('has nothing left to give where others take it for the scheduler before it does', () => {
    const { desk, state, sent } = makeDesk('own');
    desk.tick();
    state.now += 60_000;
    desk.handle('other', { _tag: 'placementRequest', tickets: [ticket('asked')] }, state.now);
    expect(refusals(sent)).toEqual([['asked', 'quota']]);
  });

  it('counts a ticket once though it is told of it again and again', () => {
    const { desk, state, sent } = makeDesk('first');
    desk.tick();
    desk.scheduler.setEngines([ENGINE]);
    state.now += 60_000;
    const message: PeerMessage = {
      _tag: 'placementState',
      running: [{ ticket: ticket('runs'), endpoint: ENGINE.id, ageMs: 0, started: true }],
      waiting: [{ ...ticket('waits'), quotaUnits: 10 }],
    };
    for (let time = 0; time < 10; time += 1) desk.handle('other', message, state.now);
    expect(desk.scheduler.waitingCount).toEqual(1);
    expect(refusals(sent)).toEqual([]);
  });
});
