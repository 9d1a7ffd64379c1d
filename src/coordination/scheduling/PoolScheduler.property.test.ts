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
const OWNERS = ['h0', 'h1', 'h2'];
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

/** Simulates the owners of requests and checks the scheduler's invariants after each step. */
class OwnerSimulation {
  readonly scheduler = new PoolScheduler({ pool: 'p', policy: POLICY, timing: TIMING });

  readonly requests = new Map<string, { reservation: Reservation; owner: string; phase: Phase }>();

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
    this.handleActions(this.scheduler.configure(input, this.now), false);
  }

  apply(each: Step): void {
    this.now += STEP_MS;
    const ids = [...this.requests.keys()];
    const id = ids[each.pick % Math.max(1, ids.length)] ?? '';
    this.act(each, id);
    this.handleActions(this.scheduler.tick(this.now), each.losesAnswers);
    this.check();
  }

  private act(each: Step, id: string): void {
    const { scheduler, now } = this;
    const request = this.requests.get(id);
    switch (each.kind) {
      case 'reserve': {
        const owner = OWNERS[each.pick % OWNERS.length]!;
        if (this.lost.has(owner)) return;
        const { tierRank, suspendable, outputTokens, remainingMs } = each;
        const change = { tierRank, suspendable, outputTokens, remainingMs };
        const reservation = poolReservation(`${owner}.${this.requests.size}`, change);
        this.requests.set(reservation.id, { reservation, owner, phase: 'waiting' });
        this.handleActions(scheduler.reserve(owner, [reservation], now), each.losesAnswers);
        break;
      }
      case 'repeat':
        if (request?.phase !== 'waiting' || this.lost.has(request.owner)) return;
        this.handleActions(scheduler.reserve(request.owner, [request.reservation], now), false);
        break;
      case 'withdraw':
        if (request?.phase !== 'waiting' || this.lost.has(request.owner)) return;
        request.phase = 'ended';
        this.handleActions(scheduler.withdraw(request.owner, [id], now), false);
        break;
      case 'complete':
      case 'refuse':
        this.release(each.kind === 'refuse' ? 'refused' : 'completed', each.pick);
        break;
      case 'homeLost': {
        // One owner is never lost, or there would be nothing left to check.
        const owner = OWNERS[1 + (each.pick % 2)]!;
        this.lost.add(owner);
        this.handleActions(scheduler.handleOwnerLoss(owner, now), false);
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
      return request.phase === 'granted' && !this.lost.has(request.owner);
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
    this.handleActions(this.scheduler.release(request.owner, message, this.now), false);
  }

  private handleActions(actions: readonly Action[], losesAnswers: boolean): void {
    actions.forEach((action) => {
      if (action._tag === 'decide') checkDecision(action);
      if (action._tag !== 'send' || losesAnswers || this.lost.has(action.to)) return;
      const { message } = action;
      if (message._tag === 'granted') message.grants.forEach((grant) => this.receiveGrant(grant));
      if (message._tag === 'refused') this.refuse(message.id);
      if (message._tag === 'suspend') this.suspend(message.id);
      if (message._tag === 'resume') this.requests.get(message.id)!.phase = 'granted';
    });
  }

  private receiveGrant(grant: Grant): void {
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
    this.handleActions(this.scheduler.confirmSuspension(request.owner, id, this.now), false);
  }

  private check(): void {
    this.scheduler.snapshot().endpoints.forEach(({ running, slots }) => {
      expect(running <= slots).toEqual(true);
    });
    const counts = new Map<string, number>();
    this.grants.forEach(({ id, endpoint }) => {
      if (this.requests.get(id)!.phase !== 'granted') return;
      if (this.lost.has(this.requests.get(id)!.owner)) return;
      counts.set(endpoint, (counts.get(endpoint) ?? 0) + 1);
    });
    counts.forEach((count) => expect(count <= SLOTS).toEqual(true));
  }
}

/** Lets all owners report their running requests, as they do once a second. */
const reportGrants = (simulation: OwnerSimulation): void =>
  OWNERS.forEach((owner) => {
    const grants = [...simulation.grants.values()]
      .filter(
        ({ id }) => simulation.requests.get(id)!.owner === owner && !simulation.lost.has(owner),
      )
      .map((grant) => ({ grant, reservation: simulation.requests.get(grant.id)!.reservation }));
    simulation.scheduler.adoptGrants(
      owner,
      { _tag: 'inFlight', pool: 'p', grants },
      simulation.now,
    );
  });

test('no interleaving exceeds slots, grants twice, or refuses a higher tier before a lower one', () => {
  fc.assert(
    fc.property(fc.array(step, { minLength: 20, maxLength: 150 }), (steps) => {
      const simulation = new OwnerSimulation();
      steps.forEach((each, index) => {
        if (index % 20 === 0) reportGrants(simulation);
        simulation.apply(each);
      });
    }),
    { seed: 20_261_203, numRuns: 300 },
  );
});

test('every reservation that is repeated until its deadline is granted or refused', () => {
  fc.assert(
    fc.property(fc.array(step, { minLength: 10, maxLength: 80 }), (steps) => {
      const simulation = new OwnerSimulation();
      steps.filter(({ kind }) => kind !== 'homeLost').forEach((each) => simulation.apply(each));
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
        simulation.requests.forEach(({ phase, reservation, owner }) => {
          if (phase === 'waiting')
            simulation.scheduler.reserve(owner, [reservation], simulation.now);
        });
        simulation.apply(idle);
      }
      const { waiting } = simulation.scheduler.snapshot();
      expect(waiting).toEqual(0);
    }),
    { seed: 7, numRuns: 100 },
  );
});
