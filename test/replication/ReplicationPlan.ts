import fc from 'fast-check';

/** Something that happens in a simulation. Indices are taken modulo the number there is. */
export type ReplicationAction =
  /** An endpoint leaves: it drains first, or its entry is removed at once. */
  | { readonly _tag: 'leave'; readonly endpoint: number; readonly drains: boolean }
  | { readonly _tag: 'configure' }
  | { readonly _tag: 'kill'; readonly gateways: readonly number[]; readonly downMs: number }
  | { readonly _tag: 'pause'; readonly gateway: number; readonly forMs: number }
  | {
      readonly _tag: 'cutStore';
      readonly gateways: readonly number[];
      readonly how: 'refused' | 'silent';
      readonly forMs: number;
    }
  | { readonly _tag: 'storeDown'; readonly how: 'refused' | 'silent'; readonly forMs: number }
  /** Watches hear nothing for a while; then the history is gone and they are cut. */
  | { readonly _tag: 'compact'; readonly mutedMs: number; readonly leaves: boolean }
  | { readonly _tag: 'cutPeers'; readonly gateway: number; readonly forMs: number }
  /** The next messages from one gateway to another are lost. */
  | { readonly _tag: 'loseMessages'; readonly from: number; readonly to: number }
  /** A gateway takes another one for gone although it runs. */
  | {
      readonly _tag: 'suspect';
      readonly by: number;
      readonly about: number;
      readonly forMs: number;
    }
  /** The store cuts all watches that wait, as it may at any time. */
  | { readonly _tag: 'cutWatches' }
  /** A gateway's event loop is busy: what arrives meanwhile is handled late. */
  | { readonly _tag: 'stall'; readonly gateway: number; readonly forMs: number }
  /** Some gateways' next calls are turned away, as when many come at once. */
  | { readonly _tag: 'turnAway'; readonly gateways: readonly number[]; readonly calls: number }
  /** An endpoint leaves, and says so in an answer to one gateway at the same moment. */
  | {
      readonly _tag: 'sayLeaving';
      readonly endpoint: number;
      readonly to: number;
      readonly drains: boolean;
    }
  /** An endpoint drains, and the store carries out an earlier heartbeat of it that says that it is ready. */
  | { readonly _tag: 'drainBeforeHeartbeat'; readonly endpoint: number; readonly afterMs: number }
  /** Answers of the store to one gateway are late, as on a link that loses packets. */
  | {
      readonly _tag: 'slowAnswers';
      readonly gateway: number;
      readonly byMs: number;
      readonly forMs: number;
    }
  /** The store is down for long; the entry of an endpoint expires meanwhile, and is registered again after its return. */
  | {
      readonly _tag: 'lapse';
      readonly endpoint: number;
      readonly how: 'refused' | 'silent';
      readonly forMs: number;
      /** Part of the time in which it can expire after which it does. */
      readonly fraction: number;
      readonly returnsAfterMs: number;
    }
  /**
   * The store is down, and comes back from a copy of some time ago. The operator and the endpoints that run write again what
   * they had written.
   */
  | {
      readonly _tag: 'restore';
      readonly how: 'refused' | 'silent';
      readonly forMs: number;
      readonly ageMs: number;
      readonly operatorAfterMs: number;
      /** Longest time after which an endpoint writes again. */
      readonly endpointsAfterMs: number;
    }
  /** Another writer leaves an entry among those of the endpoints that can't be read. */
  | { readonly _tag: 'addUnreadable'; readonly entry: number; readonly forMs: number }
  /** The store's answers take longer. */
  | { readonly _tag: 'slowStore'; readonly byMs: number; readonly forMs: number }
  /** Messages of a gateway to its peers take longer. */
  | {
      readonly _tag: 'slowLinks';
      readonly gateway: number;
      readonly byMs: number;
      readonly forMs: number;
    };

/** An action with its time in ms. */
export interface ReplicationStep {
  readonly at: number;
  readonly action: ReplicationAction;
}

/** Faults begin within this time. */
export const FAULTS_MS = 12_000;
const LONGEST_FAULT_MS = 4_000;
const MOST_STEPS = 14;

const index = fc.nat({ max: 11 });
const indices = fc.array(index, { minLength: 1, maxLength: 4 });
const forMs = fc.integer({ min: 20, max: LONGEST_FAULT_MS });
const how = fc.constantFrom('refused' as const, 'silent' as const);

const action: fc.Arbitrary<ReplicationAction> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({ _tag: fc.constant('leave'), endpoint: index, drains: fc.boolean() }),
  },
  { weight: 3, arbitrary: fc.record({ _tag: fc.constant('configure') }) },
  {
    weight: 2,
    arbitrary: fc.record({ _tag: fc.constant('kill'), gateways: indices, downMs: forMs }),
  },
  { weight: 1, arbitrary: fc.record({ _tag: fc.constant('pause'), gateway: index, forMs }) },
  {
    weight: 2,
    arbitrary: fc.record({ _tag: fc.constant('cutStore'), gateways: indices, how, forMs }),
  },
  { weight: 1, arbitrary: fc.record({ _tag: fc.constant('storeDown'), how, forMs }) },
  {
    weight: 2,
    arbitrary: fc.record({
      _tag: fc.constant('compact'),
      mutedMs: fc.integer({ min: 0, max: 1_000 }),
      leaves: fc.boolean(),
    }),
  },
  { weight: 1, arbitrary: fc.record({ _tag: fc.constant('cutPeers'), gateway: index, forMs }) },
  {
    weight: 1,
    arbitrary: fc.record({ _tag: fc.constant('loseMessages'), from: index, to: index }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ _tag: fc.constant('suspect'), by: index, about: index, forMs }),
  },
);

/** Longest time for which the event loop of an undisturbed gateway is busy. */
const LONGEST_STALL_MS = 250;

/** Faults that disturb neither the store nor a gateway in the sense of the promises. */
const calmAction: fc.Arbitrary<ReplicationAction> = fc.oneof(
  fc.record({ _tag: fc.constant('cutWatches' as const) }),
  fc.record({
    _tag: fc.constant('stall' as const),
    gateway: index,
    forMs: fc.integer({ min: 50, max: LONGEST_STALL_MS }),
  }),
  fc.record({
    _tag: fc.constant('turnAway' as const),
    gateways: indices,
    calls: fc.integer({ min: 1, max: 2 }),
  }),
);

const sortByTime = (steps: readonly ReplicationStep[]): readonly ReplicationStep[] =>
  [...steps].sort((a, b) => a.at - b.at);

/** Further steps, in which nothing is disturbed. */
export const calmSteps: fc.Arbitrary<readonly ReplicationStep[]> = fc.array(
  fc.record({ at: fc.nat({ max: FAULTS_MS }), action: calmAction }),
  { maxLength: MOST_STEPS, size: 'max' },
);

const endpointAction: fc.Arbitrary<ReplicationAction> = fc.oneof(
  fc.record({
    _tag: fc.constant('sayLeaving' as const),
    endpoint: index,
    to: index,
    drains: fc.boolean(),
  }),
  fc.record({ _tag: fc.constant('addUnreadable' as const), entry: index, forMs }),
);

/** Further steps, in which endpoints say that they leave and entries can't be read. */
export const endpointSteps: fc.Arbitrary<readonly ReplicationStep[]> = fc.array(
  fc.record({ at: fc.nat({ max: FAULTS_MS }), action: endpointAction }),
  { maxLength: MOST_STEPS / 2, size: 'max' },
);

/** Longest time after which the store still carries out a call that it hasn't answered. */
const LATEST_CALL_MS = 6_000;

/** Longest delay of answers on a link that loses packets. */
const LONGEST_ANSWER_DELAY_MS = 2_000;

const lateAction: fc.Arbitrary<ReplicationAction> = fc.oneof(
  fc.record({
    _tag: fc.constant('drainBeforeHeartbeat' as const),
    endpoint: index,
    afterMs: fc.integer({ min: 20, max: LATEST_CALL_MS }),
  }),
  fc.record({
    _tag: fc.constant('slowAnswers' as const),
    gateway: index,
    byMs: fc.integer({ min: 20, max: LONGEST_ANSWER_DELAY_MS }),
    forMs,
  }),
);

/** Further steps, in which the store carries out calls of endpoints late, and gateways get its answers late. */
export const lateSteps: fc.Arbitrary<readonly ReplicationStep[]> = fc.array(
  fc.record({ at: fc.nat({ max: FAULTS_MS }), action: lateAction }),
  { maxLength: MOST_STEPS / 2, size: 'max' },
);

/** Time without the store in which no entry expires, and within which an endpoint registers again afterwards. */
export const LAPSE_MS = { first: 2_400, return: 2_000 };
const LONGEST_OUTAGE_MS = 6_000;

/** One long outage of the store, in which the entry of an endpoint expires though it lives. */
export const lapseSteps: fc.Arbitrary<readonly ReplicationStep[]> = fc
  .record({
    at: fc.nat({ max: FAULTS_MS / 2 }),
    action: fc.record({
      _tag: fc.constant('lapse' as const),
      endpoint: index,
      how,
      forMs: fc.integer({ min: LAPSE_MS.first + 100, max: LONGEST_OUTAGE_MS }),
      fraction: fc.double({ min: 0, max: 1, noNaN: true }),
      returnsAfterMs: fc.integer({ min: 20, max: LAPSE_MS.return }),
    }),
  })
  .map((step) => [step]);

/** Age of the copies from which the store comes back, in ms, and time within which the operator writes again. */
const COPY_AGE_MS = { min: 500, max: 8_000 };
const OPERATOR_RETURN_MS = 500;

/** Further steps, in which the store comes back from older copies, possibly several times. */
export const restoreSteps: fc.Arbitrary<readonly ReplicationStep[]> = fc.array(
  fc.record({
    at: fc.nat({ max: FAULTS_MS }),
    action: fc.record({
      _tag: fc.constant('restore' as const),
      how,
      forMs: fc.integer({ min: 20, max: 2_000 }),
      ageMs: fc.integer(COPY_AGE_MS),
      operatorAfterMs: fc.integer({ min: 0, max: OPERATOR_RETURN_MS }),
      endpointsAfterMs: fc.integer({ min: 20, max: LAPSE_MS.return }),
    }),
  }),
  { minLength: 1, maxLength: 3 },
);

/** Longest delay of messages on a link that isn't disturbed in the sense of the promises. */
const LONGEST_LINK_DELAY_MS = 100;
const LONGEST_STORE_DELAY_MS = 1_500;

const slowAction: fc.Arbitrary<ReplicationAction> = fc.oneof(
  fc.record({
    _tag: fc.constant('slowStore' as const),
    byMs: fc.integer({ min: 20, max: LONGEST_STORE_DELAY_MS }),
    forMs,
  }),
  fc.record({
    _tag: fc.constant('slowLinks' as const),
    gateway: index,
    byMs: fc.integer({ min: 5, max: LONGEST_LINK_DELAY_MS }),
    forMs,
  }),
);

/** Further steps, in which answers and messages are slow. */
export const slowSteps: fc.Arbitrary<readonly ReplicationStep[]> = fc.array(
  fc.record({ at: fc.nat({ max: FAULTS_MS }), action: slowAction }),
  { maxLength: MOST_STEPS / 2, size: 'max' },
);

/** Merges the steps of several plans. */
export const mergePlans = (
  ...plans: readonly (readonly ReplicationStep[])[]
): readonly ReplicationStep[] => sortByTime(plans.flat());

/** Plans of a simulation: steps in order of time. */
export const replicationPlan: fc.Arbitrary<readonly ReplicationStep[]> = fc
  .array(fc.record({ at: fc.nat({ max: FAULTS_MS }), action }), {
    minLength: 1,
    maxLength: MOST_STEPS,
    size: 'max',
  })
  .map(sortByTime);
