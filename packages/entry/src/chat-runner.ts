/**
 * Runs one chat request through its stages: from the starting stage upwards,
 * until an answer is accepted. Tokens of a stage that may still be rejected
 * are held back; those of the last stage are passed on as they come.
 */
import type * as configuration from '@amaranthknot/configuration';
import type * as upstreams from '@amaranthknot/upstreams';
import type * as apiError from './api-error.js';
import type * as chatRequest from './chat-request.js';
import type * as resolvePlan from './resolve-plan.js';

/** A chat request that was admitted. */
export interface ChatCall {
  readonly requestId: string;
  readonly workspace: configuration.Workspace;
  readonly plan: resolvePlan.Plan;
  readonly request: chatRequest.ChatRequest;
  /** Key of upstreams' prefix caches: a session or the first message. */
  readonly affinityKey: string;
}

/** The stage that an attempt runs. */
export interface StageRun {
  readonly call: ChatCall;
  readonly model: string;
  readonly version: string;
}

/** What one stage cost. */
export interface StageCost {
  readonly model: string;
  readonly version: string;
  readonly tokens: number;
  readonly cost: number;
}

/** A whole answer. */
export interface ChatAnswer {
  readonly model: string;
  readonly version: string;
  readonly upstream: string;
  readonly finishReason: string;
  readonly tokens: number;
  /** The engine's own score, 0 to 1. */
  readonly confidence: number;
  /** Cost of all stages that ran. */
  readonly cost: number;
  readonly stages: readonly StageCost[];
}

/** What a run yields: tokens, then one `answered` or `failed`. */
export type ChatEvent =
  | {
      readonly kind: 'token';
      readonly text: string;
      readonly model: string;
      readonly version: string;
    }
  | {readonly kind: 'answered'; readonly answer: ChatAnswer}
  | {readonly kind: 'failed'; readonly error: apiError.ApiError};

/** Where a request starts and what it accepts, by stage of the plan. */
export interface StageChoice {
  readonly startStage: number;
  /** Whether the answer of a stage is accepted; never asked of the last. */
  readonly accepts: (stage: number, confidence: number) => boolean;
}

/** What happens in a run, for the time line and for learning. */
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

/** What a run needs. */
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

/** Failures by which no upstream had room for the request. */
const CAPACITY_FAILURES: readonly upstreams.EngineFailureCode[] = [
  'unreachable',
  'overloaded',
  'cold',
];

const toApiError = (failure: upstreams.EngineFailure): apiError.ApiError => {
  const {ran, message} = failure;
  return CAPACITY_FAILURES.includes(failure.code)
    ? {code: 'no_upstream', ran, message, retryAfterMs: 1000}
    : {code: 'upstream_failed', ran, message, retryAfterMs: 1000};
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
    retryAfterMs: 1000,
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

  /** Runs one stage; says whether its answer was passed on. */
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

/** Runs a chat request. */
export const runChat = (
  dependencies: ChatDependencies,
  call: ChatCall,
  signal: AbortSignal,
): AsyncGenerator<ChatEvent> => new ChatRun(dependencies, call, signal).run();
