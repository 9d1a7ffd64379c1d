/** One thing that is wrong with a document, and where. */
export interface DocumentProblem {
  /** Name of the file, where the text came from one. */
  readonly file?: string;
  /** Counts from 1. */
  readonly line: number;
  /** Counts from 1. */
  readonly column: number;
  /** Dotted path of the value, such as `moves[0].to`; empty for the document as a whole. */
  readonly path: string;
  readonly message: string;
  /** What would be valid in its place. */
  readonly suggestion: string;
}

/** A problem found in a value, not yet located in its text. */
export interface ValueProblem {
  readonly path: readonly (string | number)[];
  readonly message: string;
  readonly suggestion: string;
}

/** A document that was read, or all that is wrong with it. */
export type Loaded<A> =
  | {
      readonly _tag: 'valid';
      readonly value: A;
      /** The document as written, without defaults; digests are taken over it. */
      readonly source: unknown;
    }
  | { readonly _tag: 'invalid'; readonly problems: readonly DocumentProblem[] };

/**
 * Writes a problem the way compilers do, so that editors can jump to it.
 *
 * @param problem - what was found
 * @returns one line of text
 */
export const formatProblem = (problem: DocumentProblem): string => {
  const place = `${problem.file ?? 'document'}:${problem.line}:${problem.column}`;
  const subject = problem.path === '' ? '' : `${problem.path}: `;
  return `${place}: ${subject}${problem.message}; ${problem.suggestion}`;
};
