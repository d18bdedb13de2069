/** What is placed, and where it may go. */

/** An upstream that may be picked. */
export interface PickCandidate {
  readonly id: string;
  readonly zone: string;
  readonly slots: number;
}

/** What one try brings to an upstream. */
export interface PickRequest {
  /** Tokens to read, weighted by what the model takes for each; 0 for none. */
  readonly promptTokens: number;
  /** Tokens of the answer to expect, weighted alike; 0 for none. */
  readonly answerTokens: number;
  /** Of the prompt, tokens of a beginning that other requests share. */
  readonly prefixTokens: number;
  /** Names that beginning; undefined where nothing is shared. */
  readonly prefixKey: string | undefined;
  /** Whether a cheap or a capable model runs; absent where there is one. */
  readonly tier?: 'cheap' | 'capable';
}
