import type { Problem } from '../../state/documents/index.ts';

/** What became of an operator's step with a bundle. */
export type BundleOutcome =
  | {
      readonly _tag: 'done';
      readonly bundle: string;
      readonly digest: string;
      readonly rollNumber?: number;
      /** Whether the store already held exactly this. */
      readonly repeated: boolean;
    }
  /** Another operator came first. */
  | { readonly _tag: 'lost'; readonly operator: string; readonly detail: string }
  | { readonly _tag: 'refused'; readonly detail: string; readonly problems: readonly Problem[] }
  /** Nothing was written, since the store couldn't be read. */
  | { readonly _tag: 'unavailable'; readonly detail: string }
  /** The store didn't say whether the write took effect. */
  | { readonly _tag: 'unknown'; readonly detail: string };

/** Who takes a step, and with which nonce. */
export interface OperatorAction {
  readonly operator: string;
  readonly nonce: string;
}

/** Makes a refusal without places in a document. */
export const createRefusal = (detail: string): BundleOutcome => ({
  _tag: 'refused',
  detail,
  problems: [],
});
