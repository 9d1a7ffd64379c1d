import { describe, it } from 'node:test';
import { expect } from 'earl';
import pino from 'pino';
import { EndpointLimits, QuotaLimiter } from '../../../coordination/gateway/index.ts';
import type { PeerMessage } from '../../../protocol/peer/PeerMessage.ts';
import type { PlacementTicket } from '../../../protocol/peer/GatewayMessages.ts';
import type { EndpointRecord } from '../../../state/gateway/index.ts';
import type { PlacementAnswer } from './LocalTickets.ts';
import { CrashMonitor } from '../crashes/CrashMonitor.ts';
import { GatewayMetrics } from '../GatewayMetrics.ts';
import type { PeerGroup } from '../PeerGroup.ts';
import { PlacementCoordinator } from './PlacementCoordinator.ts';

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

/** Creates a coordinator in a group whose leader, clock and messages the test controls. */
const makeCoordinator = (own: string) => {
  const state = { now: 1_000, leader: 'first' };
  const sent: { readonly to: string; readonly message: PeerMessage }[] = [];
  const group = {
    incarnation: own,
    leader: () => state.leader,
    liveMembers: () => [own, state.leader],
    recentlyLostMembers: () => [],
    unmetCount: () => 0,
    leaderSupport: () => 1,
    reachedCount: () => 2,
    sizeEstimate: () => group.liveMembers().length,
    awaitsContact: () => false,
    send: (to: string, message: PeerMessage) => {
      sent.push({ to, message });
      return true;
    },
    broadcast: () => {},
  };
  const bounds = { windowMs: 8_000, overshoot: 0.1, slack: 0 };
  const shared = {
    metrics: new GatewayMetrics(),
    logger: pino({ level: 'silent' }),
    now: () => state.now,
  };
  const coordinator = new PlacementCoordinator({
    group: () => group as unknown as PeerGroup,
    quotas: new QuotaLimiter(bounds, state.now),
    limits: new EndpointLimits(),
    findAccount: () => ACCOUNT,
    configurationVersion: () => 1,
    crashes: new CrashMonitor({ ...shared, group: () => group as unknown as PeerGroup }),
    ...shared,
  });
  const answers: PlacementAnswer[] = [];
  const place = (id: string, more: Partial<PlacementTicket> = {}): void =>
    coordinator.requestSlot({ ...ticket(id), ...more }, (answer) => answers.push(answer));
  return { coordinator, state, sent, answers, place };
};

const refusals = (sent: readonly { readonly message: PeerMessage }[]) =>
  sent.flatMap(({ message }) =>
    message._tag === 'placementRefusal' ? [[message.id, message.reason]] : [],
  );

describe('PlacementCoordinator', () => {
  // Guards against tickets that are placed without a charge because their scheduler never got them (QUOTA):
  // that it is heard doesn't mean that it hears.
  it('reports tickets as charged to a new leader only if its predecessor confirmed that', () => {
    const { coordinator, state, sent, place } = makeCoordinator('own');
    place('confirmed');
    place('unconfirmed');
    state.now += 50;
    coordinator.handle('first', { _tag: 'placementQueued', ids: ['confirmed'] }, state.now);
    coordinator.handle('first', { _tag: 'schedulerAlive', configurationVersion: 1 }, state.now);
    state.now += 50;
    state.now += 50;
    state.leader = 'second';
    coordinator.tick();
    const reported = sent.flatMap(({ to, message }) =>
      to === 'second' && message._tag === 'placementState' ? message.waiting : [],
    );
    expect(reported.map(({ id, quotaUnits }) => [id, quotaUnits])).toEqual([
      ['confirmed', 0],
      ['unconfirmed', 110],
    ]);
  });

  // QUOTA: guards against a request that counts as charged though the scheduler held or refused its withdrawn ticket.
  it('says of a withdrawn ticket that it is charged only if a scheduler confirmed that', () => {
    const { coordinator, state, place } = makeCoordinator('own');
    place('confirmed');
    place('unconfirmed');
    coordinator.handle('first', { _tag: 'placementQueued', ids: ['confirmed'] }, state.now);
    expect(coordinator.withdraw('confirmed')).toEqual(true);
    expect(coordinator.withdraw('unconfirmed')).toEqual(false);
    expect(coordinator.withdraw('unknown')).toEqual(false);
  });

  // Guards against second copies of a gateway that doesn't know the load of the service.
  it('refuses the ticket of a second copy if the scheduler is silent', () => {
    const { coordinator, state, answers, place } = makeCoordinator('own');
    coordinator.scheduler.setEngines([{ ...ENGINE, slots: 8 }]);
    place('copy', { quotaUnits: 0, immediate: true, hedge: { failureDomain: 'b' } });
    state.now += 400;
    coordinator.tick();
    expect(answers.map(({ _tag }) => _tag)).toEqual(['refused']);
  });

  it('confirms charges of tickets that wait, and of no others', () => {
    const { coordinator, state, sent } = makeCoordinator('first');
    coordinator.tick();
    coordinator.scheduler.setEngines([ENGINE]);
    state.now += 60_000;
    const tickets = ['runs', 'waits'].map((id) => ({ ...ticket(id), quotaUnits: 5 }));
    coordinator.handle('other', { _tag: 'placementRequest', tickets }, state.now);
    state.now += 50;
    coordinator.tick();
    coordinator.tick();
    const confirmed = sent.flatMap(({ message }) =>
      message._tag === 'placementQueued' ? [message.ids] : [],
    );
    expect(confirmed).toEqual([['waits']]);
  });

  it('charges tickets that it takes over to their quotas', () => {
    const { coordinator, state, sent } = makeCoordinator('first');
    coordinator.tick();
    const waiting = [{ ...ticket('counted'), quotaUnits: 0 }, ticket('uncounted')];
    coordinator.handle('other', { _tag: 'placementState', running: [], waiting }, state.now);
    expect(refusals(sent)).toEqual([['uncounted', 'quota']]);
  });

  it('starts with empty quota buckets if other gateways learn first that it is the leader', () => {
    const { coordinator, state, sent } = makeCoordinator('own');
    coordinator.tick();
    state.now += 60_000;
    coordinator.handle(
      'other',
      { _tag: 'placementRequest', tickets: [ticket('asked')] },
      state.now,
    );
    expect(refusals(sent)).toEqual([['asked', 'quota']]);
  });

  // Guards against two schedulers that place one request, because a paused one goes on with what it knew before.
  it('gives a grant back that another gateway made than its scheduler', () => {
    const { coordinator, state, sent, answers, place } = makeCoordinator('own');
    place('moved');
    state.leader = 'second';
    coordinator.tick();
    const grant = { _tag: 'placementGrant', id: 'moved', endpoint: ENGINE.id } as const;
    coordinator.handle('first', grant, state.now);
    expect(answers).toEqual([]);
    const back = { _tag: 'placementEnd', id: 'moved', result: { outcome: 'unused' } } as const;
    expect(sent.at(-1)).toEqual({ to: 'first', message: back });
    coordinator.handle('second', grant, state.now);
    expect(answers.map(({ _tag }) => _tag)).toEqual(['granted']);
  });

  it('charges a ticket once although it is reported repeatedly', () => {
    const { coordinator, state, sent } = makeCoordinator('first');
    coordinator.tick();
    coordinator.scheduler.setEngines([ENGINE]);
    state.now += 60_000;
    const message: PeerMessage = {
      _tag: 'placementState',
      running: [{ ticket: ticket('runs'), endpoint: ENGINE.id, ageMs: 0, started: true }],
      waiting: [{ ...ticket('waits'), quotaUnits: 10 }],
    };
    for (let repeat = 0; repeat < 10; repeat += 1) coordinator.handle('other', message, state.now);
    expect(coordinator.scheduler.waitingCount).toEqual(1);
    expect(refusals(sent)).toEqual([]);
  });
});
