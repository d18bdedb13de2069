/** Names of the headers that matter to the gateway, by meaning. */

/** One name for each meaning; lower and upper case do not matter. */
export interface HeaderNames {
  /** Names one try of a caller; upstreams repeat it in their answers. */
  readonly requestId: string;
  /** How long the sender will wait, in milliseconds. */
  readonly timeLeft: string;
  readonly apiKey: string;
  readonly workspace: string;
  /** Upstream that a request is meant for; any other refuses it. */
  readonly expectedUpstream: string;
  /** An upstream's signature of its answer, handed on unchanged. */
  readonly receipt: string;
  /** `running,waiting,slots` of the upstream that answers. */
  readonly load: string;
  /** Requests a second that the upstream takes from all senders together. */
  readonly rateLimit: string;
  /** Set in an answer that says that the request did not run. */
  readonly notRun: string;
  readonly upstreamId: string;
  /** In answers to health checks: how long the upstream stays cold, in ms. */
  readonly coldFor: string;
  readonly model: string;
  /** `PROMPT,MAX`: tokens of the prompt, and most tokens of the answer. */
  readonly tokenCounts: string;
  /** Parts of the prompt in order, as `ID:TOKENS`, separated by commas. */
  readonly promptParts: string;
  /** The caller's guess of the answer's tokens. */
  readonly lengthHint: string;
  /** 0 to 100: what the model thinks of its answer. */
  readonly confidence: string;
  readonly session: string;
  readonly lastEventId: string;
  /** 0 to 9 for an engine's queue; 0 comes first. */
  readonly priority: string;
}

/** How the gateway and its neighbours talk HTTP. */
export interface HeaderConventions {
  readonly headers: HeaderNames;
  /** Headers that only instances set; what callers send is dropped. */
  readonly instanceOnlyHeaders: readonly string[];
}
