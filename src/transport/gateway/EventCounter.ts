const LINE_FEED = 10;

/** Counts events in bytes that are passed on as they are, over the borders of parts. */
export class EventCounter {
  #endedInLineFeed = false;

  count = 0;

  /** Bytes after the end of the last event. */
  unfinishedBytes = 0;

  push(bytes: Uint8Array): void {
    bytes.forEach((byte) => {
      if (byte === LINE_FEED && this.#endedInLineFeed) {
        this.count += 1;
        this.unfinishedBytes = 0;
        this.#endedInLineFeed = false;
      } else {
        this.unfinishedBytes += 1;
        this.#endedInLineFeed = byte === LINE_FEED;
      }
    });
  }
}
