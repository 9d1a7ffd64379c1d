import * as Schema from 'effect/Schema';
import { Bundle } from './Bundle.ts';

/** A proposed bundle in the platform's object API; immutable. */
export const ProposedBundle = Schema.Struct({
  /** `sha256:` digest of the bundle's canonical JSON. */
  digest: Schema.NonEmptyString,
  bundle: Bundle,
  /** Name of the operator who proposed the bundle. */
  operator: Schema.NonEmptyString,
  /** Nonce of the writer, by which it recognizes its own write after a lost response. */
  nonce: Schema.NonEmptyString,
});
export type ProposedBundle = typeof ProposedBundle.Type;

/** An operator's approval of the bundle with this digest, and of no other. */
export const BundleApproval = Schema.Struct({
  /** `sha256:` digest of the bundle's canonical JSON. */
  digest: Schema.NonEmptyString,
  /** Name of the operator who approved the bundle. */
  operator: Schema.NonEmptyString,
  /** Nonce of the writer, by which it recognizes its own write after a lost response. */
  nonce: Schema.NonEmptyString,
});
export type BundleApproval = typeof BundleApproval.Type;

/**
 * Returns the object name of a proposed bundle.
 *
 * @param name - name of the bundle
 * @param version - version of the bundle
 * @returns a name such as `production-4`
 */
export const bundleObjectName = (name: string, version: number): string => `${name}-${version}`;

/**
 * Returns the object name of an approval.
 *
 * @param digest - `sha256:` digest of the approved bundle
 * @returns a name such as `sha256-0f…`
 */
export const approvalObjectName = (digest: string): string => digest.replace(':', '-');
