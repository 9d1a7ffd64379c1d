import { Bundle } from '../Bundle.ts';
import { loadDocument } from './loadDocument.ts';
import { validateBundle } from './validateBundle.ts';
import type { LoadResult } from './DocumentProblem.ts';

/**
 * Parses and validates a bundle.
 *
 * @param text - JSON with comments
 * @param unixNowMs - current Unix time in ms, which move deadlines are compared with
 * @param activeMoveKeys - keys of moves in progress, whose deadlines aren't checked, because part of
 *   the time that they need has already passed
 * @returns the bundle with defaults filled in, or all problems
 */
export const loadBundle = (
  text: string,
  unixNowMs: number,
  activeMoveKeys: ReadonlySet<string> = new Set(),
): LoadResult<Bundle> =>
  loadDocument(Bundle, text, (bundle) => validateBundle(bundle, unixNowMs, activeMoveKeys));
