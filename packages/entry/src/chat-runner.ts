/**
 * Runs one chat request through the stages of its cascade, from the start stage
 * upwards, until an answer is accepted. Tokens of a stage whose answer may be
 * rejected are buffered; tokens of the last stage are streamed.
 */
import type * as configuration from '@amaranthknot/configuration';
import type * as upstreams from '@amaranthknot/upstreams';
import type * as apiError from './api-error.js';
import type * as chatRequest from './chat-request.js';
import type * as resolvePlan from './resolve-plan.js';

/** An authenticated chat request with its plan. */
export interface ChatCall {
  readonly requestId: string;
  readonly workspace: configuration.Workspace;
  readonly plan: resolvePlan.Plan;
  readonly request: chatRequest.ChatRequest;
  /** Placement key of the session: its requests share a prompt prefix. */
  readonly affinityKey: string;
}

/** One stage of a request, on one version. */
export interface StageRun {
  readonly call: ChatCall;
  readonly model: string;
  readonly version: string;
}

/** Tokens and cost of one stage. */
export interface StageCost {
  readonly model: string;
  readonly version: string;
  readonly tokens: number;
  readonly cost: number;
}

/** A complete answer, without its text. */
export interface ChatAnswer {
  readonly model: string;
  readonly version: string;
  readonly upstream: string;
  readonly finishReason: string;
  readonly tokens: number;
  /** The engine's own score, 0 to 1. */
  readonly confidence: number;
  /** Total cost of all stages that ran, also of rejected ones. */
  readonly cost: number;
  readonly stages: readonly StageCost[];
}

/**
 * Event of a run: tokens, then `answered` or `failed`, or none after an abort.
 */
export type ChatEvent =
  | {
      readonly kind: 'token';
      readonly text: string;
      readonly model: string;
      readonly version: string;
    }
  | {readonly kind: 'answered'; readonly answer: ChatAnswer}
  | {readonly kind: 'failed'; readonly error: apiError.ApiError};

/**
 * Start stage and acceptance rule of a request; stages by index in the plan.
 */
export interface StageChoice {
  readonly startStage: number;
  /**
   * Whether the answer of a stage is accepted; not called for the last stage.
   */
  readonly accepts: (stage: number, confidence: number) => boolean;
}

/** Progress of a run, for events, metrics and what cascades learn. */
export type StageEvent =
  | {readonly kind: 'stage_started'; readonly run: StageRun}
  | {
      readonly kind: 'stage_answered';
      readonly run: StageRun;
      readonly confidence: number;
      readonly accepted: boolean;
      /** Whether an earlier stage's answer was rejected. */
      readonly escalated: boolean;
    }
  | {
      readonly kind: 'stage_failed';
      readonly run: StageRun;
      readonly failure: upstreams.EngineFailure;
    };

/** Dependencies of `runChat`. */
export interface ChatDependencies {
  readonly chooseStages: (call: ChatCall) => StageChoice;
  readonly selectVersion: (
    call: ChatCall,
    stage: resolvePlan.PlanStage,
  ) => string | undefined;
  readonly runStage: (
    run: StageRun,
    signal: AbortSignal,
  ) => AsyncIterable<upstreams.CompletionEvent>;
  readonly notify: (event: StageEvent) => void;
}

/** Minimum `Retry-After` after a failure of upstreams, in milliseconds. */
const MIN_RETRY_AFTER_MS = 1_000;

/** Failures that mean that no upstream could take the request. */
const CAPACITY_FAILURES: readonly upstreams.EngineFailureCode[] = [
  'unreachable',
  'overloaded',
  'cold',
];

const toApiError = (failure: upstreams.EngineFailure): apiError.ApiError => {
  const {ran, message, backoffMs = 0} = failure;
  const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, backoffMs);
  return CAPACITY_FAILURES.includes(failure.code)
    ? {code: 'no_upstream', ran, message, retryAfterMs}
    : {code: 'upstream_failed', ran, message, retryAfterMs};
};

const mergeExecutionStatus = (
  ran: apiError.ExecutionStatus,
  other: apiError.ExecutionStatus,
): apiError.ExecutionStatus => {
  if (ran === 'ran' || other === 'ran') {
    return 'ran';
  }
  return ran === 'unknown' || other === 'unknown' ? 'unknown' : 'not_run';
};

/** State of one run over its stages. */
class ChatRun {
  private readonly costs: StageCost[] = [];
  private ran: apiError.ExecutionStatus = 'not_run';
  private lastError: apiError.ApiError = {
    code: 'no_upstream',
    ran: 'not_run',
    message: 'no version of this model may take the request',
    retryAfterMs: MIN_RETRY_AFTER_MS,
  };

  constructor(
    private readonly dependencies: ChatDependencies,
    private readonly call: ChatCall,
    private readonly signal: AbortSignal,
  ) {}

  async *run(): AsyncGenerator<ChatEvent> {
    const {stages} = this.call.plan;
    const choice = this.dependencies.chooseStages(this.call);
    for (let index = choice.startStage; index < stages.length; index++) {
      const stage = stages[index];
      const version =
        stage && this.dependencies.selectVersion(this.call, stage);
      if (!stage || version === undefined) {
        continue;
      }
      const isLast = index === stages.length - 1;
      const accepts = (confidence: number) =>
        isLast || choice.accepts(index, confidence);
      const answered = yield* this.runStage(stage, version, isLast, accepts);
      if (answered || this.signal.aborted) {
        return;
      }
    }
    const ran = mergeExecutionStatus(this.ran, this.lastError.ran);
    yield {kind: 'failed', error: {...this.lastError, ran}};
  }

  /** Runs one stage; returns whether its answer was accepted. */
  private async *runStage(
    stage: resolvePlan.PlanStage,
    version: string,
    isLast: boolean,
    accepts: (confidence: number) => boolean,
  ): AsyncGenerator<ChatEvent, boolean> {
    const model = stage.model.name;
    const run = {call: this.call, model, version};
    const buffered: ChatEvent[] = [];
    this.dependencies.notify({kind: 'stage_started', run});
    for await (const event of this.dependencies.runStage(run, this.signal)) {
      switch (event.kind) {
        case 'token': {
          const token = {kind: 'token', text: event.text, model, version};
          if (isLast) {
            yield token as ChatEvent;
          } else {
            buffered.push(token as ChatEvent);
          }
          break;
        }
        case 'failed':
          this.dependencies.notify({
            kind: 'stage_failed',
            run,
            failure: event.failure,
          });
          this.lastError = toApiError(event.failure);
          this.ran = mergeExecutionStatus(this.ran, event.failure.ran);
          return false;
        case 'finished': {
          const {confidence} = event.end;
          const accepted = accepts(confidence);
          const escalated = this.costs.length > 0;
          this.addCost(stage.model, version, event.end.completionTokens);
          this.dependencies.notify({
            kind: 'stage_answered',
            run,
            confidence,
            accepted,
            escalated,
          });
          if (!accepted) {
            this.ran = 'ran';
            return false;
          }
          yield* buffered;
          yield {kind: 'answered', answer: this.toAnswer(run, event)};
          return true;
        }
      }
    }
    return false;
  }

  private addCost(
    model: configuration.Model,
    version: string,
    tokens: number,
  ): void {
    const cost = (tokens / 1000) * model.costPerThousandTokens;
    this.costs.push({model: model.name, version, tokens, cost});
  }

  private toAnswer(
    run: StageRun,
    event: Extract<upstreams.CompletionEvent, {readonly kind: 'finished'}>,
  ): ChatAnswer {
    return {
      model: run.model,
      version: run.version,
      upstream: event.upstream,
      finishReason: event.end.finishReason,
      tokens: event.end.completionTokens,
      confidence: event.end.confidence,
      cost: this.costs.reduce((sum, stage) => sum + stage.cost, 0),
      stages: this.costs,
    };
  }
}

/** Runs an admitted chat request; see `ChatEvent` for what it yields. */
export const runChat = (
  dependencies: ChatDependencies,
  call: ChatCall,
  signal: AbortSignal,
): AsyncGenerator<ChatEvent> => new ChatRun(dependencies, call, signal).run();
