/** Handles each caller's request from its arrival to its final answer. */
import type * as http from 'node:http';
import type * as decisions from '@amaranthknot/decisions';
import type * as telemetry from '@amaranthknot/telemetry';
import type * as protocol from '@amaranthknot/protocol';
import * as breakOffUnread from './break-off-unread.js';
import * as callerAnswer from './caller-answer.js';
import * as callerRequest from './caller-request.js';
import * as exchangeOrder from './exchange-order.js';
import type * as loopMonitor from './loop-monitor.js';
import * as notice from './notice.js';
import * as readRequestBody from './read-request-body.js';
import * as requestAcceptance from './request-acceptance.js';
import type * as runContext from './run-context.js';
import * as bufferedRun from './buffered-run.js';
import type * as refusals from './refusal.js';
import * as runEnd from './run-end.js';
import * as streamRun from './stream-run.js';

/** What the gateway needs. */
export interface GatewayDependencies
  extends runContext.RunDependencies, requestAcceptance.AcceptanceDependencies {
  /** Resolves when this instance has synced, or after a time limit. */
  readonly whenSynced: () => Promise<void>;
  /** The event loop that reads callers' connections. */
  readonly loop: loopMonitor.LoopState;
  /** Bounds the bytes of bodies and answers that are held at once. */
  readonly memory: decisions.MemoryBudget;
  /** Called at the end of each accepted request. */
  readonly onRequestEnd: (sample: telemetry.RequestSample) => void;
}

/** When the head of an answer was sent; undefined before that. */
interface AnswerTimes {
  begunAtMs?: number;
}

/** One exchange with a caller, or with the instance that forwards for it. */
interface Exchange {
  readonly message: http.IncomingMessage;
  readonly response: http.ServerResponse;
  readonly answer: callerAnswer.CallerAnswer;
  /** Earliest time at which it may have arrived, by the clock. */
  readonly receivedAtMs: number;
  /** Longest time for which it may have waited before it was read. */
  readonly waitedMs: number;
  readonly times: AnswerTimes;
  readonly acceptance: requestAcceptance.RequestAcceptance;
  readonly memory: decisions.MemoryLease;
}

/**
 * Time before its deadline at which a request is answered at the latest, in
 * milliseconds, so that the answer reaches the caller while it still waits.
 */
const ANSWER_MARGIN_MS = 20;

/** Another instance takes the request at once. */
const STOPPING: refusals.Refusal = {reason: 'stopping', retryAfterMs: 0};

/** Refusals of requests whose bodies were not read. */
const UNREAD_REFUSALS: Readonly<
  Record<Exclude<readRequestBody.UnreadReason, 'gone'>, refusals.Refusal>
> = {
  closing: STOPPING,
  too_large: {reason: 'too_large'},
  no_memory: {
    reason: 'no_memory',
    retryAfterMs: requestAcceptance.OVERLOADED_RETRY_MS,
  },
};

/** Largest accepted body before a configuration is known, in bytes. */
const INITIAL_MAX_BODY_BYTES = 1_048_576;

const NO_BODY = Buffer.alloc(0);

/** Times of a graceful stop, by the instance's clock. */
export interface StopTimes {
  /** Until then all requests are accepted, also those that may outlive it. */
  readonly acceptsAllUntilMs: number;
  /** Requests still in progress at this time are cut off. */
  readonly endsAtMs: number;
}

/** Handles the requests of callers. */
export class Gateway {
  private active = 0;
  /** Set once this instance is stopping. */
  private stop: StopTimes | undefined;
  private refused = 0;
  private isHolding = false;
  private readonly closing = new notice.Notice();
  private readonly ending = new notice.Notice();

  private readonly ofCallers: requestAcceptance.RequestAcceptance;
  private readonly ofPeers: requestAcceptance.RequestAcceptance;

  constructor(private readonly dependencies: GatewayDependencies) {
    this.ofCallers = requestAcceptance.createCallerAcceptance(
      dependencies,
      this.closing,
    );
    this.ofPeers = requestAcceptance.createForwardedAcceptance(dependencies);
  }

  /** Number of requests in progress. */
  get inProgress(): number {
    return this.active;
  }

  /** Number of requests that were refused since `beginClosing`. */
  get refusedWhileClosing(): number {
    return this.refused;
  }

  /** Begins a graceful stop: each answer now closes its connection. */
  beginStop(times: StopTimes): void {
    this.stop = times;
  }

  /**
   * Holds, from now on, what comes until `beginClosing`. A caller that goes on
   * asking opens no other connection meanwhile, so that the accept queue becomes
   * empty.
   */
  holdNew(): void {
    this.isHolding = true;
  }

  /**
   * Refuses, from now on, what comes and what is not accepted yet, also if its
   * body is still arriving or it waits for the configuration.
   */
  beginClosing(): void {
    this.closing.give();
  }

  /** Ends the requests in progress: each is answered or broken off. */
  endRuns(): void {
    this.ending.give();
  }

  /**
   * Handles one request; never rejects.
   *
   * @param waitedMs see `HandleRequest`. It counts as used up, so that no
   *     upstream is given more time than the caller still waits.
   */
  handle(
    message: http.IncomingMessage,
    response: http.ServerResponse,
    waitedMs = 0,
  ): Promise<void> {
    return this.handleExchange(message, response, waitedMs, false);
  }

  /** Handles a request that another instance forwards; never rejects. */
  handleForwarded(
    message: http.IncomingMessage,
    response: http.ServerResponse,
    waitedMs = 0,
  ): Promise<void> {
    return this.handleExchange(message, response, waitedMs, true);
  }

  private async handleExchange(
    message: http.IncomingMessage,
    response: http.ServerResponse,
    waitedMs: number,
    isForwarded: boolean,
  ): Promise<void> {
    const receivedAtMs = this.dependencies.clock.now() - waitedMs;
    const times: AnswerTimes = {};
    const answer = new callerAnswer.CallerAnswer(
      response,
      () => this.stop !== undefined && exchangeOrder.isNewestExchange(response),
      () => {
        times.begunAtMs ??= this.dependencies.clock.now();
      },
      isForwarded,
      () => (isForwarded ? undefined : this.idleTimeoutMs()),
    );
    const acceptance = isForwarded ? this.ofPeers : this.ofCallers;
    const memory = this.dependencies.memory.createLease();
    // An answer is held until the caller has read it.
    response.once('close', () => {
      memory.end();
    });
    this.active++;
    try {
      await this.readAndServe({
        message,
        response,
        answer,
        receivedAtMs,
        waitedMs,
        times,
        acceptance,
        memory,
      });
    } catch (error) {
      // An internal error must not end the process, nor be answered as `not
      // run`, because the request may have run.
      const reason = error instanceof Error ? error.stack : String(error);
      this.dependencies.log.warn('internal_error', {reason});
      this.answerInternalError(answer);
    } finally {
      this.active--;
      memory.releaseBody();
    }
  }

  private answerInternalError(answer: callerAnswer.CallerAnswer): void {
    if (answer.hasBegun) {
      answer.breakOff();
    } else {
      answer.refuse({reason: 'failed'});
    }
  }

  private async readAndServe(exchange: Exchange): Promise<void> {
    const {message, answer, receivedAtMs, memory, acceptance} = exchange;
    const head = callerRequest.createCallerRequest(
      message,
      NO_BODY,
      receivedAtMs,
      this.dependencies.headerConventions.headers,
    );
    const log = this.dependencies.log.forRequest(head.id);
    const denial = acceptance.findDenial(head);
    if (denial) {
      readRequestBody.discardRest(message, this.bodyLimit());
      this.refuse(answer, log, denial);
      return;
    }
    const body = await readRequestBody.readRequestBody(message, {
      maxBytes: this.bodyLimit(),
      memory,
      closing: this.closing,
    });
    if (body === 'gone') {
      return;
    }
    if (typeof body === 'string') {
      this.refuse(answer, log, UNREAD_REFUSALS[body]);
      return;
    }
    if (this.isHolding) {
      await this.closing.whenGiven();
    }
    if (!this.dependencies.activeTable()) {
      await this.closing.race(this.dependencies.whenSynced());
    }
    await this.serve({...head, body}, exchange, log);
  }

  private idleTimeoutMs(): number | undefined {
    return this.dependencies.activeTable()?.table.limits.idleTimeoutMs;
  }

  private bodyLimit(): number {
    return (
      this.dependencies.activeTable()?.table.limits.bodyBytes ??
      INITIAL_MAX_BODY_BYTES
    );
  }

  /**
   * Whether the end of this instance could cut off a request.
   *
   * Guards against requests lost in a graceful stop: one that is accepted late
   * and whose deadline lies after the end would be cut off, although another
   * instance could have served it.
   */
  private mayOutliveStop({deadlineMs}: runContext.AcceptedRequest): boolean {
    const {stop} = this;
    return (
      stop !== undefined &&
      this.dependencies.clock.now() >= stop.acceptsAllUntilMs &&
      deadlineMs > stop.endsAtMs
    );
  }

  private async serve(
    caller: callerRequest.CallerRequest,
    {message, response, answer, waitedMs, times, acceptance, memory}: Exchange,
    log: telemetry.RequestLog,
  ): Promise<void> {
    const accepted = await acceptance.accept(caller, message);
    // A close before `awaitRunEnd` is never told again.
    if (answer.isOver) {
      log.step('caller_left', {});
      return;
    }
    if (this.closing.isGiven) {
      this.refuse(answer, log, STOPPING);
      return;
    }
    if (accepted.isLeft()) {
      this.refuse(answer, log, accepted.extract());
      return;
    }
    const request = accepted.unsafeCoerce();
    if (waitedMs > 0) {
      log.step('request_waited', {waitedMs: Math.round(waitedMs)});
    }
    if (request.forwarded) {
      log.step('forward_accepted', describeForwarded(request.forwarded));
    }
    if (this.mayOutliveStop(request)) {
      this.refuse(answer, log, STOPPING);
      return;
    }
    const {clock, loop} = this.dependencies;
    const endsAtMs = request.deadlineMs - ANSWER_MARGIN_MS;
    if (clock.now() >= endsAtMs) {
      this.refuse(answer, log, {reason: 'expired', retryAfterMs: 0});
      return;
    }
    breakOffUnread.breakOffUnread(
      response,
      request.deadlineMs - clock.now(),
      () => {
        log.failure('answer_broken', {reason: 'unread'});
        answer.breakOff();
      },
    );
    const {signal, isAwaited, stop} = runEnd.awaitRunEnd({
      response,
      connection: message.socket,
      clock,
      loop,
      endsAtMs,
      waitedMs,
      onInstanceEnd: listener => this.ending.subscribe(listener),
    });
    try {
      await this.run({request, log, signal, isAwaited, memory}, answer);
    } finally {
      stop();
      this.recordEnd(request, times);
    }
  }

  /** A forwarded request is measured at the instance that its caller called. */
  private recordEnd(
    {route, caller, forwarded}: runContext.AcceptedRequest,
    {begunAtMs}: AnswerTimes,
  ): void {
    if (forwarded) {
      return;
    }
    const {receivedAtMs} = caller;
    this.dependencies.onRequestEnd({
      kind: route.kind,
      firstByteMs:
        begunAtMs === undefined ? undefined : begunAtMs - receivedAtMs,
      tookMs: this.dependencies.clock.now() - receivedAtMs,
    });
  }

  private async run(
    context: runContext.RunContext,
    answer: callerAnswer.CallerAnswer,
  ): Promise<void> {
    const {log} = context;
    if (context.request.route.kind === 'stream') {
      const stream = new streamRun.StreamRun(
        this.dependencies,
        context,
        answer,
      );
      const refusal = await stream.run();
      if (refusal) {
        this.refuse(answer, log, refusal);
      }
      return;
    }
    const buffered = new bufferedRun.BufferedRun(this.dependencies, context);
    const result = await buffered.run();
    if ('reason' in result) {
      this.refuse(answer, log, result);
      return;
    }
    answer.send(result.head, result.body);
    const {upstream, head, framing, body} = result;
    log.step('request_answered', {
      upstream,
      status: head.status,
      framing,
      bytes: body.length,
    });
  }

  private refuse(
    answer: callerAnswer.CallerAnswer,
    log: telemetry.RequestLog,
    refusal: refusals.Refusal,
  ): void {
    if (answer.isOver) {
      log.step('caller_left', {reason: refusal.reason});
      return;
    }
    if (this.closing.isGiven && refusal.reason === 'stopping') {
      this.refused++;
    }
    const activeTable = this.dependencies.activeTable();
    log.failure('request_refused', {
      reason: refusal.reason,
      retryAfterMs: refusal.retryAfterMs,
      configuration: activeTable?.table.version,
      configurationAgeMs: activeTable && Math.round(activeTable.ageMs),
    });
    answer.refuse(refusal);
  }
}

const describeForwarded = ({
  attempts,
  sends,
  isRepeat,
  model,
}: protocol.ForwardedRequest): telemetry.Details => ({
  attempts,
  sends,
  isRepeat,
  model,
});
