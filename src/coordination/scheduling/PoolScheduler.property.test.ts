import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import type { CallRecord, Grant, Reservation } from '../../protocol/peer/PeerMessage.ts';
import {
  POLICY,
  poolBundle,
  poolReservation,
  poolRouting,
  TIMING,
} from '../../../test/fakes/schedulingInputs.ts';
import type { Action } from '../Action.ts';
import { PoolScheduler } from './PoolScheduler.ts';

const SLOTS = 2;
const HOMES = ['h0', 'h1', 'h2'];
const STEP_MS = 30;

const step = fc.record({
  kind: fc.constantFrom(
    'reserve',
    'reserve',
    'reserve',
    'repeat',
    'withdraw',
    'complete',
    'complete',
    'refuse',
    'homeLost',
    'wait',
    'leave',
  ),
  pick: fc.nat(1_000),
  tierRank: fc.nat(2),
  suspendable: fc.boolean(),
  outputTokens: fc.integer({ min: 1, max: 300 }),
  remainingMs: fc.integer({ min: 100, max: 6_000 }),
  losesAnswers: fc.boolean(),
});
type Step = typeof step extends fc.Arbitrary<infer T> ? T : never;

type Phase = 'waiting' | 'granted' | 'suspended' | 'ended';

const checkDecision = ({ decision }: Extract<Action, { _tag: 'decide' }>): void => {
  if (decision._tag !== 'refused' || decision.reason !== 'overloaded') return;
  expect(decision.lowerTierRunning + decision.lowerTierWaiting).toEqual(0);
};

/** Homes as far as the scheduler can see them, with the promises that are checked on the way. */
class Homes {
  readonly scheduler = new PoolScheduler({ pool: 'p', policy: POLICY, timing: TIMING });

  readonly requests = new Map<string, { reservation: Reservation; home: string; phase: Phase }>();

  readonly grants = new Map<string, Grant>();

  readonly refused = new Map<string, number>();

  readonly lost = new Set<string>();

  now = 0;

  leaving = new Set<string>();

  constructor() {
    this.configure();
  }

  configure(): void {
    const bundle = poolBundle([{ slots: SLOTS }, { slots: SLOTS, decodeTokensPerSecond: 30 }]);
    const input = { bundle, routing: poolRouting(), leaving: this.leaving };
    this.take(this.scheduler.configure(input, this.now), false);
  }

  apply(each: Step): void {
    this.now += STEP_MS;
    const ids = [...this.requests.keys()];
    const id = ids[each.pick % Math.max(1, ids.length)] ?? '';
    this.act(each, id);
    this.take(this.scheduler.tick(this.now), each.losesAnswers);
    this.check();
  }

  private act(each: Step, id: string): void {
    const { scheduler, now } = this;
    const request = this.requests.get(id);
    switch (each.kind) {
      case 'reserve': {
        const home = HOMES[each.pick % HOMES.length]!;
        if (this.lost.has(home)) return;
        const { tierRank, suspendable, outputTokens, remainingMs } = each;
        const change = { tierRank, suspendable, outputTokens, remainingMs };
        const reservation = poolReservation(`${home}.${this.requests.size}`, change);
        this.requests.set(reservation.id, { reservation, home, phase: 'waiting' });
        this.take(scheduler.reserve(home, [reservation], now), each.losesAnswers);
        break;
      }
      case 'repeat':
        if (request?.phase !== 'waiting' || this.lost.has(request.home)) return;
        this.take(scheduler.reserve(request.home, [request.reservation], now), false);
        break;
      case 'withdraw':
        if (request?.phase !== 'waiting' || this.lost.has(request.home)) return;
        request.phase = 'ended';
        this.take(scheduler.withdraw(request.home, [id], now), false);
        break;
      case 'complete':
      case 'refuse':
        this.release(each.kind === 'refuse' ? 'refused' : 'completed', each.pick);
        break;
      case 'homeLost': {
        // One home stays, or there would be nothing left to check.
        const home = HOMES[1 + (each.pick % 2)]!;
        this.lost.add(home);
        this.take(scheduler.handleOwnerLoss(home, now), false);
        break;
      }
      case 'leave':
        this.leaving = new Set(each.pick % 2 === 0 ? [] : ['http://127.0.0.1:9001']);
        this.configure();
        break;
      case 'wait':
        this.now += 10 * STEP_MS;
        break;
      default:
        each.kind satisfies never;
    }
  }

  private release(result: CallRecord['result'], pick: number): void {
    const running = [...this.grants.keys()].filter((id) => {
      const request = this.requests.get(id)!;
      return request.phase === 'granted' && !this.lost.has(request.home);
    });
    const id = running[pick % Math.max(1, running.length)];
    if (id === undefined) return;
    const { endpoint, version } = this.grants.get(id)!;
    const request = this.requests.get(id)!;
    request.phase = 'ended';
    this.grants.delete(id);
    const { promptTokens, outputTokens, route } = request.reservation;
    const tokens = { promptTokens, cachedTokens: 0, outputTokens };
    const times = { firstTokenMs: 20, totalMs: 20 + 12 * outputTokens };
    const record = { result, ...times, ...tokens, connectFailure: result === 'refused' };
    const message = { _tag: 'release', id, pool: 'p', endpoint, version, route, record } as const;
    this.take(this.scheduler.release(request.home, message, this.now), false);
  }

  private take(actions: readonly Action[], losesAnswers: boolean): void {
    actions.forEach((action) => {
      if (action._tag === 'decide') checkDecision(action);
      if (action._tag !== 'send' || losesAnswers || this.lost.has(action.to)) return;
      const { message } = action;
      if (message._tag === 'granted') message.grants.forEach((grant) => this.grant(grant));
      if (message._tag === 'refused') this.refuse(message.id);
      if (message._tag === 'suspend') this.suspend(message.id);
      if (message._tag === 'resume') this.requests.get(message.id)!.phase = 'granted';
    });
  }

  private grant(grant: Grant): void {
    const request = this.requests.get(grant.id)!;
    const held = this.grants.get(grant.id);
    if (held !== undefined) expect(held.endpoint).toEqual(grant.endpoint);
    expect(request.phase === 'waiting' || request.phase === 'granted').toEqual(true);
    expect(this.refused.has(grant.id)).toEqual(false);
    if (this.leaving.size > 0 && held === undefined) expect(grant.endpoint).toEqual('e0');
    request.phase = 'granted';
    this.grants.set(grant.id, grant);
  }

  private refuse(id: string): void {
    const request = this.requests.get(id)!;
    expect(this.grants.has(id)).toEqual(false);
    request.phase = 'ended';
    this.refused.set(id, this.now);
  }

  private suspend(id: string): void {
    const request = this.requests.get(id)!;
    if (request.phase !== 'granted') return;
    expect(request.reservation.suspendable).toEqual(true);
    request.phase = 'suspended';
    this.take(this.scheduler.confirmSuspension(request.home, id, this.now), false);
  }

  private check(): void {
    this.scheduler.snapshot().endpoints.forEach(({ running, slots }) => {
      expect(running <= slots).toEqual(true);
    });
    const counts = new Map<string, number>();
    this.grants.forEach(({ id, endpoint }) => {
      if (this.requests.get(id)!.phase !== 'granted') return;
      if (this.lost.has(this.requests.get(id)!.home)) return;
      counts.set(endpoint, (counts.get(endpoint) ?? 0) + 1);
    });
    counts.forEach((count) => expect(count <= SLOTS).toEqual(true));
  }
}

/** Lets homes report what they run, as they do each second. */
const report = (homes: Homes): void =>
  HOMES.forEach((home) => {
    const grants = [...homes.grants.values()]
      .filter(({ id }) => homes.requests.get(id)!.home === home && !homes.lost.has(home))
      .map((grant) => ({ grant, reservation: homes.requests.get(grant.id)!.reservation }));
    homes.scheduler.adoptGrants(home, { _tag: 'inFlight', pool: 'p', grants }, homes.now);
  });

test('no interleaving overfills a slot, grants twice, or sheds a higher tier before a lower one', () => {
  fc.assert(
    fc.property(fc.array(step, { minLength: 20, maxLength: 150 }), (steps) => {
      const homes = new Homes();
      steps.forEach((each, index) => {
        if (index % 20 === 0) report(homes);
        homes.apply(each);
      });
    }),
    { seed: 20_261_203, numRuns: 300 },
  );
});

test('every reservation that keeps being repeated gets an answer by its deadline', () => {
  fc.assert(
    fc.property(fc.array(step, { minLength: 10, maxLength: 80 }), (steps) => {
      const homes = new Homes();
      steps.filter(({ kind }) => kind !== 'homeLost').forEach((each) => homes.apply(each));
      const idle: Step = {
        kind: 'wait',
        pick: 0,
        tierRank: 0,
        suspendable: true,
        outputTokens: 1,
        remainingMs: 100,
        losesAnswers: false,
      };
      for (let index = 0; index < 40; index += 1) {
        homes.requests.forEach(({ phase, reservation, home }) => {
          if (phase === 'waiting') homes.scheduler.reserve(home, [reservation], homes.now);
        });
        homes.apply(idle);
      }
      const { waiting } = homes.scheduler.snapshot();
      expect(waiting).toEqual(0);
    }),
    { seed: 7, numRuns: 100 },
  );
});
