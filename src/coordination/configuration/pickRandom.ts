import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

/**
 * Picks different items at random.
 *
 * @param items - what to pick from
 * @param count - how many at most
 * @param random - generator, advanced by the call
 * @returns the picked items
 */
export const pickRandom = <A>(
  items: readonly A[],
  count: number,
  random: RandomGenerator,
): readonly A[] => {
  if (count >= items.length) return items;
  const rest = [...items];
  return Array.from({ length: count }, () => {
    const [picked] = rest.splice(uniformInt(random, 0, rest.length - 1), 1);
    return picked as A;
  });
};
