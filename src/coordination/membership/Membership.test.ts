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

const STEP_MS = 25;
const SETTLE_MS = 12_000;

interface Letter {
  readonly at: number;
  readonly from: string;
  readonly to: string;
  readonly message: PeerMessage;
}

interface Node {
  readonly index: number;
  incarnation: string;
  restarts: number;
  machine: Membership;
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

/** Machines joined by a network that loses, repeats and reorders by a seed. */
class Network {
  readonly nodes: Node[];

  now = 0;

  lossPercent = 0;

  maximumUpdates = 0;

  private letters: Letter[] = [];

  private readonly random;

  constructor(size: number, seed: number) {
    this.random = xoroshiro128plus(seed);
    this.nodes = Array.from({ length: size }, (_, index) => {
      const incarnation = `n${index}x0`;
      const self = memberOf(index, incarnation);
      const random = xoroshiro128plus(seed + index);
      const machine = new Membership({ self, timing: TIMING, random });
      return { index, incarnation, restarts: 0, machine, pausedUntil: 0, isDead: false };
    });
    const addresses = this.nodes.map(({ index }) => memberOf(index, '').peerAddress);
    this.nodes.forEach((node) => this.post(node, node.machine.join(addresses, 0)));
  }

  run(forMs: number): void {
    const until = this.now + forMs;
    while (this.now < until) {
      this.now += STEP_MS;
      const due = this.letters.filter(({ at }) => at <= this.now);
      this.letters = this.letters.filter(({ at }) => at > this.now);
      due.forEach((letter) => this.deliver(letter));
      this.nodes.filter((node) => this.isUp(node)).forEach((node) => this.tick(node));
    }
  }

  isUp(node: Node): boolean {
    return !node.isDead && node.pausedUntil <= this.now;
  }

  private tick(node: Node): void {
    const { machine } = node;
    this.post(node, machine.tick(this.now));
    if (machine.lease(this.now)._tag !== 'lapsed') return;
    const restarts = node.restarts + 1;
    Object.assign(node, { restarts, incarnation: `n${node.index}x${restarts}` });
    this.post(node, machine.restart(node.incarnation, this.now));
  }

  private post(node: Node, actions: readonly Action[]): void {
    actions.forEach((action) => {
      if (action._tag === 'decide') return;
      const address =
        action._tag === 'sendAddress' ? action.to : node.machine.find(action.to)?.peerAddress;
      if (address === undefined) return;
      const { message } = action;
      if ('updates' in message) {
        this.maximumUpdates = Math.max(this.maximumUpdates, message.updates.length);
      }
      const copies = uniformInt(this.random, 0, 99) < 5 ? 2 : 1;
      for (let copy = 0; copy < copies; copy += 1) {
        const isLost = uniformInt(this.random, 0, 99) < this.lossPercent;
        const at = this.now + uniformInt(this.random, 1, 40);
        if (!isLost) this.letters.push({ at, from: node.incarnation, to: address, message });
      }
    });
  }

  private deliver({ from, to, message }: Letter): void {
    const node = this.nodes.find(({ index }) => memberOf(index, '').peerAddress === to);
    if (node === undefined || node.isDead) return;
    if (!this.isUp(node)) {
      this.letters.push({ at: node.pausedUntil, from, to, message });
      return;
    }
    this.post(node, node.machine.handle(from, message, this.now));
  }
}

const aliveIn = (node: Node): readonly string[] =>
  node.machine
    .liveMembers()
    .map(({ incarnation }) => incarnation)
    .sort();

test('a fleet finds itself, a dead member is found dead and a live one is never left out for good', () => {
  const setting = fc.record({
    size: fc.integer({ min: 3, max: 9 }),
    seed: fc.nat(100_000),
    lossPercent: fc.integer({ min: 0, max: 20 }),
    pauseMs: fc.integer({ min: 0, max: 9_000 }),
  });
  fc.assert(
    fc.property(setting, ({ size, seed, lossPercent, pauseMs }) => {
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
      live.forEach((node) => expect(aliveIn(node)).toEqual(expected));
      expect(network.maximumUpdates <= 5).toEqual(true);
    }),
    { seed: 11, numRuns: 40 },
  );
});

test('the lease of a member that nobody hears has lapsed before peers may take its work for not run', () => {
  const setting = fc.record({ seed: fc.nat(100_000), size: fc.integer({ min: 3, max: 6 }) });
  fc.assert(
    fc.property(setting, ({ seed, size }) => {
      const network = new Network(size, seed);
      network.run(4_000);
      const [paused, peer] = [network.nodes[0]!, network.nodes[1]!];
      const { incarnation } = paused;
      const lease = paused.machine.lease(network.now);
      paused.pausedUntil = network.now + 60_000;
      network.run(10_000);
      const heardAt = peer.machine.lastContactAt(incarnation)!;
      expect(lease._tag).toEqual('held');
      const untilMs = lease._tag === 'held' ? lease.untilMs : 0;
      const heardLast = Math.max(
        ...network.nodes.slice(1).map(({ machine }) => machine.lastContactAt(incarnation) ?? 0),
      );
      expect(untilMs <= heardLast + TIMING.incarnationLeaseMs).toEqual(true);
      expect(heardAt > 0).toEqual(true);
      expect(paused.machine.lease(untilMs + 1)._tag).toEqual('lapsed');
      expect(aliveIn(peer).includes(incarnation)).toEqual(false);
    }),
    { seed: 12, numRuns: 40 },
  );
});

test('a process that never met a peer needs no lease', () => {
  const random = xoroshiro128plus(1);
  const machine = new Membership({ self: memberOf(0, 'solo'), timing: TIMING, random });
  machine.join(['127.0.0.1:7001'], 0);
  machine.tick(60_000);
  expect(machine.lease(60_000)).toEqual({ _tag: 'unneeded' });
});

test('a member that drains stays alive but no longer serves, and one that leaves is gone', () => {
  const network = new Network(3, 5);
  network.run(3_000);
  const [first, second] = [network.nodes[0]!, network.nodes[1]!];
  first.machine.drain(network.now);
  network.run(3_000);
  const isFirst = ({ incarnation }: Member): boolean => incarnation === first.incarnation;
  expect(second.machine.liveMembers().some(isFirst)).toEqual(true);
  expect(second.machine.acceptingMembers().some(isFirst)).toEqual(false);
  const farewells = first.machine.leave(network.now);
  farewells.forEach((action) => {
    if (action._tag !== 'send' || action.to !== second.incarnation) return;
    second.machine.handle(first.incarnation, action.message, network.now);
  });
  expect(second.machine.liveMembers().some(isFirst)).toEqual(false);
});
