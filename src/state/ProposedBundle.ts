import * as Schema from 'effect/Schema';
import { Bundle } from './Bundle.ts';

/** A bundle as proposed in the object service. It is never changed afterwards. */
export const ProposedBundle = Schema.Struct({
  digest: Schema.NonEmptyString,
  bundle: Bundle,
  /** Who proposed it. */
  operator: Schema.NonEmptyString,
  nonce: Schema.NonEmptyString,
});
export type ProposedBundle = typeof ProposedBundle.Type;

/** A sign-off of exactly the bundle that has the digest. */
export const BundleApproval = Schema.Struct({
  digest: Schema.NonEmptyString,
  /** Who approved it. */
  operator: Schema.NonEmptyString,
  nonce: Schema.NonEmptyString,
});
export type BundleApproval = typeof BundleApproval.Type;

/**
 * Names the object of a proposed bundle.
 *
 * @returns a name such as `snow-4`
 */
export const bundleObjectName = (name: string, version: number): string => `${name}-${version}`;

/**
 * Names the object of an approval.
 *
 * @returns a name such as `sha256-0f…`
 */
export const approvalObjectName = (digest: string): string => digest.replace(':', '-');
