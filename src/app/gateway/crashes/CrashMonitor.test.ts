import { describe, it } from 'node:test';
import { expect } from 'earl';
import pino from 'pino';
import type { PeerMessage } from '../../../protocol/peer/PeerMessage.ts';
import { CrashMonitor } from './CrashMonitor.ts';
import type { PeerGroup } from '../PeerGroup.ts';

const SERVICE = 'plain';
const FATAL = 'request:fatal';
const fatal = (): string => FATAL;
const sound = (): string => 'request:sound';

/** Monitors of a group whose messages arrive at once; the first one is the scheduler. */
const makeGroup = (size: number) => {
  const state = { now: 10_000, hashes: 0 };
  const names = Array.from({ length: size }, (_, index) => `gateway-${index}`);
  const monitors = new Map<string, CrashMonitor>();
  const sent: PeerMessage[] = [];
  const deliver = (to: string, message: PeerMessage): boolean => {
    sent.push(message);
    monitors.get(to)?.handle(message);
    return true;
  };
  names.forEach((incarnation) => {
    const group = {
      incarnation,
      leader: () => names[0],
      liveMembers: () => names.map((name) => ({ incarnation: name })),
      send: deliver,
      broadcast: (message: PeerMessage) =>
        names.filter((name) => name !== incarnation).forEach((name) => deliver(name, message)),
    };
    monitors.set(
      incarnation,
      new CrashMonitor({
        group: () => group as unknown as PeerGroup,
        logger: pino({ level: 'silent' }),
        now: () => state.now,
      }),
    );
  });
  const at = (index: number): CrashMonitor => {
    const monitor = monitors.get(`gateway-${index}`);
    if (monitor === undefined) throw new Error(`no gateway ${index}`);
    return monitor;
  };
  const crash = (index: number, endpoint: string, ...fingerprints: readonly string[]): void =>
    at(index).recordCrash(
      fingerprints.map((fingerprint) => ({
        id: `${fingerprint} ${endpoint} ${index}`,
        service: SERVICE,
        endpointId: endpoint,
        endpoint,
        address: '10.0.0.1:80',
        parts: [],
        fingerprint,
      })),
      state.now,
    );
  const tick = (): void => {
    state.now += 50;
    monitors.forEach((monitor) => monitor.tick());
  };
  const isRefused = (index: number): boolean =>
    at(index).findQuarantine(SERVICE, [FATAL]) !== undefined;
  return { state, at, crash, tick, isRefused, sent, names };
};

describe('CrashMonitor', () => {
  // Guards against a count that each gateway keeps alone (BUDGET).
  it('refuses a request everywhere after three crashes, each met by another gateway', () => {
    const { at, crash, tick, isRefused } = makeGroup(4);
    at(1).recordAnswer(SERVICE, 'steady', sound);
    [1, 2].forEach((index) => crash(index, `endpoint-${index}`, FATAL));
    tick();
    expect(isRefused(3)).toEqual(false);
    crash(3, 'endpoint-3', FATAL);
    tick();
    expect([0, 1, 2, 3].map(isRefused)).toEqual([true, true, true, true]);
  });

  it('tells every gateway after one crash that its request must not be repeated', () => {
    const { at, crash, tick } = makeGroup(3);
    crash(1, 'endpoint-1', FATAL);
    tick();
    expect(at(2).isSuspect(SERVICE, fatal)).toEqual(true);
    expect(at(2).isSuspect(SERVICE, sound)).toEqual(false);
    expect(at(2).isSuspect('other', fatal)).toEqual(false);
  });

  it('ends the quarantine of a request that was answered after it', () => {
    const { state, at, crash, tick, isRefused } = makeGroup(3);
    at(1).recordAnswer(SERVICE, 'steady', sound);
    ['a', 'b', 'c'].forEach((endpoint) => crash(1, endpoint, FATAL));
    tick();
    expect(isRefused(2)).toEqual(true);
    state.now += 1_500;
    expect(at(0).decideRequest(SERVICE, [FATAL], true)._tag).toEqual('trial');
    at(2).recordAnswer(SERVICE, 'steady', fatal);
    tick();
    expect([0, 1, 2].map(isRefused)).toEqual([false, false, false]);
    expect(at(0).quarantined).toEqual({ parts: 0, requests: 0 });
  });

  it('admits trials at the scheduler only', () => {
    const { state, at, crash, tick } = makeGroup(3);
    at(1).recordAnswer(SERVICE, 'steady', sound);
    ['a', 'b', 'c'].forEach((endpoint) => crash(1, endpoint, FATAL));
    tick();
    state.now += 1_500;
    expect(at(2).decideRequest(SERVICE, [FATAL], true)._tag).toEqual('refused');
    expect(at(0).decideRequest(SERVICE, [FATAL], true)._tag).toEqual('trial');
  });

  // Guards against a cost of sound requests while nothing crashes.
  it('neither hashes a request nor sends a message for an answer while nothing crashes', () => {
    const { at, sent } = makeGroup(3);
    const unexpected = (): string => {
      throw new Error('hashed');
    };
    at(1).recordAnswer(SERVICE, 'steady', unexpected);
    expect(at(1).quarantinedFingerprint(SERVICE, unexpected)).toEqual([]);
    expect(at(1).isSuspect(SERVICE, unexpected)).toEqual(false);
    expect(sent).toEqual([]);
  });

  it('makes a quarantined request due for a trial when a version is new', () => {
    const { at, crash, tick, isRefused } = makeGroup(2);
    at(0).followVersions(SERVICE, new Set(['v1']));
    at(1).recordAnswer(SERVICE, 'steady', sound);
    ['a', 'b', 'c'].forEach((endpoint) => crash(1, endpoint, FATAL));
    tick();
    expect(isRefused(1)).toEqual(true);
    at(0).followVersions(SERVICE, new Set(['v1', 'v2']));
    expect(isRefused(1)).toEqual(false);
    expect(at(0).decideRequest(SERVICE, [FATAL], true)._tag).toEqual('trial');
  });
});
