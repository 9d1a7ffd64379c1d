import type { PeerMessage } from '../protocol/peer/PeerMessage.ts';
import type { Decision } from '../state/Decision.ts';

/**
 * A side effect requested by a coordination state machine. The state machines perform no input or
 * output: each method takes the current time and returns actions, which the process executes in
 * order.
 */
export type Action =
  /**
   * Sends a message to the member with an incarnation. A message to the process's own incarnation is
   * delivered in memory.
   */
  | {
      readonly _tag: 'send';
      readonly to: string;
      readonly message: PeerMessage;
      /** Whether it must not be sent in a way in which single messages get lost. */
      readonly isReliable?: true;
    }
  /** Sends a message to the peer address of a process whose incarnation isn't known yet. */
  | { readonly _tag: 'sendAddress'; readonly to: string; readonly message: PeerMessage }
  /** Logs a decision. */
  | { readonly _tag: 'decide'; readonly decision: Decision };
