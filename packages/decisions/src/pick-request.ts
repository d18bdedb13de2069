/** Input of the upstream picker: the candidates and the request. */

/** An upstream that may be picked. */
export interface PickCandidate {
  readonly id: string;
  readonly zone: string;
  /** Number of requests that it batches at once. */
  readonly slots: number;
}

/** Work that one attempt puts on an upstream. */
export interface PickRequest {
  /** Prompt tokens, weighted by the model's time per token; 0 if none. */
  readonly promptTokens: number;
  /** Expected answer tokens, weighted the same way; 0 if none. */
  readonly answerTokens: number;
  /** Tokens of the prompt's prefix that other requests share. */
  readonly prefixTokens: number;
  /** Identifies that prefix; undefined if none is shared. */
  readonly prefixKey: string | undefined;
  /** Tier of the model; absent if the service has only one model. */
  readonly tier?: 'cheap' | 'capable';
}
