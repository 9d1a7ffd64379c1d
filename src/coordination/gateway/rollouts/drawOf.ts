const MODULUS = 2_147_483_647;
const MULTIPLIER = 131;
/** Fractional part of the golden ratio, whose multiples spread evenly over [0, 1). */
const GOLDEN_FRACTION = 0.618_033_988_749_895;

/**
 * Draws a number for a sending by its id, so that it stays the same however often it is decided.
 *
 * @param id - unique id of the sending
 * @returns a number in [0, 1)
 */
export const drawOf = (id: string): number => {
  let hash = 7;
  for (let index = 0; index < id.length; index += 1)
    hash = (hash * MULTIPLIER + id.charCodeAt(index)) % MODULUS;
  return (hash * GOLDEN_FRACTION) % 1;
};
