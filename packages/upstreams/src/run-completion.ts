/**
 * Runs one completion to its end on upstreams of one version: resumes a broken
 * stream at its offset and yields each token once. An answer without its end is
 * never yielded as finished.
 */
import * as answerAssembler from './answer-assembler.js';
import type * as engineClient from './engine-client.js';

/** One upstream chosen for an attempt. */
export interface Placement {
  readonly upstream: string;
  readonly address: string;
  /** Records the first token; its latency indicates the upstream's load. */
  readonly recordFirstToken?: () => void;
  /**
   * Records the end of the attempt, for load and latency estimates, and for how
   * long the upstream wants no requests, in milliseconds.
   */
  readonly settle: (
    outcome: AttemptOutcome,
    backoffMs: number | undefined,
  ) => void;
}

/** How an attempt on one upstream ended. */
export type AttemptOutcome = 'finished' | 'refused' | 'failed' | 'cancelled';

/** An event of a run: tokens, then one `finished` or `failed`. */
export type CompletionEvent =
  | {readonly kind: 'token'; readonly text: string}
  | {
      readonly kind: 'finished';
      readonly end: answerAssembler.AnswerEnd;
      readonly upstream: string;
    }
  | {readonly kind: 'failed'; readonly failure: engineClient.EngineFailure};

/** Progress of a run, for the time line. */
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
  /** Picks an upstream, avoiding those tried; undefined if there is none. */
  readonly place: (tried: readonly string[]) => Placement | undefined;
  /** When to try again, in ms from now; undefined if that is not known. */
  readonly findRetryAfterMs: () => number | undefined;
  /** Takes one retry from the budget; false if none is left. */
  readonly mayRetry: () => boolean;
  readonly notify: (notice: CompletionNotice) => void;
}

/** A completion to run; the upstream is chosen for each attempt. */
export type CompletionRequest = Omit<
  engineClient.EngineCall,
  'address' | 'resumeFrom'
>;

/**
 * Maximum attempts for one completion. The failure of a zone or a switch takes
 * down several upstreams at once, so two are too few. After five the fault is
 * in the request or everywhere, and more attempts only add load.
 */
export const MAX_ATTEMPTS = 5;

/**
 * Failures after which a retry needs the retry budget: those that may mean
 * overload, which retries would increase. Other failures are not limited by the
 * budget: a lost upstream or zone breaks many more streams at once than it
 * allows, and those requests were accepted. They are moved to other upstreams,
 * with at most `MAX_ATTEMPTS` attempts each.
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

/** The combined status of two attempts: `ran` over `unknown` over `not_run`. */
const mostExecuted = (
  a: engineClient.ExecutionStatus,
  b: engineClient.ExecutionStatus,
): engineClient.ExecutionStatus =>
  a === 'ran' || b === 'ran'
    ? 'ran'
    : a === 'unknown' || b === 'unknown'
      ? 'unknown'
      : 'not_run';

/** Yields the events of one attempt; without a last event it broke off. */
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
      placement.settle(outcome, failure?.backoffMs);
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
  const backoffMs = dependencies.findRetryAfterMs();
  yield {kind: 'failed', failure: {...lastFailure, ran, backoffMs}};
}
