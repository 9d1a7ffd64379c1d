import { Bundle } from '../Bundle.ts';
import { loadDocument } from './loadDocument.ts';
import { reviewBundle } from './reviewBundle.ts';
import type { Loaded } from './Problem.ts';

/**
 * Reads a bundle and checks that it can work.
 *
 * @param text - JSON with comments
 * @param wallNow - present Unix time in ms, which deadlines of moves are compared with
 * @param underWay - keys of moves that are in force already: time has run off their deadlines
 * @returns the bundle with defaults filled in, or all problems
 */
export const loadBundle = (
  text: string,
  wallNow: number,
  underWay: ReadonlySet<string> = new Set(),
): Loaded<Bundle> =>
  loadDocument(Bundle, text, (bundle) => reviewBundle(bundle, wallNow, underWay));
