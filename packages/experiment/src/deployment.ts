/** What a deployment is made of, and the load that it gets. Times in ms. */

/** A model that engines run. */
export interface EmulatedModel {
  readonly name: string;
  /** Price of 1,000 generated tokens; tokens read cost a quarter of it. */
  readonly cost: number;
  /** Time that it takes for a token, against an engine's own pace. */
  readonly pace: number;
  /** Part of all requests that it answers well, 0 to 1. */
  readonly quality: number;
}

/** What a model engine can do. */
export interface EngineShape {
  readonly slots: number;
  /** Time of one step of the batch, and what each request in it adds. */
  readonly stepMs: number;
  readonly stepMsPerRequest: number;
  /** Prompt tokens read in a millisecond. */
  readonly prefillTokensPerMs: number;
  /** Tokens of shared parts of prompts that stay in memory. */
  readonly cacheTokens: number;
  /** Tokens in one event of a stream. */
  readonly eventTokens: number;
}

/** One kind of request. */
export interface RequestClass {
  readonly name: string;
  readonly perSecond: number;
  /** Means of log-normal distributions, and their deviation. */
  readonly prefixTokens: number;
  readonly suffixTokens: number;
  readonly answerTokens: number;
  readonly spread: number;
  /** Beginnings of prompts among which requests choose. */
  readonly prefixCount: number;
  readonly latencyTargetMs: number;
  readonly timeoutMs: number;
  readonly worth: number;
  /** Worth of an answer that begins after its target. */
  readonly lateWorth: number;
}

/** A deployment. */
export interface Deployment {
  readonly seed: number;
  readonly instances: number;
  readonly zones: number;
  readonly engines: number;
  /** Factor on the times of each engine; 1 is sound. */
  readonly slowdowns: readonly number[];
  readonly shape: EngineShape;
  /** Cheapest first. */
  readonly models: readonly EmulatedModel[];
  /** Standard deviation of a model's opinion, in points of confidence. */
  readonly confidenceDeviation: number;
  readonly classes: readonly RequestClass[];
  /** A moment from which all load is this many times as high, for a while. */
  readonly burst: {
    readonly atMs: number;
    readonly forMs: number;
    readonly factor: number;
  };
  /** How long the load lasts. */
  readonly durationMs: number;
}
