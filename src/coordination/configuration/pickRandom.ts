import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

/**
 * Picks random items without replacement.
 *
 * @param items - items to pick from
 * @param count - number of items to pick; if there are no more items than that, all are returned in order
 * @param random - generator, advanced by the call
 * @returns the picked items
 */
export const pickRandom = <A>(
  items: readonly A[],
  count: number,
  random: RandomGenerator,
): readonly A[] => {
  if (count >= items.length) return items;
  const remaining = [...items];
  return Array.from({ length: count }, () => {
    const [picked] = remaining.splice(uniformInt(random, 0, remaining.length - 1), 1);
    return picked as A;
  });
};
