import type { PeerMessage } from './PeerMessage.ts';

/** A message received from an authenticated peer. */
export interface PeerDelivery {
  /** Incarnation of the sender. */
  readonly from: string;
  readonly message: PeerMessage;
  /** Whether it came in a datagram, so that its answer may be sent in one. */
  readonly isDatagram?: true;
}

/**
 * Links between peers, which are all entries or all gateways. Delivery is at most once and in order per
 * link; messages for a broken link are dropped.
 */
export interface PeerNetwork {
  /**
   * Sends a message, opening a link if there is none.
   *
   * @param peerAddress - the peer's `IP:PORT`
   * @returns false if the message was certainly not sent; true doesn't imply delivery
   */
  readonly send: (peerAddress: string, message: PeerMessage) => boolean;
  /**
   * Sends a small message that may get lost, without a link.
   *
   * @param peerAddress - the peer's `IP:PORT`; the peer must have said that it takes datagrams
   * @returns false if the message can't be sent so
   */
  readonly sendDatagram: (peerAddress: string, message: PeerMessage) => boolean;
  /** Whether this process takes datagrams. */
  readonly takesDatagrams: boolean;
  /**
   * Records that a peer has answered, so that its link need not be tested.
   *
   * @param peerAddress - the peer's `IP:PORT`
   */
  readonly confirm: (peerAddress: string) => void;
  /** Registers the handler of received messages. */
  readonly onDelivery: (handler: (delivery: PeerDelivery) => void) => void;
  /** Returns the bytes of peer messages sent and received since the process started. */
  readonly traffic: () => { readonly sentBytes: number; readonly receivedBytes: number };
}
