import { readFile } from 'node:fs/promises';

/** A file's text, or why it can't be read. */
export type FileRead =
  | { readonly _tag: 'read'; readonly text: string }
  | { readonly _tag: 'unreadable'; readonly detail: string };

/**
 * Reads a text file.
 *
 * @param name - the file's name
 * @returns its text, or the system's reason
 */
export const readText = (name: string): Promise<FileRead> =>
  readFile(name, 'utf8').then(
    (text): FileRead => ({ _tag: 'read', text }),
    (error: Error): FileRead => ({ _tag: 'unreadable', detail: error.message }),
  );
