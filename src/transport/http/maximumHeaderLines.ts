/** The bytes of the shortest header line: a name of one byte, the colon and the end of the line. */
const MINIMUM_LINE_BYTES = 4;

/**
 * Returns how many header lines a head can have at most.
 *
 * @param headBytes - size of the head, in bytes
 */
export const maximumHeaderLines = (headBytes: number): number =>
  Math.floor(headBytes / MINIMUM_LINE_BYTES);
