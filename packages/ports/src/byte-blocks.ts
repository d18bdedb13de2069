/**
 * Keeps bytes that arrive in pieces until their end.
 *
 * Load: bodies in chunks of one byte. Harm prevented: a piece takes some hundred
 * bytes as an object of its own, so that a body of 4 MB would fill the memory of
 * an instance. Small pieces are copied into blocks, and what is kept is what is
 * counted.
 */

/** Smallest piece that is kept as it came, in bytes. */
const MIN_KEPT_PIECE_BYTES = 4_096;

/** Smallest and largest block, in bytes. */
const MIN_BLOCK_BYTES = 256;
const MAX_BLOCK_BYTES = 65_536;

/** Bytes in the order of their arrival. */
export class ByteBlocks {
  private readonly whole: Buffer[] = [];
  /** The block that is filled, after `whole`. */
  private block: Buffer = Buffer.alloc(0);
  private filled = 0;
  private size = 0;

  /** Number of bytes that were added. */
  get length(): number {
    return this.size;
  }

  add(piece: Buffer): void {
    this.size += piece.length;
    if (piece.length >= MIN_KEPT_PIECE_BYTES) {
      this.closeBlock();
      this.whole.push(piece);
      return;
    }
    if (piece.length > this.block.length - this.filled) {
      this.closeBlock();
      const bytes = Math.min(MAX_BLOCK_BYTES, this.size);
      this.block = Buffer.allocUnsafeSlow(
        Math.max(MIN_BLOCK_BYTES, piece.length, bytes),
      );
    }
    piece.copy(this.block, this.filled);
    this.filled += piece.length;
  }

  /** All bytes, in one piece. */
  concat(): Buffer {
    this.closeBlock();
    const {whole, size} = this;
    const [first] = whole;
    return first?.length === size ? first : Buffer.concat(whole, size);
  }

  /** Forgets all bytes. */
  clear(): void {
    this.whole.length = 0;
    this.block = Buffer.alloc(0);
    this.filled = 0;
    this.size = 0;
  }

  private closeBlock(): void {
    if (this.filled > 0) {
      this.whole.push(this.block.subarray(0, this.filled));
    }
    this.block = this.block.subarray(this.filled);
    this.filled = 0;
  }
}
