/**
 * Puts an answer together from chunks that may come late, crossed or doubled.
 *
 * Guards against an engine or a connection that delivers another request's
 * chunk, one chunk twice, or skips one: the caller would see foreign or
 * garbled text. Each chunk names its request and its offset, so only the next
 * chunk of the right request is taken.
 */

/** A chunk as an engine sends it. */
export interface Chunk {
  readonly id: string;
  /** Index of the token, counted from the start of the whole answer. */
  readonly offset: number;
  readonly text: string;
  /** Present on the last chunk only. */
  readonly end?: AnswerEnd;
}

/** What the last chunk tells about the whole answer. */
export interface AnswerEnd {
  readonly finishReason: string;
  readonly completionTokens: number;
  /** The engine's own score of the answer, 0 to 1; 1 when it gives none. */
  readonly confidence: number;
}

/** What became of a chunk. */
export type ChunkResult =
  | {readonly kind: 'token'; readonly text: string}
  | {readonly kind: 'end'; readonly end: AnswerEnd}
  | {
      readonly kind: 'discarded';
      readonly reason: 'crossed' | 'doubled' | 'gap';
    };

/** Takes the chunks of one answer in order, each once. */
export class AnswerAssembler {
  private nextOffset = 0;

  /** @param id identity of the request that the answer belongs to. */
  constructor(private readonly id: string) {}

  /** Tokens taken so far; where a broken stream is resumed. */
  get offset(): number {
    return this.nextOffset;
  }

  /** Judges the next chunk. */
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
