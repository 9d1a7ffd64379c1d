/** What product and baselines differ in. */
export const POLICIES = {
  product: {},
  baseline: { order: 'first_come', placement: 'round_robin', admission: 'none' },
} as const;

export type PolicyName = keyof typeof POLICIES;

export const POLICY_NAMES: readonly PolicyName[] = ['product', 'baseline'];
