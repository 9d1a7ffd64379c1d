import type { PeerMessage } from './PeerMessage.ts';

/** What arrived from a peer, already authenticated and decoded. */
export interface PeerDelivery {
  /** Sender's incarnation. */
  readonly from: string;
  readonly message: PeerMessage;
}

/** Links between entries. Delivery is at most once and in order per link; nothing is kept for a link that is down. */
export interface PeerNetwork {
  /**
   * Sends a message, connecting first where no link is open.
   *
   * @param peerAddress - the peer's `IP:PORT`
   * @returns false where the message was surely not sent
   */
  readonly send: (peerAddress: string, message: PeerMessage) => boolean;
  readonly onDelivery: (handler: (delivery: PeerDelivery) => void) => void;
  /** Bytes sent and received for control since the start. */
  readonly traffic: () => { readonly sentBytes: number; readonly receivedBytes: number };
}
