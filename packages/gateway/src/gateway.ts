/** Handles each caller's request from its arrival to its final answer. */
import type * as http from 'node:http';
import type * as decisions from '@amaranthknot/decisions';
import type * as telemetry from '@amaranthknot/telemetry';
import * as ports from '@amaranthknot/ports';
import * as protocol from '@amaranthknot/protocol';
import * as purify from 'purify-ts';
import * as acceptForwarded from './accept-forwarded.js';
import * as acceptRequest from './accept-request.js';
import * as callerAnswer from './caller-answer.js';
import * as callerRequest from './caller-request.js';
import * as exchangeOrder from './exchange-order.js';
import type * as loopMonitor from './loop-monitor.js';
import * as notice from './notice.js';
import * as rawHeaders from './raw-headers.js';
import * as readRequestBody from './read-request-body.js';
import type * as runContext from './run-context.js';
import * as bufferedRun from './buffered-run.js';
import type * as refusals from './refusal.js';
import * as runEnd from './run-end.js';
import * as streamRun from './stream-run.js';

/** What the gateway needs. */
export interface GatewayDependencies extends runContext.RunDependencies {
  readonly log: telemetry.DecisionLog;
  readonly activeTable: () => acceptRequest.ActiveTable | undefined;
  /** Resolves when this instance has synced, or after a time limit. */
  readonly whenSynced: () => Promise<void>;
  /** The event loop that reads callers' connections. */
  readonly loop: loopMonitor.LoopState;
  /** Resolves when the configuration is confirmed, or cannot be for now. */
  readonly refreshTable: () => Promise<void>;
  readonly tableAgeLimits: acceptRequest.TableAgeLimits;
  /** Bounds the bytes of bodies and answers that are held at once. */
  readonly memory: decisions.MemoryBudget;
  /** Whether this instance takes another request that is forwarded to it. */
  readonly hasRoomForForwarded: () => boolean;
  /** Called at the end of each accepted request. */
  readonly onRequestEnd: (sample: telemetry.RequestSample) => void;
}

/** When the head of an answer was sent; undefined before that. */
interface AnswerTimes {
  begunAtMs?: number;
}

/** Accepts a request or refuses it. */
type Accept = (
  caller: callerRequest.CallerRequest,
  message: http.IncomingMessage,
) => Promise<acceptRequest.Acceptance>;

/** One exchange with a caller, or with the instance that forwards for it. */
interface Exchange {
  readonly message: http.IncomingMessage;
  readonly response: http.ServerResponse;
  readonly answer: callerAnswer.CallerAnswer;
  /** Whether another instance forwards it for its caller. */
  readonly isForwarded: boolean;
  /** Earliest time at which it may have arrived, by the clock. */
  readonly receivedAtMs: number;
  /** Longest time for which it may have waited before it was read. */
  readonly waitedMs: number;
  readonly times: AnswerTimes;
  readonly accept: Accept;
  readonly memory: decisions.MemoryLease;
}

/**
 * `Retry-After` where this instance is too busy for forwarded requests, or holds
 * too many bytes, in milliseconds: the time over which its load is averaged.
 */
const OVERLOADED_RETRY_MS = 1_000;

/**
 * Time before its deadline at which a request is answered at the latest, in
 * milliseconds, so that the answer reaches the caller while it still waits.
 */
const ANSWER_MARGIN_MS = 20;

/**
 * Time after the deadline of its request in which a caller must read a part of
 * its answer, in milliseconds, and again after each part.
 */
const UNREAD_ANSWER_MS = 2_000;

/** Another instance takes the request at once. */
const STOPPING: refusals.Refusal = {reason: 'stopping', retryAfterMs: 0};

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

  constructor(private readonly dependencies: GatewayDependencies) {}

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
    const accept: Accept = isForwarded
      ? (...request) => Promise.resolve(this.acceptForwarded(...request))
      : caller => this.accept(caller);
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
        isForwarded,
        receivedAtMs,
        waitedMs,
        times,
        accept,
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
    const {message, answer, receivedAtMs, memory, isForwarded} = exchange;
    const head = callerRequest.createCallerRequest(
      message,
      NO_BODY,
      receivedAtMs,
      this.dependencies.headerConventions.headers,
    );
    const log = this.dependencies.log.forRequest(head.id);
    const denial = isForwarded ? undefined : this.findHeadDenial(head);
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
    if (body === 'closing') {
      this.refuse(answer, log, STOPPING);
      return;
    }
    if (body === 'too_large') {
      this.refuse(answer, log, {reason: 'too_large'});
      return;
    }
    if (body === 'no_memory') {
      const retryAfterMs = OVERLOADED_RETRY_MS;
      this.refuse(answer, log, {reason: 'no_memory', retryAfterMs});
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

  private findHeadDenial(
    head: callerRequest.CallerRequest,
  ): refusals.Refusal | undefined {
    const {activeTable, tableAgeLimits} = this.dependencies;
    return acceptRequest.findHeadDenial(head, activeTable(), tableAgeLimits);
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
    {message, response, answer, waitedMs, times, accept, memory}: Exchange,
    log: telemetry.RequestLog,
  ): Promise<void> {
    const accepted = await accept(caller, message);
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
    breakOffUnread(response, request.deadlineMs - clock.now(), () => {
      log.failure('answer_broken', {reason: 'unread'});
      answer.breakOff();
    });
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

  private acceptForwarded(
    caller: callerRequest.CallerRequest,
    message: http.IncomingMessage,
  ): acceptRequest.Acceptance {
    const {hasRoomForForwarded, activeTable, links, log} = this.dependencies;
    if (!hasRoomForForwarded()) {
      return purify.Left({
        reason: 'overloaded',
        retryAfterMs: OVERLOADED_RETRY_MS,
      });
    }
    const value = rawHeaders.findHeader(
      message.rawHeaders,
      protocol.FORWARD_HEADERS.request.toLowerCase(),
    );
    return protocol
      .decodeForwardedRequest(value ?? '')
      .mapLeft((reason): refusals.Refusal => {
        log.warn('peer_message_refused', {reason, code: 'forwarded_request'});
        return {reason: 'malformed'};
      })
      .chain(forwarded =>
        acceptForwarded.acceptForwarded(caller, forwarded, {
          table: activeTable()?.table,
          isLost: links.isLost,
        }),
      );
  }

  /** Accepts a request, after a refresh if the configuration is too old. */
  private async accept(
    caller: callerRequest.CallerRequest,
  ): Promise<acceptRequest.Acceptance> {
    const {activeTable, tableAgeLimits, random, refreshTable} =
      this.dependencies;
    const accept = () =>
      acceptRequest.acceptRequest(
        caller,
        activeTable(),
        tableAgeLimits,
        random,
      );
    const first = accept();
    const isTooOld = first.isLeft() && first.extract().reason === 'not_ready';
    if (!isTooOld) {
      return first;
    }
    await this.closing.race(refreshTable());
    return accept();
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

/**
 * Calls `breakOff` if the caller reads nothing of its answer for a while, after
 * `afterMs`. An answer of which it still reads is delivered, however late.
 *
 * Guards against callers who stay and don't read: what their answers hold of the
 * bound for memory would be missed by all others, for as long as they stay.
 */
const breakOffUnread = (
  response: http.ServerResponse,
  afterMs: number,
  breakOff: () => void,
): void => {
  const cancel = ports.startTimeout(() => {
    // Node.js counts the bytes that the system takes as activity.
    response.setTimeout(UNREAD_ANSWER_MS, breakOff);
  }, afterMs);
  response.once('close', cancel);
};

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
