/**
 * Opens the streams of one request: which upstreams are tried, when a silent
 * one is failed over, and how many runs the route allows.
 */
import * as decisions from '@amaranthknot/decisions';
import type * as routing from '@amaranthknot/routing';
import * as attemptHistory from './attempt-history.js';
import type * as eventRelay from './event-relay.js';
import * as runContext from './run-context.js';
import * as refusals from './refusal.js';
import * as stallWatchdog from './stall-watchdog.js';
import * as sendAttempt from './send-attempt.js';

/**
 * Connect timeout, in milliseconds. Longer than for buffered requests, because
 * a prompt is worth a longer wait.
 */
const CONNECT_TIMEOUT_MS = 250;

/** Sends allowed beyond `maxAttempts`, as some are refused without running. */
const MAX_REFUSED_SENDS = 4;

/** Minimum `Retry-After` when no upstream takes the request, in ms. */
const MIN_RETRY_AFTER_MS = 250;

/**
 * Factor on the time after which a silent stream fails over, where another
 * instance forwards it, which fails over by itself first.
 */
const FORWARD_STALL_FACTOR = 2;

/**
 * Probes in a row that an upstream must fail to count as out of reach. A sound
 * one may be silent for about a second and then go on with the stream, which
 * would then run twice.
 */
const UNREACHABLE_PROBES = 2;

/** An answer whose head has arrived, with its attempt. */
export interface OpenStream extends eventRelay.RelayedStream {
  readonly model: string | undefined;
}

/** Whether a stream was opened rather than refused. */
export const isOpenStream = (
  found: OpenStream | refusals.Refusal,
): found is OpenStream => 'answer' in found;

/** Opens streams for one request. */
export class StreamOpener {
  private readonly excluded = new Set<string>();
  private isModelFixed = false;
  private readonly history: attemptHistory.AttemptHistory;
  /** Time until an upstream takes the request, where that is known. */
  private waitMs: number | undefined;
  /** Why the last attempt was not placed. */
  private notPlaced: refusals.PlacementReason | undefined;
  /**
   * The next attempt, placed before the one in progress is aborted, which goes
   * on if the next can't be placed.
   */
  private reserved: runContext.PlacedAttempt | undefined;

  /**
   * @param findLastEventId returns the number of the last event that the caller
   *     has.
   */
  constructor(
    private readonly dependencies: runContext.RunDependencies,
    private readonly context: runContext.RunContext,
    private readonly findLastEventId: () => string | undefined,
  ) {
    const {request} = context;
    this.history = new attemptHistory.AttemptHistory(request, () =>
      dependencies.links.isLost(request.service.name),
    );
  }

  /** Runs so far, without attempts that certainly did not run. */
  get runs(): number {
    return this.history.runs;
  }

  /** Whether the route allows no further run. */
  isExhausted(): boolean {
    return this.history.isExhausted();
  }

  /**
   * Tries upstreams until one of them begins a stream.
   *
   * @param purpose why the first of these attempts is sent.
   * @param isModelFixed whether an instance that the request is forwarded to
   *     must use `model` too.
   */
  async open(
    purpose: runContext.SendPurpose,
    model: string | undefined,
    isModelFixed: boolean,
  ): Promise<OpenStream | refusals.Refusal> {
    const {request, isAwaited} = this.context;
    const {maxAttempts, isResumable} = request.route;
    const maxSends = this.history.sends + maxAttempts + MAX_REFUSED_SENDS;
    this.isModelFixed = isModelFixed;
    let nextPurpose = purpose;
    let maySend = true;
    while (maySend && this.history.sends < maxSends && (await isAwaited())) {
      const found =
        this.takeReserved() ?? this.place(nextPurpose, model, this.excluded);
      if (!found) {
        break;
      }
      nextPurpose = 'retry';
      const result = await this.runAttempt(found, model);
      if (typeof result === 'object') {
        return result;
      }
      this.excluded.add(found.upstream.id);
      maySend = result === 'not_run' || (isResumable && !this.isExhausted());
    }
    return this.explainFailure();
  }

  /** Places the next attempt, see `reserved`; false if it can't be placed. */
  reserve(
    purpose: runContext.SendPurpose,
    model: string | undefined,
    excluded: ReadonlySet<string> = this.excluded,
  ): boolean {
    this.reserved ??= this.place(purpose, model, excluded);
    return this.reserved !== undefined;
  }

  /** Cancels an attempt that was reserved and not used. */
  release(): void {
    this.takeReserved()?.settle('cancelled');
  }

  /**
   * Starts the watchdog of an open stream. It fails over once the upstream has
   * been silent for so long that the caller would count the stream as late, or
   * earlier if the upstream is unreachable.
   */
  watchForStall({
    placed,
    model,
    abortController,
  }: OpenStream): stallWatchdog.StallWatchdog {
    const {pauseTargetMs} = this.context.request.route;
    if (pauseTargetMs === undefined) {
      return stallWatchdog.NO_WATCHDOG;
    }
    return this.startWatchdog(placed, model, abortController, {
      probeAfterMs: decisions.findProbeDelayMs(pauseTargetMs),
      stallAfterMs: decisions.findStallTimeoutMs(pauseTargetMs),
    });
  }

  private place(
    purpose: runContext.SendPurpose,
    model: string | undefined,
    excluded: ReadonlySet<string>,
  ): runContext.PlacedAttempt | undefined {
    const {request, log} = this.context;
    return this.dependencies
      .place({
        request,
        purpose,
        model,
        excluded,
        history: this.history.summarize(),
      })
      .caseOf({
        Left: ({reason, waitMs, inputs}) => {
          this.waitMs = waitMs ?? this.waitMs;
          this.notPlaced = reason;
          log.step('try_not_placed', {
            reason,
            sends: this.history.sends,
            ...inputs,
          });
          return undefined;
        },
        Right: placed => placed,
      });
  }

  private takeReserved(): runContext.PlacedAttempt | undefined {
    const {reserved} = this;
    this.reserved = undefined;
    return reserved;
  }

  /**
   * Fails over from a silent upstream, if another one can take the request.
   *
   * Guards against streams that break although their engine would have gone on:
   * an engine that prefills a long prompt is silent on all its streams at once.
   * If all fail over together, they need more repeats than the budget has, and
   * those that get none break off.
   */
  private failOver(
    upstream: routing.Upstream,
    model: string | undefined,
    abortController: AbortController,
    reason: runContext.AbortReason,
  ): boolean {
    const excluded = new Set([...this.excluded, upstream.id]);
    if (!this.reserve('retry', model, excluded)) {
      return false;
    }
    abortController.abort(reason);
    return true;
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

  private async runAttempt(
    placed: runContext.PlacedAttempt,
    model: string | undefined,
  ): Promise<OpenStream | 'not_run' | 'unknown'> {
    const {dependencies, context} = this;
    const {request} = context;
    const history = this.history.summarize();
    this.history.begin(placed);
    const startedAtMs = dependencies.clock.now();
    const abortController = new AbortController();
    const watchdog = this.watchForHead(placed, model, abortController);
    const opened = await sendAttempt.sendAttempt(dependencies, context, {
      placed,
      model,
      isModelFixed: this.isModelFixed,
      history,
      lastEventId: this.findLastEventId(),
      connection: request.route.isResumable ? 'kept' : 'fresh',
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      headTimeoutMs: request.deadlineMs - startedAtMs,
      signal: AbortSignal.any([context.signal, abortController.signal]),
    });
    watchdog.stop();
    const tookMs = dependencies.clock.now() - startedAtMs;
    if (opened.isLeft()) {
      const failure = opened.extract();
      this.history.recordFailure(placed, failure);
      if (placed.forward && failure.ran === 'not_run') {
        this.waitMs = failure.backoffMs ?? this.waitMs;
      }
      const reason = runContext.abortReasonOf(abortController.signal);
      if (reason === 'upstream_silent') {
        // A wait that timed out counts too: all upstreams may be slow.
        this.recordWait(placed, model, tookMs, true);
      }
      return failure.ran;
    }
    this.history.recordHead(placed);
    const answer = opened.unsafeCoerce();
    if (answer.status >= 300) {
      abortController.abort('not_needed' satisfies runContext.AbortReason);
      placed.settle('failed');
      context.log.failure('try_failed', {
        upstream: placed.upstream.id,
        ran: 'unknown',
        reason: 'status',
        status: answer.status,
      });
      return 'unknown';
    }
    this.recordWait(placed, model, tookMs, false);
    const answeringModel = answer.model ?? model;
    return {placed, answer, model: answeringModel, abortController};
  }

  /** Waits at another instance say nothing of a single upstream. */
  private recordWait(
    {forward}: runContext.PlacedAttempt,
    model: string | undefined,
    waitMs: number,
    timedOut: boolean,
  ): void {
    if (forward) {
      return;
    }
    const {latencies, escalation} = this.dependencies;
    latencies.record(this.latencyKeyOf(model), waitMs);
    escalation.recordWait(this.context.request, model, waitMs, timedOut);
  }

  private latencyKeyOf(model: string | undefined): string {
    const {service, route} = this.context.request;
    return `${service.name}/${route.name}/${model ?? ''}`;
  }

  /**
   * Starts the watchdog for the first event. It fails over when the upstream is
   * too slow or unreachable. The last allowed attempt waits as long as the
   * caller does.
   */
  private watchForHead(
    placed: runContext.PlacedAttempt,
    model: string | undefined,
    abortController: AbortController,
  ): stallWatchdog.StallWatchdog {
    const {latencyTargetMs} = this.context.request.route;
    return this.startWatchdog(placed, model, abortController, {
      probeAfterMs: decisions.findProbeDelayMs(latencyTargetMs),
      stallAfterMs: this.dependencies.latencies.firstTokenTimeoutMs(
        this.latencyKeyOf(model),
        latencyTargetMs,
      ),
    });
  }

  private startWatchdog(
    {upstream, forward}: runContext.PlacedAttempt,
    model: string | undefined,
    abortController: AbortController,
    times: {readonly probeAfterMs: number; readonly stallAfterMs: number},
  ): stallWatchdog.StallWatchdog {
    const {probe, probePeer} = this.dependencies;
    const isReachableNow = forward ? probePeer : probe;
    const stallFactor = forward ? FORWARD_STALL_FACTOR : 1;
    if (!this.context.request.route.isResumable || this.isExhausted()) {
      return stallWatchdog.NO_WATCHDOG;
    }
    const {isLost} = this.dependencies.links;
    let failedProbes = 0;
    const isReachable = () =>
      failedProbes < UNREACHABLE_PROBES && !isLost(upstream.service);
    const watchdog = stallWatchdog.startStallWatchdog({
      probeAfterMs: times.probeAfterMs,
      stallAfterMs: stallFactor * times.stallAfterMs,
      isReachable: async () => {
        failedProbes = (await isReachableNow(upstream)) ? 0 : failedProbes + 1;
        return failedProbes === 0 || isReachable();
      },
      failOver: () =>
        this.failOver(
          upstream,
          model,
          abortController,
          isReachable() ? 'upstream_silent' : 'upstream_lost',
        ),
    });
    return {
      stop: watchdog.stop,
      hold: watchdog.hold,
      reset: () => {
        failedProbes = 0;
        watchdog.reset();
      },
    };
  }
}
