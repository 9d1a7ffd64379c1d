import type { PeerMessage } from '../protocol/peer/PeerMessage.ts';
import type { Decision } from '../state/Decision.ts';

/**
 * What a coordination machine wants done. Machines never do input or output themselves:
 * each method takes the present time and returns actions for the process to carry out in order.
 */
export type Action =
  /** To a member by incarnation; one's own incarnation is served in process. */
  | { readonly _tag: 'send'; readonly to: string; readonly message: PeerMessage }
  /** To an address whose incarnation isn't known yet. */
  | { readonly _tag: 'sendAddress'; readonly to: string; readonly message: PeerMessage }
  | { readonly _tag: 'decide'; readonly decision: Decision };
