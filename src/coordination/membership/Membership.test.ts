import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { PeerMessage } from '../../protocol/peer/PeerMessage.ts';
import type { Member } from '../../state/Member.ts';
import { TIMING } from '../../../test/fakes/schedulingInputs.ts';
import type { Action } from '../Action.ts';
import { Membership } from './Membership.ts';

/** Simulated time between two ticks. */
const STEP_MS = 25;
/** Simulated time for views to converge. */
const SETTLE_MS = 12_000;

interface Packet {
  readonly at: number;
  readonly from: string;
  readonly to: string;
  readonly message: PeerMessage;
}

interface Node {
  readonly index: number;
  incarnation: string;
  restarts: number;
  membership: Membership;
  pausedUntil: number;
  isDead: boolean;
}

const memberOf = (index: number, incarnation: string): Member => ({
  incarnation,
  callerAddress: `127.0.0.1:${8_000 + index}`,
  peerAddress: `127.0.0.1:${7_000 + index}`,
  failureDomain: `d${index % 3}`,
  region: 'default',
  status: 'alive',
  revision: 0,
  draining: false,
});

/**
 * Simulated network between memberships. It drops, duplicates and reorders packets pseudo-randomly,
 * from a seed.
 */
class Network {
  readonly nodes: Node[];

  now = 0;

  lossPercent = 0;

  maximumUpdates = 0;

  private inTransit: Packet[] = [];

  private readonly random;

  constructor(size: number, seed: number) {
    this.random = xoroshiro128plus(seed);
    this.nodes = Array.from({ length: size }, (_, index) => {
      const incarnation = `n${index}x0`;
      const self = memberOf(index, incarnation);
      const random = xoroshiro128plus(seed + index);
      const membership = new Membership({ self, timing: TIMING, random });
      return { index, incarnation, restarts: 0, membership, pausedUntil: 0, isDead: false };
    });
    const addresses = this.nodes.map(({ index }) => memberOf(index, '').peerAddress);
    this.nodes.forEach((node) => this.send(node, node.membership.join(addresses, 0)));
  }

  run(durationMs: number): void {
    const until = this.now + durationMs;
    while (this.now < until) {
      this.now += STEP_MS;
      const due = this.inTransit.filter(({ at }) => at <= this.now);
      this.inTransit = this.inTransit.filter(({ at }) => at > this.now);
      due.forEach((packet) => this.deliver(packet));
      this.nodes.filter((node) => this.isUp(node)).forEach((node) => this.tick(node));
    }
  }

  isUp(node: Node): boolean {
    return !node.isDead && node.pausedUntil <= this.now;
  }

  private tick(node: Node): void {
    const { membership } = node;
    this.send(node, membership.tick(this.now));
    if (membership.lease(this.now)._tag !== 'lapsed') return;
    const restarts = node.restarts + 1;
    Object.assign(node, { restarts, incarnation: `n${node.index}x${restarts}` });
    this.send(node, membership.restart(node.incarnation, this.now));
  }

  private send(node: Node, actions: readonly Action[]): void {
    actions.forEach((action) => {
      if (action._tag === 'decide') return;
      const address =
        action._tag === 'sendAddress' ? action.to : node.membership.find(action.to)?.peerAddress;
      if (address === undefined) return;
      const { message } = action;
      if ('updates' in message) {
        this.maximumUpdates = Math.max(this.maximumUpdates, message.updates.length);
      }
      const copies = uniformInt(this.random, 0, 99) < 5 ? 2 : 1;
      for (let copy = 0; copy < copies; copy += 1) {
        const isLost = uniformInt(this.random, 0, 99) < this.lossPercent;
        const at = this.now + uniformInt(this.random, 1, 40);
        if (!isLost) this.inTransit.push({ at, from: node.incarnation, to: address, message });
      }
    });
  }

  private deliver({ from, to, message }: Packet): void {
    const node = this.nodes.find(({ index }) => memberOf(index, '').peerAddress === to);
    if (node === undefined || node.isDead) return;
    if (!this.isUp(node)) {
      this.inTransit.push({ at: node.pausedUntil, from, to, message });
      return;
    }
    this.send(node, node.membership.handle(from, message, this.now));
  }
}

const liveIncarnationsIn = (node: Node): readonly string[] =>
  node.membership
    .liveMembers()
    .map(({ incarnation }) => incarnation)
    .sort();

test('members discover each other, detect a dead member and readmit a paused one', () => {
  const scenario = fc.record({
    size: fc.integer({ min: 3, max: 9 }),
    seed: fc.nat(100_000),
    lossPercent: fc.integer({ min: 0, max: 20 }),
    pauseMs: fc.integer({ min: 0, max: 9_000 }),
  });
  fc.assert(
    fc.property(scenario, ({ size, seed, lossPercent, pauseMs }) => {
      const network = new Network(size, seed);
      network.run(4_000);
      network.lossPercent = lossPercent;
      const [dead, paused] = [network.nodes[0]!, network.nodes[1]!];
      dead.isDead = true;
      paused.pausedUntil = network.now + pauseMs;
      network.run(pauseMs + 5_000);
      network.lossPercent = 0;
      network.run(SETTLE_MS);
      const live = network.nodes.filter(({ isDead }) => !isDead);
      const expected = live.map(({ incarnation }) => incarnation).sort();
      live.forEach((node) => expect(liveIncarnationsIn(node)).toEqual(expected));
      expect(network.maximumUpdates <= 5).toEqual(true);
    }),
    { seed: 11, numRuns: 40 },
  );
});

test('the lease of a paused member lapses before peers may report its requests as not run', () => {
  const scenario = fc.record({ seed: fc.nat(100_000), size: fc.integer({ min: 3, max: 6 }) });
  fc.assert(
    fc.property(scenario, ({ seed, size }) => {
      const network = new Network(size, seed);
      network.run(4_000);
      const [paused, peer] = [network.nodes[0]!, network.nodes[1]!];
      const { incarnation } = paused;
      const lease = paused.membership.lease(network.now);
      paused.pausedUntil = network.now + 60_000;
      network.run(10_000);
      const lastContactAt = peer.membership.lastContactAt(incarnation)!;
      expect(lease._tag).toEqual('held');
      const expiresAtMs = lease._tag === 'held' ? lease.expiresAtMs : 0;
      const latestContactAt = Math.max(
        ...network.nodes
          .slice(1)
          .map(({ membership }) => membership.lastContactAt(incarnation) ?? 0),
      );
      expect(expiresAtMs <= latestContactAt + TIMING.incarnationLeaseMs).toEqual(true);
      expect(lastContactAt > 0).toEqual(true);
      expect(paused.membership.lease(expiresAtMs + 1)._tag).toEqual('lapsed');
      expect(liveIncarnationsIn(peer).includes(incarnation)).toEqual(false);
    }),
    { seed: 12, numRuns: 40 },
  );
});

test('a process that has never received a message from a peer needs no lease', () => {
  const random = xoroshiro128plus(1);
  const membership = new Membership({ self: memberOf(0, 'solo'), timing: TIMING, random });
  membership.join(['127.0.0.1:7001'], 0);
  membership.tick(60_000);
  expect(membership.lease(60_000)).toEqual({ _tag: 'unneeded' });
});

test('a draining member stays live but accepts no new requests, and a leaving member is no longer live', () => {
  const network = new Network(3, 5);
  network.run(3_000);
  const [first, second] = [network.nodes[0]!, network.nodes[1]!];
  first.membership.drain(network.now);
  network.run(3_000);
  const isFirst = ({ incarnation }: Member): boolean => incarnation === first.incarnation;
  expect(second.membership.liveMembers().some(isFirst)).toEqual(true);
  expect(second.membership.acceptingMembers().some(isFirst)).toEqual(false);
  const leaveActions = first.membership.leave(network.now);
  leaveActions.forEach((action) => {
    if (action._tag !== 'send' || action.to !== second.incarnation) return;
    second.membership.handle(first.incarnation, action.message, network.now);
  });
  expect(second.membership.liveMembers().some(isFirst)).toEqual(false);
});
