import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import * as Schema from 'effect/Schema';
import type { Action } from '../../src/coordination/Action.ts';
import { QuotaAllocator } from '../../src/coordination/limits/index.ts';
import { Membership } from '../../src/coordination/membership/index.ts';
import { PoolScheduler } from '../../src/coordination/scheduling/index.ts';
import { decodePeerMessage, encodePeerMessage } from '../../src/protocol/peer/peerCodec.ts';
import type { Grant, PeerMessage } from '../../src/protocol/peer/PeerMessage.ts';
import { Bundle } from '../../src/state/Bundle.ts';
import type { Member } from '../../src/state/Member.ts';
import { EntrySettings } from '../../src/state/EntrySettings.ts';
import { POOL, sampleBundle, sampleRelease, sampleReservation, VERSION } from './samples.ts';
import type { Slope, Slopes } from './Slopes.ts';

const RUN = 'npm run capacity -- --measure';
const ROUNDS = 7;
const RESERVATIONS = 3_000;
const QUOTA_REQUESTS = 5_000;
const SEED = 20_261_203;
const US_PER_MS = 1_000;
const MB = 1_000_000;

const FROM = '0123456789abcdef0123';

const settings = Schema.decodeUnknownSync(EntrySettings)({
  callerAddress: '127.0.0.1:0',
  peerAddress: '127.0.0.1:0',
  failureDomain: 'fd-0',
  platform: { address: 'http://127.0.0.1:1' },
  peerSecret: 'measurement-secret',
});

const median = (values: readonly number[]): number =>
  [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;

/** Median of the rounds, with half of their spread as the error. */
const summarize = (values: readonly number[]): Slope => ({
  value: median(values),
  error: (Math.max(...values) - Math.min(...values)) / 2,
  run: RUN,
});

const cpuMs = (): number => {
  const { user, system } = process.cpuUsage();
  return (user + system) / US_PER_MS;
};

/** Processor time of one call, µs; the first round warms the code up and isn't counted. */
const timeEach = (times: number, once: (index: number) => void): Slope => {
  const rounds = Array.from({ length: ROUNDS + 1 }, (_, round) => {
    const startedAt = cpuMs();
    for (let index = 0; index < times; index += 1) once(round * times + index);
    return ((cpuMs() - startedAt) * US_PER_MS) / times;
  });
  return summarize(rounds.slice(1));
};

/** Heap that one of many objects takes, bytes. */
const weighEach = (count: number, make: () => unknown): Slope => {
  const collect = (): number => {
    globalThis.gc?.();
    return process.memoryUsage().heapUsed;
  };
  const rounds = Array.from({ length: ROUNDS }, () => {
    const before = collect();
    const kept = make();
    const bytes = collect() - before;
    return kept === undefined ? 0 : bytes / count;
  });
  return summarize(rounds);
};

const sizeOf = (message: PeerMessage): number => encodePeerMessage(FROM, message)?.length ?? 0;

const receive = (message: PeerMessage): PeerMessage => {
  const bytes = encodePeerMessage(FROM, message);
  const envelope = bytes === undefined ? undefined : decodePeerMessage(bytes);
  if (envelope === undefined) throw new Error('a sample message was not decoded');
  return envelope.message;
};

const encodeAll = (actions: readonly Action[]): void =>
  actions.forEach((action) => {
    if (action._tag === 'send') encodePeerMessage(FROM, action.message);
  });

const grantsIn = (actions: readonly Action[]): readonly Grant[] =>
  actions.flatMap((action) =>
    action._tag === 'send' && action.message._tag === 'granted' ? action.message.grants : [],
  );

const measureScheduler = (
  endpoints: number,
): Pick<Slopes, 'reservationCpuUs' | 'reservationBytes'> => {
  const scheduler = new PoolScheduler({
    pool: POOL,
    policy: settings.policy,
    timing: settings.timing,
  });
  const routing = { pool: POOL, stable: VERSION, condemned: [] };
  scheduler.configure({ bundle: sampleBundle(endpoints, 0), routing, leaving: new Set() }, 0);
  const reservations = Array.from({ length: RESERVATIONS * (ROUNDS + 1) }, (_, index) =>
    sampleReservation(index),
  );
  let bytes = 0;
  let now = 0;
  const serve = (index: number): void => {
    now += 1;
    const reserve: PeerMessage = {
      _tag: 'reserve',
      reservations: reservations.slice(index, index + 1),
    };
    const received = receive(reserve);
    if (received._tag !== 'reserve') return;
    const actions = scheduler.reserve(FROM, received.reservations, now);
    encodeAll(actions);
    grantsIn(actions).forEach((grant) => {
      const release = sampleRelease(grant);
      const message = receive(release);
      if (message._tag === 'release') encodeAll(scheduler.release(FROM, message, now));
      bytes = sizeOf(reserve) + sizeOf({ _tag: 'granted', grants: [grant] }) + sizeOf(release);
    });
    scheduler.tick(now);
  };
  const reservationCpuUs = timeEach(RESERVATIONS, serve);
  if (bytes === 0) throw new Error('no reservation was granted');
  return { reservationCpuUs, reservationBytes: { value: bytes, run: RUN } };
};

const measureQuota = (): Pick<Slopes, 'quotaCpuUs' | 'quotaBytes'> => {
  const { accounts } = sampleBundle(0, 1);
  const ledger = new QuotaAllocator();
  ledger.configure(accounts, 0);
  const request = {
    _tag: 'quotaRequest',
    account: 'account-0',
    requests: 10,
    tokens: 6_400,
    concurrency: 4,
    held: 4,
  } as const;
  let reply: PeerMessage | undefined;
  const quotaCpuUs = timeEach(QUOTA_REQUESTS, (index) => {
    const message = receive(request);
    if (message._tag !== 'quotaRequest') return;
    const [answer] = ledger.handleRequest(FROM, message, index);
    encodeAll(answer === undefined ? [] : [answer]);
    if (answer?._tag === 'send') reply = answer.message;
  });
  if (reply === undefined) throw new Error('the quota request was not answered');
  return { quotaCpuUs, quotaBytes: { value: sizeOf(request) + sizeOf(reply), run: RUN } };
};

const measureConfiguration = (): Pick<
  Slopes,
  | 'endpointMessageBytes'
  | 'accountMessageBytes'
  | 'configurationCpuMsPerMb'
  | 'endpointBytes'
  | 'accountBytes'
> => {
  const push = (endpoints: number, accounts: number): PeerMessage => ({
    _tag: 'push',
    configuration: {
      rollNumber: 1,
      digest: 'sha256:0',
      bundle: sampleBundle(endpoints, accounts),
    },
    verdicts: [],
    statuses: [],
  });
  const many = 2_000;
  const empty = sizeOf(push(0, 0));
  const perEndpoint = (sizeOf(push(many, 0)) - empty) / many;
  const perAccount = (sizeOf(push(0, many)) - empty) / many;
  const message = push(many, 460);
  const megabytes = sizeOf(message) / MB;
  const cpu = timeEach(5, () => receive(message));
  const decode = Schema.decodeUnknownSync(Bundle);
  const weigh = (endpoints: number, accounts: number) =>
    weighEach(many, () => decode(JSON.parse(JSON.stringify(sampleBundle(endpoints, accounts)))));
  return {
    endpointMessageBytes: { value: perEndpoint, run: RUN },
    accountMessageBytes: { value: perAccount, run: RUN },
    configurationCpuMsPerMb: {
      value: cpu.value / US_PER_MS / megabytes,
      error: (cpu.error ?? 0) / US_PER_MS / megabytes,
      run: RUN,
    },
    endpointBytes: weigh(many, 0),
    accountBytes: weigh(0, many),
  };
};

const sampleMember = (index: number): Member => ({
  incarnation: index.toString(16).padStart(20, '0'),
  callerAddress: `10.0.${Math.floor(index / 256)}.${index % 256}:8080`,
  peerAddress: `10.0.${Math.floor(index / 256)}.${index % 256}:8081`,
  failureDomain: `fd-${index % 14}`,
  region: `region-${index % 4}`,
  status: 'alive',
  revision: 0,
  draining: false,
});

const measureMembership = (): Pick<Slopes, 'memberBytes'> => {
  const count = 2_000;
  return {
    memberBytes: weighEach(count, () => {
      const random = xoroshiro128plus(SEED);
      const membership = new Membership({ self: sampleMember(0), timing: settings.timing, random });
      const members = Array.from({ length: count }, (_, index) => sampleMember(index + 1));
      membership.handle(FROM, { _tag: 'membersReply', members }, 0);
      return membership;
    }),
  };
};

/**
 * Measures what the decision machines cost by themselves, on one thread and without a network.
 *
 * @returns the costs of scheduler, quota ledger, configuration and membership
 */
export const measureMachines = (): Slopes => ({
  ...measureScheduler(32),
  ...measureQuota(),
  ...measureConfiguration(),
  ...measureMembership(),
});
