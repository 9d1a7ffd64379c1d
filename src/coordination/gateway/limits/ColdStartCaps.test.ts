import { describe, it } from 'node:test';
import { expect } from 'earl';
import * as fc from 'fast-check';
import type { EndpointRecord } from '../../../state/gateway/index.ts';
import type { Member } from '../../../state/Member.ts';
import { ColdStartCaps } from './ColdStartCaps.ts';
import { deriveColdRates } from './deriveColdRates.ts';
import { EndpointOwners } from './EndpointOwners.ts';

const SEED = 20_261_204;
const STEP_MS = 10;
const SECOND_MS = 1_000;
/** Bounds of the wire desk: 21.5 requests in any second. */
const BOUNDS = { coldOvershoot: 1.5, coldSlack: 5 };
const BOUND = 11 * BOUNDS.coldOvershoot + BOUNDS.coldSlack;
const SERVICE = {
  name: 'model',
  healthPath: '/',
  maximumConnections: 9,
  coldStart: { durationMs: 3_000, requestsPerSecond: 11 },
};
const RECORD: EndpointRecord = {
  id: 'i-1',
  service: 'model',
  address: '10.0.0.1:80',
  failureDomain: 'a',
  version: 'v1',
  slots: 7,
  state: 'ready',
  coldMs: 0,
  bornAt: 1,
};
const START = 'i-1/1';

const makeCaps = (bounds = BOUNDS, requestsPerSecond = 11): ColdStartCaps => {
  const caps = new ColdStartCaps();
  const coldStart = { ...SERVICE.coldStart, requestsPerSecond };
  caps.setServices([{ ...SERVICE, coldStart }], bounds, 0);
  caps.observe(RECORD, { revision: 5, isNew: false }, 0);
  return caps;
};

/** Sends as much as caps allow, and returns the times at which requests were sent. */
const sendAll = (caps: ColdStartCaps, from: number, until: number, start = START): number[] => {
  const times: number[] = [];
  for (let now = from; now < until; now += STEP_MS) {
    while (caps.msUntilAllowed(start, now) <= 0 && times.length < 10_000) {
      caps.consume(start, now);
      times.push(now);
    }
  }
  return times;
};

const mostInSecond = (times: readonly number[]): number =>
  Math.max(
    0,
    ...times.map((from) => times.filter((at) => at >= from && at < from + SECOND_MS).length),
  );

const members = (size: number): Member[] =>
  Array.from({ length: size }, (_, index) => ({ incarnation: `g-${index}` }) as Member);

/** The caps of all gateways of a group that decide alone. */
const makeGroup = (size: number, bounds = BOUNDS, rate = 11): ColdStartCaps[] => {
  const owners = new EndpointOwners();
  owners.setMembers(members(size));
  return members(size).map(({ incarnation }) => {
    const caps = makeCaps(bounds, rate);
    const isOwner = (id: string, count: number) => owners.isOwner(incarnation, id, count);
    caps.setPart({ _tag: 'alone', isOwner });
    return caps;
  });
};

describe('ColdStartCaps', () => {
  // Guards against a crash of an endpoint that turned cold without notice while all that may send to it do: the
  // scheduler and the gateways that don't hear it. A share with one request for each of 90 would send 90 at once.
  it('plans for at most 0.8 of the bound in any second, over all gateways', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 30 }),
        fc.integer({ min: 10, max: 30 }),
        fc.integer({ min: 0, max: 20 }),
        fc.integer({ min: 1, max: 40 }),
        (rate, tenfoldOvershoot, coldSlack, size) => {
          const bounds = { coldOvershoot: tenfoldOvershoot / 10, coldSlack };
          const bound = rate * bounds.coldOvershoot + coldSlack;
          const alone = makeGroup(size, bounds, rate).flatMap((caps) => sendAll(caps, 0, 5_000));
          const times = [...sendAll(makeCaps(bounds, rate), 0, 5_000), ...alone];
          expect(mostInSecond(times) <= Math.max(1, 0.8 * bound) + 1e-9).toEqual(true);
        },
      ),
      { seed: SEED, numRuns: 40 },
    );
  });

  it('allows a warm endpoint of the wire desk its rate at length', () => {
    expect(sendAll(makeCaps(), 1_000, 21_000).length >= 20 * 10.9).toEqual(true);
  });

  // Guards against a new scheduler that adds a full bucket to what its predecessor, which learns of it 0.35 s later,
  // still sends, while gateways decide alone.
  it('keeps the bound when the scheduler changes', () => {
    const [old, next] = [makeCaps(), makeCaps()];
    const before = sendAll(old, 2_000, 5_350);
    next.reset(5_000);
    const alone = makeGroup(90).flatMap((caps) => sendAll(caps, 4_000, 8_000));
    const times = [...before, ...sendAll(next, 5_000, 8_000), ...alone];
    expect(mostInSecond(times) <= BOUND).toEqual(true);
  });

  // Guards against schedulers on all sides of a network partition that each send one request at once.
  it('keeps the bound when the gateways are split into six sides', () => {
    const sides = Array.from({ length: 6 }, () => {
      const caps = makeCaps();
      caps.setPart({ _tag: 'scheduled', share: 1 / 6 });
      return sendAll(caps, 1_000, 6_000);
    });
    const alone = makeGroup(90).flatMap((caps) => sendAll(caps, 1_000, 6_000));
    expect(mostInSecond([...sides.flat(), ...alone]) <= BOUND).toEqual(true);
  });

  // Guards against requests that the scheduler before counted, and that are given back to the next one.
  it('takes back only what it has counted since it was emptied', () => {
    const caps = makeCaps();
    sendAll(caps, 2_000, 4_000);
    caps.reset(4_000);
    for (let count = 0; count < 5; count += 1) caps.refund(START, 4_000);
    expect(caps.msUntilAllowed(START, 4_000) > 80).toEqual(true);
    const granted = sendAll(caps, 4_000, 4_110).length;
    caps.refund(START, 4_110);
    expect([granted, caps.msUntilAllowed(START, 4_110)]).toEqual([1, 0]);
  });

  // Guards against gateways that start at once and each take themselves for the only one.
  it('sends nothing in the first second of a process', () => {
    expect(sendAll(makeCaps(), 0, 990)).toEqual([]);
  });

  // Guards against endpoints that come back from a drain together, all cold, with records that say that they are warm.
  it('takes a domain as cold until a record says otherwise that was written later', () => {
    const caps = makeCaps();
    expect(caps.takeDomainAsCold('a', 9, 5_000)).toEqual(1);
    caps.observe(RECORD, { revision: 8, isNew: false }, 5_100);
    expect(caps.isCold(START, 5_200)).toEqual(true);
    expect(mostInSecond(sendAll(caps, 5_200, 7_900)) <= 12).toEqual(true);
    caps.observe(RECORD, { revision: 10, isNew: false }, 5_300);
    expect(caps.isCold(START, 5_400)).toEqual(false);
  });

  it('takes an endpoint as cold that registers during traffic, or says that it is', () => {
    const caps = makeCaps();
    const other = { ...RECORD, id: 'i-2' };
    expect(caps.observe(other, { revision: 6, isNew: true }, 1_000)).toEqual(true);
    expect([caps.isCold('i-2/1', 3_999), caps.isCold('i-2/1', 4_000)]).toEqual([true, false]);
    const cold = { ...RECORD, coldMs: 700 };
    expect(caps.observe(cold, { revision: 7, isNew: false }, 5_000)).toEqual(true);
    expect([caps.countCold(5_699), caps.countCold(5_700)]).toEqual([1, 0]);
  });

  it('caps nothing where settings or configuration state no bound', () => {
    const caps = new ColdStartCaps();
    caps.setServices([SERVICE], {}, 0);
    caps.observe(RECORD, { revision: 5, isNew: false }, 0);
    expect([caps.isEmpty, caps.msUntilAllowed(START, 0)]).toEqual([true, 0]);
    expect(makeCaps(BOUNDS, 0).isCapped(START)).toEqual(false);
  });

  it('gives gateways that decide alone no part of a bound that is too low for them', () => {
    const rates = deriveColdRates({ requestsPerSecond: 2, overshoot: 1.5, slack: 2 });
    expect(rates.owners).toEqual(0);
  });
});
