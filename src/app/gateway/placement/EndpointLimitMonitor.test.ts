import { describe, it } from 'node:test';
import { expect } from 'earl';
import pino from 'pino';
import { EndpointLimits } from '../../../coordination/gateway/index.ts';
import type { PeerMessage } from '../../../protocol/peer/PeerMessage.ts';
import type { EndpointRecord } from '../../../state/gateway/index.ts';
import { EndpointLimitMonitor } from './EndpointLimitMonitor.ts';
import type { PeerGroup } from '../PeerGroup.ts';

const RECORD: EndpointRecord = {
  id: 'i-1',
  service: 'plain',
  address: '10.0.0.1:80',
  failureDomain: 'a',
  version: 'v1',
  slots: 4,
  state: 'ready',
  coldMs: 0,
  bornAt: 0,
};
const START = 'i-1/0';
const SCHEDULER = 'gateway-0';

/** Monitors of a group whose messages arrive at once. */
const makeGroup = (size: number) => {
  const state = { now: 10_000, scheduler: SCHEDULER };
  const names = Array.from({ length: size }, (_, index) => `gateway-${index}`);
  const members = new Map<string, { monitor: EndpointLimitMonitor; limits: EndpointLimits }>();
  const sent: string[] = [];
  const deliver = (to: string, message: PeerMessage): boolean => {
    sent.push(to);
    members.get(to)?.monitor.handle(message);
    return true;
  };
  names.forEach((incarnation) => {
    const group = {
      incarnation,
      leader: () => state.scheduler,
      liveMembers: () => names.map((name) => ({ incarnation: name })),
      send: deliver,
      broadcast: (message: PeerMessage) =>
        names.filter((name) => name !== incarnation).forEach((name) => deliver(name, message)),
    };
    const limits = new EndpointLimits();
    const monitor = new EndpointLimitMonitor({
      group: () => group as unknown as PeerGroup,
      limits,
      onChanged: () => {},
      logger: pino({ level: 'silent' }),
      now: () => state.now,
    });
    members.set(incarnation, { monitor, limits });
  });
  const observe = (index: number, requestsPerSecond: number | undefined): void =>
    members
      .get(`gateway-${index}`)
      ?.monitor.observe(
        RECORD,
        requestsPerSecond === undefined ? [] : [{ _tag: 'limit', requestsPerSecond }],
        true,
        state.now - 20,
      );
  const tickFor = (ms: number): void => {
    const until = state.now + ms;
    while (state.now < until) {
      state.now += 50;
      members.forEach(({ monitor }) => monitor.tick());
    }
  };
  const rates = (): number[] =>
    [...members.values()].map(({ limits }) => limits.rateOf(START, state.now));
  return { state, observe, tickFor, rates, sent };
};

describe('EndpointLimitMonitor', () => {
  // Guards against a limit that only the gateway knows whose answer stated it (LIMIT).
  it('tells all gateways a limit that an answer to one of them stated', () => {
    const { observe, tickFor, rates } = makeGroup(4);
    observe(2, 3);
    tickFor(300);
    expect(rates()).toEqual([3, 3, 3, 3]);
  });

  it('tells all gateways the end of a limit', () => {
    const { observe, tickFor, rates } = makeGroup(3);
    observe(1, 3);
    tickFor(500);
    observe(2, undefined);
    tickFor(2_500);
    expect(rates()).toEqual([Infinity, Infinity, Infinity]);
  });

  it('keeps a limit that another gateway confirmed after an answer without it', () => {
    const { observe, tickFor, rates } = makeGroup(3);
    observe(1, 3);
    tickFor(500);
    observe(2, undefined);
    tickFor(50);
    observe(1, 3);
    tickFor(1_000);
    expect(rates()).toEqual([3, 3, 3]);
  });

  it('tells a new scheduler what its predecessor knew', () => {
    const { state, observe, tickFor, rates } = makeGroup(3);
    observe(0, 3);
    state.scheduler = 'gateway-1';
    tickFor(300);
    expect(rates()).toEqual([3, 3, 3]);
  });

  // Guards against traffic that grows with the rate of answers.
  it('sends few messages while a limit changes with each answer', () => {
    const { observe, tickFor, sent } = makeGroup(4);
    for (let answer = 0; answer < 100; answer += 1) {
      observe(answer % 4, 3 + answer / 100);
      tickFor(50);
    }
    const toFollower = sent.filter((to) => to === 'gateway-3').length;
    expect(toFollower <= 5 * 5 + 6).toEqual(true);
  });

  it('sends nothing while no endpoint states a limit', () => {
    const { observe, tickFor, sent } = makeGroup(3);
    for (let answer = 0; answer < 20; answer += 1) observe(answer % 3, undefined);
    tickFor(5_000);
    expect(sent).toEqual([]);
  });
});
