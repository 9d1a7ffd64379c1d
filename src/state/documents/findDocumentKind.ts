import { parse } from 'jsonc-parser';
import { EntrySettings } from '../EntrySettings.ts';

/** What a document of the system is. */
export type DocumentKind = 'settings' | 'bundle';

/**
 * Tells settings of an entry from a bundle by the keys that only settings have.
 *
 * @param text - JSON with comments, possibly invalid
 * @returns the kind; a document with none of these keys counts as a bundle
 */
export const findDocumentKind = (text: string): DocumentKind => {
  const value: unknown = parse(text, [], { allowTrailingComma: true });
  const isObject = typeof value === 'object' && value !== null;
  return isObject && Object.keys(EntrySettings.fields).some((key) => key in value)
    ? 'settings'
    : 'bundle';
};
