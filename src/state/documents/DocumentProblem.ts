/** A problem in a document, with its position. */
export interface DocumentProblem {
  /** Name of the file, if the text came from one. */
  readonly file?: string;
  /** Counts from 1. */
  readonly line: number;
  /** Counts from 1. */
  readonly column: number;
  /** Path of the value, such as `moves[0].to`; empty for the whole document. */
  readonly path: string;
  readonly message: string;
  /** How to correct the problem, for example by a valid value. */
  readonly suggestion: string;
}

/** A problem in a decoded value, without its position in the text. */
export interface ValueProblem {
  readonly path: readonly (string | number)[];
  readonly message: string;
  readonly suggestion: string;
}

/** The value of a valid document, or all problems of an invalid one. */
export type LoadResult<A> =
  | {
      readonly _tag: 'valid';
      readonly value: A;
      /** The document as written, without defaults; digests are computed from it. */
      readonly source: unknown;
    }
  | { readonly _tag: 'invalid'; readonly problems: readonly DocumentProblem[] };

/**
 * Formats a problem as compilers do, so that editors can jump to its position.
 *
 * @param problem - the problem
 * @returns one line, `FILE:LINE:COLUMN: PATH: MESSAGE; SUGGESTION`
 */
export const formatProblem = (problem: DocumentProblem): string => {
  const position = `${problem.file ?? 'document'}:${problem.line}:${problem.column}`;
  const subject = problem.path === '' ? '' : `${problem.path}: `;
  return `${position}: ${subject}${problem.message}; ${problem.suggestion}`;
};
