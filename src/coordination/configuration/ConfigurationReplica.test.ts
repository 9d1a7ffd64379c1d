import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { makeBundle, makeMove, START } from '../../../test/fakes/makeBundle.ts';
import type { Configuration } from '../../state/Configuration.ts';
import type { Member } from '../../state/Member.ts';
import type { MoveState, MoveStatus } from '../../state/MoveStatus.ts';
import type { Verdict } from '../../state/Verdict.ts';
import { moveKey } from '../../state/moveKey.ts';
import type { Action } from '../Action.ts';
import { ConfigurationReplica } from './ConfigurationReplica.ts';
import { isRelay } from './isRelay.ts';

const MOVE = makeMove();
const KEY = moveKey(MOVE);

const configuration = (rollNumber: number): Configuration => ({
  rollNumber,
  digest: `sha256:${rollNumber}`,
  bundle: makeBundle(rollNumber, [MOVE]),
});

const member = (incarnation: string, failureDomain = 'a'): Member => ({
  incarnation,
  callerAddress: '127.0.0.1:1',
  peerAddress: `127.0.0.1:${incarnation.length}`,
  failureDomain,
  region: 'default',
  status: 'alive',
  revision: 0,
  draining: false,
});

const makeReplica = (incarnation = 'one') =>
  new ConfigurationReplica({ incarnation, failureDomain: 'a' }, xoroshiro128plus(1));

const status = (state: MoveState, fencing = 1, sequence = 1): MoveStatus => ({
  rollNumber: 1,
  move: KEY,
  fencing,
  sequence,
  state,
});

const verdict: Verdict = {
  rollNumber: 1,
  move: KEY,
  pool: 'summaries',
  version: 'v2',
  finder: 'two',
  reason: 'failures',
  detail: '',
};

const routingOf = (replica: ConfigurationReplica, wallNow = START) =>
  replica.routings(0, wallNow).get('summaries');

test('a pool without a move serves its own version', () => {
  const replica = makeReplica();
  replica.applyIfNewer({ rollNumber: 1, digest: 'd', bundle: makeBundle(1) }, 'store', 0);
  expect(routingOf(replica)).toEqual({ pool: 'summaries', stable: 'v1', condemned: [] });
});

test('a verdict stops routing to the new version and survives a roll that keeps the move', () => {
  const replica = makeReplica();
  replica.applyIfNewer(configuration(1), 'store', 0);
  replica.addStatus(status({ _tag: 'staged', stage: 0, share: 0.1 }));
  expect(routingOf(replica)?.candidate?.maximumInFlight).toEqual(4);
  replica.handle('two', { _tag: 'push', verdicts: [verdict], statuses: [] }, 0);
  expect(routingOf(replica)).toEqual({ pool: 'summaries', stable: 'v1', condemned: ['v2'] });
  replica.applyIfNewer(configuration(2), 'store', 0);
  expect(routingOf(replica)?.condemned).toEqual(['v2']);
});

test('from the deadline on the old version serves until the move is known to be done', () => {
  const replica = makeReplica();
  replica.applyIfNewer(configuration(1), 'store', 0);
  replica.addStatus(status({ _tag: 'staged', stage: 1, share: 1 }));
  expect(routingOf(replica, START + 59_999)?.candidate?.share).toEqual(1);
  expect(routingOf(replica, START + 60_000)?.candidate).toEqual(undefined);
  replica.addStatus(status({ _tag: 'done' }, 1, 2));
  expect(routingOf(replica, START + 60_000)?.stable).toEqual('v2');
});

test('a final status is never replaced, not even by a status with a higher fencing number', () => {
  const replica = makeReplica();
  replica.applyIfNewer(configuration(1), 'store', 0);
  replica.addStatus(status({ _tag: 'reverted', reason: 'x' }, 1));
  replica.addStatus(status({ _tag: 'done' }, 9, 9));
  replica.addStatus(status({ _tag: 'staged', stage: 1, share: 1 }, 9, 9));
  expect(routingOf(replica)?.stable).toEqual('v1');
  expect(routingOf(replica)?.candidate).toEqual(undefined);
});

test('a leaving endpoint is listed until its last report expires', () => {
  const replica = makeReplica();
  replica.applyIfNewer(configuration(1), 'store', 0);
  replica.handle('two', { _tag: 'instances', leaving: ['127.0.0.1:2'] }, 0);
  replica.tick(10_000, []);
  expect([...replica.leavingAddresses()]).toEqual(['127.0.0.1:2']);
  replica.tick(20_000, []);
  expect([...replica.leavingAddresses()]).toEqual([]);
});

const NAMES = ['one', 'two', 'three', 'four'];
const MEMBERS = NAMES.map((name) => member(name));

// An endpoint that came back at its address stayed unused: a former relay went on reporting it.
test('a process that is no longer a relay stops reporting what it saw leave', () => {
  const former = NAMES.find((name) => !isRelay(name, 'a', MEMBERS)) as string;
  const replica = makeReplica(former);
  replica.tick(0, [member(former)]);
  replica.reportLeaving(['127.0.0.1:2'], 0);
  for (let now = 1_000; now <= 20_000; now += 1_000) replica.tick(now, MEMBERS);
  expect([...replica.leavingAddresses()]).toEqual([]);
});

const messagesOf = (from: string, actions: readonly Action[]) =>
  actions.flatMap((action) =>
    action._tag === 'send' ? [{ from, to: action.to, message: action.message }] : [],
  );

test('no interleaving of rolls, stale reads, delayed messages and restarts lowers the roll number in force', () => {
  const step = fc.oneof(
    fc.record({
      kind: fc.constant('offer' as const),
      at: fc.nat(3),
      roll: fc.integer({ min: 1, max: 6 }),
    }),
    fc.record({ kind: fc.constant('tick' as const), at: fc.nat(3), roll: fc.constant(0) }),
    fc.record({ kind: fc.constant('deliver' as const), at: fc.nat(50), roll: fc.constant(0) }),
    fc.record({ kind: fc.constant('restart' as const), at: fc.nat(3), roll: fc.constant(0) }),
  );
  const property = fc.property(fc.array(step, { maxLength: 80 }), (steps) => {
    const replicas = NAMES.map((name) => makeReplica(name));
    const highest = NAMES.map(() => 0);
    const sentMessages: {
      from: string;
      to: string;
      message: Parameters<ConfigurationReplica['handle']>[1];
    }[] = [];
    const act = (at: number, actions: readonly Action[]) =>
      sentMessages.push(...messagesOf(NAMES[at] ?? '', actions));
    steps.forEach(({ kind, at, roll }, index) => {
      const now = index * 700;
      const replica = replicas[at];
      if (kind === 'offer') act(at, replica?.applyIfNewer(configuration(roll), 'store', now) ?? []);
      if (kind === 'tick') act(at, replica?.tick(now, MEMBERS) ?? []);
      if (kind === 'restart') {
        replicas[at] = makeReplica(NAMES[at]);
        highest[at] = 0;
      }
      // Messages stay in the list, so that some are delivered late or more than once.
      const delivery =
        kind === 'deliver' ? sentMessages[at % Math.max(1, sentMessages.length)] : undefined;
      if (delivery !== undefined) {
        const to = NAMES.indexOf(delivery.to);
        act(to, replicas[to]?.handle(delivery.from, delivery.message, now) ?? []);
      }
      replicas.forEach((each, i) => {
        const number = each.current()?.rollNumber ?? 0;
        if (number < (highest[i] ?? 0))
          throw new Error(`${NAMES[i]} lowered its roll number to ${number}`);
        highest[i] = number;
      });
    });
    return true;
  });
  fc.assert(property, { seed: 5, numRuns: 300 });
});

test('a configuration applied by one of 27 entries reaches all of them within two digest intervals', () => {
  const names = Array.from({ length: 27 }, (_, index) => `entry-${index}`);
  const members = names.map((name, index) => member(name, `domain-${index % 3}`));
  const replicas = new Map(
    names.map((name, index) => [
      name,
      new ConfigurationReplica(
        { incarnation: name, failureDomain: `domain-${index % 3}` },
        xoroshiro128plus(index),
      ),
    ]),
  );
  const deliver = (now: number, queue: ReturnType<typeof messagesOf>): void => {
    if (queue.length === 0) return;
    deliver(
      now,
      queue.flatMap(({ from, to, message }) =>
        messagesOf(to, replicas.get(to)?.handle(from, message, now) ?? []),
      ),
    );
  };
  const tickAll = (now: number) =>
    replicas.forEach((replica, name) => deliver(now, messagesOf(name, replica.tick(now, members))));
  tickAll(0);
  deliver(
    1,
    messagesOf(
      'entry-0',
      replicas.get('entry-0')?.applyIfNewer(configuration(7), 'store', 1) ?? [],
    ),
  );
  [1_000, 2_000].forEach(tickAll);
  expect(
    [...replicas.values()].filter((replica) => replica.current()?.rollNumber !== 7).length,
  ).toEqual(0);
});
