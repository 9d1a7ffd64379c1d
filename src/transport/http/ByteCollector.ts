const SMALLEST_CAPACITY = 1_024;
const GROWTH = 2;
/** Blocks that are outgrown take memory for a while, so there are fewer where the size is known and bounds them. */
const GROWTH_TO_EXPECTED = 4;

/**
 * Collects bytes that arrive in pieces, in one block of memory. A piece that is kept by itself costs a hundred bytes and more,
 * and keeps the whole block alive that the connection was read into, however small it is.
 */
export class ByteCollector {
  #block = Buffer.alloc(0);

  #size = 0;

  #pieces = 0;

  readonly #expectedSize: number;

  /**
   * @param expectedSize - number of bytes that are announced, beyond which no memory is taken in advance
   */
  constructor(expectedSize = Number.POSITIVE_INFINITY) {
    this.#expectedSize = expectedSize;
  }

  /** Number of bytes. */
  get size(): number {
    return this.#size;
  }

  /** Number of pieces that they came in. */
  get pieces(): number {
    return this.#pieces;
  }

  /** Memory that is used for them, in bytes. */
  get capacity(): number {
    return this.#block.length;
  }

  /**
   * Copies the next bytes.
   *
   * @param bytes - a piece; it isn't kept
   */
  append(bytes: Uint8Array): void {
    const size = this.#size + bytes.length;
    if (size > this.#block.length) this.#grow(size);
    this.#block.set(bytes, this.#size);
    this.#size = size;
    this.#pieces += 1;
  }

  /** Returns the bytes, and begins anew. */
  take(): Buffer {
    const bytes = this.#block.subarray(0, this.#size);
    this.#block = Buffer.alloc(0);
    this.#size = 0;
    this.#pieces = 0;
    return bytes;
  }

  #grow(size: number): void {
    const growth = Number.isFinite(this.#expectedSize) ? GROWTH_TO_EXPECTED : GROWTH;
    const grown = Math.max(SMALLEST_CAPACITY, growth * this.#block.length);
    const block = Buffer.allocUnsafeSlow(Math.max(size, Math.min(this.#expectedSize, grown)));
    this.#block.copy(block, 0, 0, this.#size);
    this.#block = block;
  }
}
