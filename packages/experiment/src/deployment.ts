/** Model of a simulated deployment and its load. Times are in milliseconds. */

/** A language model that the engines run. */
export interface EmulatedModel {
  readonly name: string;
  /** Price of 1,000 generated tokens; prompt tokens cost a quarter of it. */
  readonly cost: number;
  /** Factor on the engine's time per token. */
  readonly pace: number;
  /** Fraction of all requests that it answers well, 0 to 1. */
  readonly quality: number;
}

/** Capacity and speed of a model engine. */
export interface EngineShape {
  /** Requests in a batch. */
  readonly slots: number;
  /** Time of one decode step of the batch, and what each request adds to it. */
  readonly stepMs: number;
  readonly stepMsPerRequest: number;
  /** Prompt tokens processed per millisecond. */
  readonly prefillTokensPerMs: number;
  /** Capacity of the prefix cache, in tokens. */
  readonly cacheTokens: number;
  /** Tokens in one event of the answer's stream. */
  readonly eventTokens: number;
}

/** One class of requests. */
export interface RequestClass {
  readonly name: string;
  readonly perSecond: number;
  /**
   * Tokens of the shared prefix, and the means of the log-normal lengths of the
   * own part of a prompt and of the answer; `spread` is their deviation.
   */
  readonly prefixTokens: number;
  readonly suffixTokens: number;
  readonly answerTokens: number;
  readonly spread: number;
  /** Number of prefixes, of which each request has one. */
  readonly prefixCount: number;
  readonly latencyTargetMs: number;
  readonly timeoutMs: number;
  /** Worth of an answer whose first token comes within the target. */
  readonly worth: number;
  /** Worth of an answer whose first token comes later. */
  readonly lateWorth: number;
}

/** A deployment, as drawn from `seed`. */
export interface Deployment {
  readonly seed: number;
  readonly instances: number;
  readonly zones: number;
  readonly engines: number;
  /** Factor on the times of each engine; 1 is full speed. */
  readonly slowdowns: readonly number[];
  readonly shape: EngineShape;
  /** Cheapest first. */
  readonly models: readonly EmulatedModel[];
  /** Standard deviation of a model's confidence, on its scale of 0 to 100. */
  readonly confidenceDeviation: number;
  readonly classes: readonly RequestClass[];
  /** Period in which the rate of all classes is multiplied by `factor`. */
  readonly burst: {
    readonly atMs: number;
    readonly forMs: number;
    readonly factor: number;
  };
  /** Duration of the load. */
  readonly durationMs: number;
}
