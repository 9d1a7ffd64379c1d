/** Bytes around each message: WebSocket frame, TCP and IP headers and the acknowledgement. */
const FRAME_OVERHEAD_BYTES = 110;

/** Counts what control costs on the network, with an estimate of the frames around messages. */
export class PeerTraffic {
  #sentBytes = 0;

  #receivedBytes = 0;

  #undecodable = 0;

  /**
   * @param bytes - size of a message sent
   */
  countSent(bytes: number): void {
    this.#sentBytes += bytes + FRAME_OVERHEAD_BYTES;
  }

  /**
   * @param bytes - size of a message received
   */
  countReceived(bytes: number): void {
    this.#receivedBytes += bytes + FRAME_OVERHEAD_BYTES;
  }

  /** Counts a message that could not be decoded. */
  countUndecodable(): void {
    this.#undecodable += 1;
  }

  /** Gives the counts since the start. */
  counts(): {
    readonly sentBytes: number;
    readonly receivedBytes: number;
    readonly undecodable: number;
  } {
    return {
      sentBytes: this.#sentBytes,
      receivedBytes: this.#receivedBytes,
      undecodable: this.#undecodable,
    };
  }
}
