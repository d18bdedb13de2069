/**
 * Runs a request whose answer is buffered, so that the caller only gets a
 * complete one and a broken answer can be requested again.
 */
import type * as decisions from '@amaranthknot/decisions';
import * as ports from '@amaranthknot/ports';
import * as attemptHistory from './attempt-history.js';
import type * as callerAnswer from './caller-answer.js';
import * as forwardHeaders from './forward-headers.js';
import * as runContext from './run-context.js';
import * as rawHeaders from './raw-headers.js';
import * as readBody from './read-body.js';
import * as refusals from './refusal.js';
import * as sendAttempt from './send-attempt.js';
import type * as upstreamCall from './upstream-call.js';

/**
 * Connect timeout, in milliseconds. A connection takes a round trip between
 * zones, a few ms; an upstream that has not accepted by then is down, and
 * another one can still answer on time.
 */
const CONNECT_TIMEOUT_MS = 100;

/** Sends allowed beyond `maxAttempts`, as some are refused without running. */
const MAX_REFUSED_SENDS = 4;

/** Minimum `Retry-After` when no upstream takes the request, in ms. */
const MIN_RETRY_AFTER_MS = 100;

/** An upstream's complete answer. */
export interface WholeAnswer {
  readonly kind: 'answer';
  readonly upstream: string;
  readonly head: callerAnswer.AnswerHead;
  readonly body: Buffer;
  readonly framing: decisions.AnswerFraming;
}

/** How one attempt ended. */
type AttemptResult =
  WholeAnswer | {readonly kind: 'not_run'} | {readonly kind: 'unknown'};

/**
 * A promise that stays pending. Each wait gets its own: a shared one would keep
 * what waits for it for ever.
 */
const waitForever = (): Promise<never> => new Promise(() => undefined);

const NO_DROPPED_HEADERS: ReadonlySet<string> = new Set<string>();

/** Whether a status says that the upstream failed. */
const isFailure = (status: number): boolean => status >= 500;

/** One request to a plain service. */
export class BufferedRun {
  private readonly excluded = new Set<string>();
  private readonly history: attemptHistory.AttemptHistory;
  /** Whether the last attempt went to another instance, which hedges itself. */
  private isForwarding = false;
  private last: WholeAnswer | undefined;
  /** Time until an upstream takes the request, where that is known. */
  private waitMs: number | undefined;
  /** Why the last attempt was not placed. */
  private notPlaced: refusals.PlacementReason | undefined;

  constructor(
    private readonly dependencies: runContext.RunDependencies,
    private readonly context: runContext.RunContext,
  ) {
    const {request} = context;
    this.history = new attemptHistory.AttemptHistory(request, () =>
      dependencies.links.isLost(request.service.name),
    );
  }

  /** Runs the request; resolves to an upstream's answer or a refusal. */
  async run(): Promise<WholeAnswer | refusals.Refusal> {
    const isAtMostOnce = this.context.request.route.kind === 'at_most_once';
    const answer = isAtMostOnce
      ? await this.runAtMostOnce()
      : await this.runRepeatable();
    return answer ?? this.last ?? this.explainFailure();
  }

  /** Sends the request again only if it has certainly not run. */
  private async runAtMostOnce(): Promise<WholeAnswer | undefined> {
    for (;;) {
      const purpose = this.history.sends === 0 ? 'first' : 'retry';
      const started = await this.startAttempt(this.context.signal, purpose);
      const result = await started?.result;
      if (result === undefined || result.kind === 'unknown') {
        return undefined;
      }
      if (result.kind === 'answer') {
        return result;
      }
    }
  }

  /**
   * Retries failed attempts and hedges slow ones: the first good answer is
   * used, and the other attempt is aborted.
   */
  private async runRepeatable(): Promise<WholeAnswer | undefined> {
    const abortController = new AbortController();
    const signal = AbortSignal.any([
      this.context.signal,
      abortController.signal,
    ]);
    const pending = new Set<Promise<FinishedAttempt>>();
    const startAnother = async (
      purpose: runContext.SendPurpose,
    ): Promise<void> => {
      const started = await this.startAttempt(signal, purpose);
      if (started) {
        const finished: Promise<FinishedAttempt> = started.result.then(
          result => ({result, attempt: finished}),
        );
        pending.add(finished);
      }
    };
    await startAnother('first');
    while (pending.size > 0) {
      const next = await this.waitForNext(pending);
      if (next === 'late') {
        await startAnother('hedge');
        continue;
      }
      pending.delete(next.attempt);
      const {result} = next;
      if (result.kind === 'answer' && !isFailure(result.head.status)) {
        abortController.abort('not_needed' satisfies runContext.AbortReason);
        return result;
      }
      if (pending.size === 0) {
        await startAnother('retry');
      }
    }
    return undefined;
  }

  /** The next result, or `late` when another attempt should start. */
  private async waitForNext(
    pending: ReadonlySet<Promise<FinishedAttempt>>,
  ): Promise<FinishedAttempt | 'late'> {
    const waits = new AbortController();
    const late = [
      this.waitForHedge(pending.size, waits.signal),
      this.waitForLostLinks(waits.signal),
    ];
    const next = await Promise.race([...pending, ...late]);
    waits.abort();
    return next;
  }

  /** Resolves when a hedged attempt should start, if one may. */
  private async waitForHedge(
    pending: number,
    signal: AbortSignal,
  ): Promise<'late'> {
    const {service, route} = this.context.request;
    if (!this.maySend() || pending > 1 || this.isForwarding) {
      return waitForever();
    }
    const waitMs = this.dependencies.latencies.hedgeDelayMs(
      service.name,
      route.latencyTargetMs,
    );
    await this.dependencies.clock.sleep(waitMs, signal);
    await ports.whenTurnRead();
    return 'late';
  }

  /**
   * Resolves when the links to the service are lost.
   *
   * Guards against callers who wait until their deadline for upstreams that
   * have been cut off, while another instance could serve them.
   */
  private async waitForLostLinks(signal: AbortSignal): Promise<'late'> {
    const {links} = this.dependencies;
    const service = this.context.request.service.name;
    if (links.isLost(service)) {
      return waitForever();
    }
    await links.whenLost(service, signal);
    return 'late';
  }

  private maySend(): boolean {
    const {maxAttempts} = this.context.request.route;
    return (
      !this.context.signal.aborted &&
      !this.history.isExhausted() &&
      this.history.sends < maxAttempts + MAX_REFUSED_SENDS
    );
  }

  private explainFailure(): refusals.Refusal {
    return refusals.explainRun(
      {
        runs: this.history.runs,
        sends: this.history.sends,
        isTimeUp: this.context.signal.aborted,
        notPlaced: this.notPlaced,
        waitMs: this.waitMs,
        minRetryAfterMs: MIN_RETRY_AFTER_MS,
      },
      this.dependencies.random,
    );
  }

  /** Starts an attempt; undefined if none may be sent or placed. */
  private async startAttempt(
    signal: AbortSignal,
    purpose: runContext.SendPurpose,
  ): Promise<StartedAttempt | undefined> {
    const isAwaited = this.maySend() && (await this.context.isAwaited());
    // Another attempt may have begun or been answered meanwhile.
    if (!isAwaited || !this.maySend() || signal.aborted) {
      return undefined;
    }
    const placed = this.dependencies.place({
      request: this.context.request,
      purpose,
      model: undefined,
      excluded: this.excluded,
      history: this.history.summarize(),
    });
    return placed.caseOf<StartedAttempt | undefined>({
      Left: ({reason, waitMs, inputs}) => {
        this.waitMs = waitMs ?? this.waitMs;
        this.notPlaced = reason;
        this.context.log.step('try_not_placed', {
          reason,
          sends: this.history.sends,
          ...inputs,
        });
        return undefined;
      },
      Right: found => ({result: this.runAttempt(found, signal)}),
    });
  }

  private async runAttempt(
    placed: runContext.PlacedAttempt,
    signal: AbortSignal,
  ): Promise<AttemptResult> {
    const {request} = this.context;
    const history = this.history.summarize();
    this.history.begin(placed);
    this.isForwarding = placed.forward !== undefined;
    this.excluded.add(placed.upstream.id);
    const startedAtMs = this.dependencies.clock.now();
    const opened = await sendAttempt.sendAttempt(
      this.dependencies,
      this.context,
      {
        placed,
        model: undefined,
        isModelFixed: false,
        history,
        lastEventId: request.caller.lastEventId,
        connection: request.route.kind === 'at_most_once' ? 'fresh' : 'kept',
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        headTimeoutMs: request.deadlineMs - startedAtMs,
        signal,
      },
    );
    if (opened.isLeft()) {
      const failure = opened.extract();
      this.history.recordFailure(placed, failure);
      if (placed.forward && failure.ran === 'not_run') {
        this.waitMs = failure.backoffMs ?? this.waitMs;
      }
      return {kind: failure.ran};
    }
    this.history.recordHead(placed);
    const answer = opened.unsafeCoerce();
    const body = await readBody.readBody(answer, this.context.memory);
    const tookMs = this.dependencies.clock.now() - startedAtMs;
    const isWhole = body && (await this.isWhole(placed, answer, body, signal));
    if (!isWhole) {
      const whenChecked = signal.aborted ? undefined : placed.recordBreak();
      placed.settle(signal.aborted ? 'cancelled' : 'failed');
      this.logBroken(placed, answer, signal);
      await whenChecked;
      return {kind: 'unknown'};
    }
    const {status} = answer;
    placed.settle(isFailure(status) ? 'failed' : 'answered');
    if (!placed.forward) {
      this.dependencies.latencies.record(request.service.name, tookMs);
    }
    const headers = rawHeaders.keepEndToEnd(answer.headers, NO_DROPPED_HEADERS);
    const upstream = answer.upstream ?? placed.upstream.id;
    if (request.forwarded) {
      headers.push(...forwardHeaders.describeAnswer(upstream, undefined));
    }
    this.last = {
      kind: 'answer',
      upstream,
      head: {status, headers},
      body,
      framing: answer.framing,
    };
    return this.last;
  }

  private async isWhole(
    placed: runContext.PlacedAttempt,
    answer: upstreamCall.UpstreamAnswer,
    {length: bytes}: Buffer,
    signal: AbortSignal,
  ): Promise<boolean> {
    const {confirmEnd} = this.dependencies;
    const ended = {placed, answer, bytes, signal};
    return (await confirmEnd(ended, this.context.log)) === 'whole';
  }

  private logBroken(
    {upstream, forward}: runContext.PlacedAttempt,
    {status, framing, isBroken, body}: upstreamCall.UpstreamAnswer,
    signal: AbortSignal,
  ): void {
    if (signal.aborted) {
      return;
    }
    this.context.log.failure('try_failed', {
      ...(forward ? {peer: upstream.id} : {upstream: upstream.id}),
      ran: 'unknown',
      reason: 'body_broken',
      status,
      framing,
      isComplete: body.complete,
      wasReset: isBroken(),
    });
  }
}

/** An attempt in progress. */
interface StartedAttempt {
  readonly result: Promise<AttemptResult>;
}

/** An attempt's result, with the promise that identifies the attempt. */
interface FinishedAttempt {
  readonly result: AttemptResult;
  readonly attempt: Promise<FinishedAttempt>;
}
