import type { DocumentProblem } from '../../state/documents/index.ts';

/** Result of an operator's proposal, approval or roll of a bundle. */
export type BundleOutcome =
  | {
      readonly _tag: 'done';
      readonly bundle: string;
      readonly digest: string;
      readonly rollNumber?: number;
      /** Whether the store already held the same proposal, approval or roll. */
      readonly repeated: boolean;
    }
  /** Another operator's write took precedence. */
  | { readonly _tag: 'lost'; readonly operator: string; readonly detail: string }
  /** Nothing was written, because the request isn't valid; `problems` are those found in the document. */
  | {
      readonly _tag: 'refused';
      readonly detail: string;
      readonly problems: readonly DocumentProblem[];
    }
  /** Nothing was written, because the store couldn't be read. */
  | { readonly _tag: 'unavailable'; readonly detail: string }
  /** The store didn't confirm whether the write took effect. */
  | { readonly _tag: 'unknown'; readonly detail: string };

/** The operator of a write and the nonce that distinguishes it from other writes. */
export interface OperatorAction {
  readonly operator: string;
  readonly nonce: string;
}

/**
 * Creates a refusal whose cause isn't a problem at some position in a document.
 *
 * @param detail - reason for the refusal
 * @returns the outcome `refused` without problems
 */
export const createRefusal = (detail: string): BundleOutcome => ({
  _tag: 'refused',
  detail,
  problems: [],
});
