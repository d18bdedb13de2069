/**
 * Assembles an answer from the chunks of one or more streams.
 *
 * Guards against an engine or a connection that delivers a chunk of another
 * request, delivers one twice or skips one: the caller would get foreign or
 * garbled text. Each chunk carries its request id and its offset, so only the
 * next chunk of the right request is accepted.
 */

/** One chunk of an engine's answer. */
export interface Chunk {
  readonly id: string;
  /** Index of the token, counted from the start of the whole answer. */
  readonly offset: number;
  readonly text: string;
  /** Present only in the last chunk. */
  readonly end?: AnswerEnd;
}

/** What the last chunk reports on the whole answer. */
export interface AnswerEnd {
  readonly finishReason: string;
  readonly completionTokens: number;
  /** The engine's confidence in the answer, 0 to 1; 1 if it reports none. */
  readonly confidence: number;
}

/**
 * Result of one chunk. A discarded one is `crossed` if it belongs to another
 * request, `doubled` if its offset came before, `gap` if offsets are missing.
 */
export type ChunkResult =
  | {readonly kind: 'token'; readonly text: string}
  | {readonly kind: 'end'; readonly end: AnswerEnd}
  | {
      readonly kind: 'discarded';
      readonly reason: 'crossed' | 'doubled' | 'gap';
    };

/** Accepts each chunk of one answer once, in order. */
export class AnswerAssembler {
  private nextOffset = 0;

  /** @param id id of the request that the answer belongs to. */
  constructor(private readonly id: string) {}

  /** Tokens accepted so far; the offset at which a broken stream resumes. */
  get offset(): number {
    return this.nextOffset;
  }

  /** Accepts or discards a chunk. */
  take(chunk: Chunk): ChunkResult {
    if (chunk.id !== this.id) {
      return {kind: 'discarded', reason: 'crossed'};
    }
    if (chunk.offset < this.nextOffset) {
      return {kind: 'discarded', reason: 'doubled'};
    }
    if (chunk.offset > this.nextOffset) {
      return {kind: 'discarded', reason: 'gap'};
    }
    if (chunk.end) {
      return {kind: 'end', end: chunk.end};
    }
    this.nextOffset++;
    return {kind: 'token', text: chunk.text};
  }
}
