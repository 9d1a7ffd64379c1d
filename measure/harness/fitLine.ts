import { sum } from './Report.ts';

/** A point that was measured. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** A straight line through measured points. */
export interface Line {
  readonly slope: number;
  readonly intercept: number;
  /** Standard error of the slope. */
  readonly slopeError: number;
  /** Share of the spread that the line explains. */
  readonly fit: number;
}

/**
 * Fits a line by least squares.
 *
 * @param points - three or more, not all with the same x
 * @returns the line
 */
export const fitLine = (points: readonly Point[]): Line => {
  const count = points.length;
  const meanX = sum(points.map(({ x }) => x)) / count;
  const meanY = sum(points.map(({ y }) => y)) / count;
  const spreadX = sum(points.map(({ x }) => (x - meanX) ** 2));
  const spreadY = sum(points.map(({ y }) => (y - meanY) ** 2));
  const slope = sum(points.map(({ x, y }) => (x - meanX) * (y - meanY))) / spreadX;
  const intercept = meanY - slope * meanX;
  const rest = sum(points.map(({ x, y }) => (y - intercept - slope * x) ** 2));
  return {
    slope,
    intercept,
    slopeError: Math.sqrt(rest / Math.max(1, count - 2) / spreadX),
    fit: spreadY === 0 ? 1 : 1 - rest / spreadY,
  };
};
