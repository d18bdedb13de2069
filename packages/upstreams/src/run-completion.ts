/**
 * Runs one completion to its end on upstreams of one version: resumes a broken
 * stream at its offset, on the same upstream or another, and passes each token
 * on once. An answer without its end is never passed on as whole.
 */
import * as answerAssembler from './answer-assembler.js';
import type * as engineClient from './engine-client.js';

/** One upstream chosen for an attempt. */
export interface Placement {
  readonly upstream: string;
  readonly address: string;
  /** Notes the first token, whose latency tells how loaded it is. */
  readonly recordFirstToken?: () => void;
  /** Reports the attempt's end, for load and latency accounting. */
  readonly settle: (outcome: AttemptOutcome) => void;
}

/** How an attempt on one upstream ended. */
export type AttemptOutcome = 'finished' | 'refused' | 'failed' | 'cancelled';

/** What a run yields: tokens, then one `finished` or `failed`. */
export type CompletionEvent =
  | {readonly kind: 'token'; readonly text: string}
  | {
      readonly kind: 'finished';
      readonly end: answerAssembler.AnswerEnd;
      readonly upstream: string;
    }
  | {readonly kind: 'failed'; readonly failure: engineClient.EngineFailure};

/** What a run tells while it goes on, for the time line. */
export type CompletionNotice =
  | {readonly kind: 'started'; readonly upstream: string}
  | {
      readonly kind: 'discarded';
      readonly upstream: string;
      readonly reason: 'crossed' | 'doubled' | 'gap';
    }
  | {
      readonly kind: 'attempt_failed';
      readonly upstream: string;
      readonly failure: engineClient.EngineFailure;
      readonly offset: number;
    };

/** What a run needs. */
export interface CompletionDependencies {
  readonly open: engineClient.OpenEngineStream;
  /** Picks an upstream, avoiding those tried; undefined when there is none. */
  readonly place: (tried: readonly string[]) => Placement | undefined;
  /** Takes one retry from the budget; false when there is none left. */
  readonly mayRetry: () => boolean;
  readonly notify: (notice: CompletionNotice) => void;
}

/** A completion to run; the upstream is chosen for each attempt. */
export type CompletionRequest = Omit<
  engineClient.EngineCall,
  'address' | 'resumeFrom'
>;

/**
 * Attempts for one completion. A zone or a switch takes several upstreams at
 * once, so two are too few; past five the fault is in the request or
 * everywhere, and more attempts only add load.
 */
export const MAX_ATTEMPTS = 5;

/**
 * Failures whose repetition the retry budget bounds: those by which an
 * upstream may be saying that it has too much, so that retries would feed the
 * overload. A lost upstream or zone breaks many streams at once, far over the
 * budget; those requests were accepted and are moved, each `MAX_ATTEMPTS`
 * times at most.
 */
const BUDGETED_FAILURES: readonly engineClient.EngineFailureCode[] = [
  'overloaded',
  'engine_error',
];

const NO_UPSTREAM: engineClient.EngineFailure = {
  code: 'unreachable',
  ran: 'not_run',
  message: 'no upstream may take the request',
};

const attemptOutcomeOf = (
  failure: engineClient.EngineFailure,
): AttemptOutcome => {
  if (failure.code === 'aborted') {
    return 'cancelled';
  }
  return failure.ran === 'not_run' ? 'refused' : 'failed';
};

/** The most that any attempt may have run. */
const mostExecuted = (
  a: engineClient.ExecutionStatus,
  b: engineClient.ExecutionStatus,
): engineClient.ExecutionStatus =>
  a === 'ran' || b === 'ran'
    ? 'ran'
    : a === 'unknown' || b === 'unknown'
      ? 'unknown'
      : 'not_run';

/** Yields the attempt's items; ends with a failure unless it finished. */
async function* runAttempt(
  dependencies: CompletionDependencies,
  request: CompletionRequest,
  placement: Placement,
  assembler: answerAssembler.AnswerAssembler,
  signal: AbortSignal,
): AsyncGenerator<CompletionEvent> {
  const {upstream, address} = placement;
  const call = {...request, address, resumeFrom: assembler.offset};
  dependencies.notify({kind: 'started', upstream});
  for await (const event of dependencies.open(call, signal)) {
    if (event.kind === 'failed') {
      yield event;
      return;
    }
    const result = assembler.take(event.chunk);
    switch (result.kind) {
      case 'token':
        placement.recordFirstToken?.();
        yield result;
        break;
      case 'end':
        yield {kind: 'finished', end: result.end, upstream};
        return;
      case 'discarded':
        dependencies.notify({
          kind: 'discarded',
          upstream,
          reason: result.reason,
        });
        break;
    }
  }
}

/** Runs a completion on upstreams of one version. */
export async function* runCompletion(
  dependencies: CompletionDependencies,
  request: CompletionRequest,
  signal: AbortSignal,
): AsyncGenerator<CompletionEvent> {
  const assembler = new answerAssembler.AnswerAssembler(request.requestId);
  const tried: string[] = [];
  let ran: engineClient.ExecutionStatus = 'not_run';
  let lastFailure = NO_UPSTREAM;
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    const isBudgeted =
      attempt > 0 && BUDGETED_FAILURES.includes(lastFailure.code);
    if (isBudgeted && !dependencies.mayRetry()) {
      break;
    }
    const placement = dependencies.place(tried);
    if (!placement) {
      break;
    }
    tried.push(placement.upstream);
    let failure: engineClient.EngineFailure | undefined;
    let outcome: AttemptOutcome = 'cancelled';
    try {
      const events = runAttempt(
        dependencies,
        request,
        placement,
        assembler,
        signal,
      );
      for await (const event of events) {
        if (event.kind === 'failed') {
          failure = event.failure;
          outcome = attemptOutcomeOf(failure);
          break;
        }
        if (event.kind === 'finished') {
          outcome = 'finished';
          yield event;
          return;
        }
        yield event;
      }
    } finally {
      placement.settle(outcome);
    }
    lastFailure = failure ?? {
      code: 'broken_stream',
      ran: 'unknown',
      message: 'the stream ended early',
    };
    ran = mostExecuted(ran, lastFailure.ran);
    dependencies.notify({
      kind: 'attempt_failed',
      upstream: placement.upstream,
      failure: lastFailure,
      offset: assembler.offset,
    });
    if (lastFailure.code === 'aborted') {
      break;
    }
  }
  yield {kind: 'failed', failure: {...lastFailure, ran}};
}
