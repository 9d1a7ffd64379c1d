import { parse } from 'jsonc-parser';
import { EntrySettings } from '../EntrySettings.ts';

/** Kind of a document. */
export type DocumentKind = 'settings' | 'bundle';

/**
 * Detects whether a document holds entry settings or a bundle, by the keys that only settings have.
 *
 * @param text - JSON with comments, possibly invalid
 * @returns the kind; a document without any of these keys is taken for a bundle
 */
export const detectDocumentKind = (text: string): DocumentKind => {
  const value: unknown = parse(text, [], { allowTrailingComma: true });
  const isObject = typeof value === 'object' && value !== null;
  return isObject && Object.keys(EntrySettings.fields).some((key) => key in value)
    ? 'settings'
    : 'bundle';
};
