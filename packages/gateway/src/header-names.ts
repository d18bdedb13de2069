/** Names of the headers that the gateway reads or sets, by meaning. */

/** One name for each meaning; case does not matter. */
export interface HeaderNames {
  /** Identifies one attempt of a caller; upstreams echo it in their answers. */
  readonly requestId: string;
  /** How long the sender will wait, in milliseconds. */
  readonly timeLeft: string;
  readonly apiKey: string;
  readonly workspace: string;
  /** Id of the upstream that a request is meant for; any other refuses it. */
  readonly expectedUpstream: string;
  /** An upstream's signature of its answer, passed on unchanged. */
  readonly receipt: string;
  /** `running,waiting,slots` of the upstream that answers. */
  readonly load: string;
  /** Requests a second that the upstream accepts from all senders together. */
  readonly rateLimit: string;
  /** Refusals a second above which the upstream fails, in all its answers. */
  readonly refusalLimit: string;
  /** `1` in all answers of an upstream that is leaving. */
  readonly leaving: string;
  /** Set in an answer that says that the request did not run. */
  readonly notRun: string;
  readonly upstreamId: string;
  /** In answers to health checks: how long the upstream stays cold, in ms. */
  readonly coldFor: string;
  readonly model: string;
  /** `PROMPT,MAX`: tokens of the prompt, and maximum tokens of the answer. */
  readonly tokenCounts: string;
  /** Parts of the prompt in order, as comma-separated `ID:TOKENS`. */
  readonly promptParts: string;
  /** The caller's estimate of the answer's length, in tokens. */
  readonly lengthHint: string;
  /** The model's confidence in its answer, 0 to 100. */
  readonly confidence: string;
  readonly session: string;
  readonly lastEventId: string;
  /** Rank in an engine's queue, 0 to 9; 0 comes first. */
  readonly priority: string;
}

/** Headers by which callers, instances and upstreams communicate. */
export interface HeaderConventions {
  readonly headers: HeaderNames;
  /** Headers that only instances may set; those of callers are dropped. */
  readonly instanceOnlyHeaders: readonly string[];
}
