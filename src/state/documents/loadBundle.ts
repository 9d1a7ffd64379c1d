import { Bundle } from '../Bundle.ts';
import { loadDocument } from './loadDocument.ts';
import { validateBundle } from './validateBundle.ts';
import type { LoadResult } from './DocumentProblem.ts';

/**
 * Reads a bundle and checks that it can work.
 *
 * @param text - JSON with comments
 * @param unixNowMs - present Unix time in ms, which deadlines of moves are compared with
 * @param activeMoveKeys - keys of moves that are in force already: time has run off their deadlines
 * @returns the bundle with defaults filled in, or all problems
 */
export const loadBundle = (
  text: string,
  unixNowMs: number,
  activeMoveKeys: ReadonlySet<string> = new Set(),
): LoadResult<Bundle> =>
  loadDocument(Bundle, text, (bundle) => validateBundle(bundle, unixNowMs, activeMoveKeys));
