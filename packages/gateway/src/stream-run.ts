/** Runs a request whose answer is a stream of events. */
import * as decisions from '@amaranthknot/decisions';
import type * as routing from '@amaranthknot/routing';
import type * as callerAnswer from './caller-answer.js';
import * as eventRelay from './event-relay.js';
import * as gatewayParts from './gateway-parts.js';
import * as rawHeaders from './raw-headers.js';
import type * as refusals from './refusal.js';
import * as silenceWatch from './silence-watch.js';
import * as tryUpstream from './try-upstream.js';

/** As for plain requests; a prompt is worth a longer wait. */
const CONNECT_TIMEOUT_MS = 250;

/** Sends of one request that may be refused without running. */
const MAX_REFUSED_SENDS = 4;

/** When to come back after a refusal for want of an upstream, in ms. */
const RETRY_AFTER_MS = 250;

/** Headers that do not fit an answer that is passed on in chunks. */
const DROPPED_HEADERS: ReadonlySet<string> = new Set(['content-length']);

/** An answer whose head has come, and the try it belongs to. */
interface OpenStream extends eventRelay.RelayedStream {
  readonly model: string | undefined;
}

const isOpen = (found: OpenStream | refusals.Refusal): found is OpenStream =>
  'answer' in found;

/** One request for a stream. */
export class StreamRun {
  private readonly excluded = new Set<string>();
  private runs = 0;
  private sends = 0;
  /** A try that was placed before the one in progress was left. */
  private reserved: gatewayParts.PlacedTry | undefined;
  private readonly relay: eventRelay.EventRelay;

  constructor(
    private readonly parts: gatewayParts.RunParts,
    private readonly context: gatewayParts.RunContext,
    private readonly answer: callerAnswer.CallerAnswer,
  ) {
    this.relay = new eventRelay.EventRelay(
      answer,
      context.request.caller.lastEventId,
      context.signal,
    );
  }

  /**
   * Runs the request and passes the stream on. Returns a refusal where no
   * stream was begun; otherwise the answer has been ended or broken off.
   */
  async run(): Promise<refusals.Refusal | undefined> {
    try {
      return await this.openAndRelay();
    } finally {
      this.takeReserved()?.settle('cancelled');
    }
  }

  private async openAndRelay(): Promise<refusals.Refusal | undefined> {
    const {log} = this.context;
    const first = await this.openBest();
    if (!isOpen(first)) {
      return first;
    }
    let open = first;
    this.beginAnswer(open);
    for (;;) {
      const end = await this.relay.run(open, this.watchForStall(open));
      const upstream = open.placed.upstream.id;
      const {lastEventId} = this.relay;
      if (end === 'complete') {
        this.answer.end();
        log.step('request_answered', {upstream, lastEventId});
        return undefined;
      }
      const next = await this.resume(open.model);
      if (!next) {
        this.noteBroken(upstream);
        this.answer.breakOff();
        return undefined;
      }
      open = next;
      const resumedAt = open.placed.upstream.id;
      log.step('stream_resumed', {upstream: resumedAt, lastEventId});
    }
  }

  private noteBroken(upstream: string): void {
    const {signal, log} = this.context;
    const details = {
      upstream,
      lastEventId: this.relay.lastEventId,
      runs: this.runs,
    };
    if (signal.aborted && gatewayParts.endOf(signal) === 'caller_left') {
      log.step('caller_left', details);
    } else {
      log.failure('answer_broken', details);
    }
  }

  /** Runs the cheapest model, and the most capable where that is unsure. */
  private async openBest(): Promise<OpenStream | refusals.Refusal> {
    const {models} = this.context.request.route;
    const cheapest = models[0];
    const capable = models.at(-1);
    const open = await this.openModel(cheapest);
    if (!isOpen(open) || cheapest === capable || this.isSpent()) {
      return open;
    }
    const {confidence = 100} = open.answer;
    const {request} = this.context;
    const judged = this.parts.capable.judge(request, capable, confidence);
    this.context.log.step('model_judged', {...judged, model: capable});
    if (!judged.runs || !this.reserve(capable)) {
      return open;
    }
    this.giveUp(open);
    return this.openModel(capable);
  }

  /** Places a try ahead, before what is in progress is given up for it. */
  private reserve(
    model: string | undefined,
    excluded: ReadonlySet<string> = this.excluded,
  ): boolean {
    this.reserved ??= this.place(model, excluded);
    return this.reserved !== undefined;
  }

  private giveUp(open: OpenStream): void {
    open.ending.abort('not_needed' satisfies gatewayParts.RunEnd);
    open.placed.settle('answered');
  }

  private isSpent(): boolean {
    return this.runs >= this.context.request.route.maxAttempts;
  }

  /** Tries upstreams until one begins a stream. */
  private async openModel(
    model: string | undefined,
  ): Promise<OpenStream | refusals.Refusal> {
    const {request, signal} = this.context;
    const {maxAttempts, isResumable} = request.route;
    const maxSends = this.sends + maxAttempts + MAX_REFUSED_SENDS;
    let maySend = true;
    while (maySend && !signal.aborted && this.sends < maxSends) {
      const found = this.takeReserved() ?? this.place(model, this.excluded);
      if (!found) {
        break;
      }
      const result = await this.tryOnce(found, model);
      if (typeof result === 'object') {
        return result;
      }
      this.excluded.add(found.upstream.id);
      maySend = result === 'not_run' || (isResumable && !this.isSpent());
    }
    return this.explainFailure();
  }

  private place(
    model: string | undefined,
    excluded: ReadonlySet<string>,
  ): gatewayParts.PlacedTry | undefined {
    const {request, log} = this.context;
    const isRepeat = this.sends > 0;
    return this.parts.place({request, model, excluded, isRepeat}).caseOf({
      Left: reason => {
        log.step('try_not_placed', {reason, sends: this.sends});
        return undefined;
      },
      Right: placed => placed,
    });
  }

  private takeReserved(): gatewayParts.PlacedTry | undefined {
    const {reserved} = this;
    this.reserved = undefined;
    return reserved;
  }

  /**
   * Leaves a silent upstream for another one, if one takes the request.
   *
   * Guards against answers lost to impatience: an engine that reads a long
   * prompt of another request is silent to all its streams at once; left
   * together, they want more repeats than there are, and those that get none
   * end broken though their engine would have gone on.
   */
  private leave(
    upstream: routing.Upstream,
    model: string | undefined,
    ending: AbortController,
    end: gatewayParts.RunEnd,
  ): boolean {
    const excluded = new Set([...this.excluded, upstream.id]);
    if (!this.reserve(model, excluded)) {
      return false;
    }
    ending.abort(end);
    return true;
  }

  private explainFailure(): refusals.Refusal {
    if (this.runs > 0) {
      const isTimeUp = this.context.signal.aborted;
      return {reason: isTimeUp ? 'timeout' : 'failed'};
    }
    return {reason: 'no_upstream', retryAfterMs: RETRY_AFTER_MS};
  }

  private async tryOnce(
    placed: gatewayParts.PlacedTry,
    model: string | undefined,
  ): Promise<OpenStream | 'not_run' | 'unknown'> {
    const {parts, context} = this;
    const {request} = context;
    this.sends++;
    this.runs++;
    const startedAtMs = parts.clock.now();
    const ending = new AbortController();
    const watch = this.watchForHead(placed.upstream, model, ending);
    const opened = await tryUpstream.tryUpstream(parts, context, {
      placed,
      model,
      lastEventId: this.nextLastEventId(),
      connection: request.route.isResumable ? 'kept' : 'fresh',
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      headTimeoutMs: request.deadlineMs - startedAtMs,
      signal: AbortSignal.any([context.signal, ending.signal]),
    });
    watch.stop();
    const tookMs = parts.clock.now() - startedAtMs;
    if (opened.isLeft()) {
      const {ran} = opened.extract();
      if (gatewayParts.endOf(ending.signal) === 'upstream_silent') {
        // All may be slow: a wait that ended in vain is a wait as well.
        this.noteWait(model, tookMs, true);
      }
      this.runs -= ran === 'not_run' ? 1 : 0;
      return ran;
    }
    const answer = opened.unsafeCoerce();
    if (answer.status >= 300) {
      ending.abort('not_needed' satisfies gatewayParts.RunEnd);
      placed.settle('failed');
      context.log.failure('try_failed', {
        upstream: placed.upstream.id,
        ran: 'unknown',
        reason: 'status',
        status: answer.status,
      });
      return 'unknown';
    }
    this.noteWait(model, tookMs, false);
    return {placed, answer, model, ending};
  }

  private noteWait(
    model: string | undefined,
    waitMs: number,
    wasInVain: boolean,
  ): void {
    const {latencies, capable} = this.parts;
    latencies.note(this.kindOf(model), waitMs);
    capable.noteWait(this.context.request, model, waitMs, wasInVain);
  }

  private kindOf(model: string | undefined): string {
    const {service, route} = this.context.request;
    return `${service.name}/${route.name}/${model ?? ''}`;
  }

  /**
   * Leaves an upstream that is too slow with its first event, or that can no
   * longer be reached. The last try that is allowed waits as long as its
   * caller does.
   */
  private watchForHead(
    upstream: routing.Upstream,
    model: string | undefined,
    ending: AbortController,
  ): silenceWatch.SilenceWatch {
    const {latencyTargetMs} = this.context.request.route;
    return this.watch(upstream, model, ending, {
      probeAfterMs: decisions.findProbeMs(latencyTargetMs),
      stallAfterMs: this.parts.latencies.firstTokenMs(
        this.kindOf(model),
        latencyTargetMs,
      ),
    });
  }

  private watch(
    upstream: routing.Upstream,
    model: string | undefined,
    ending: AbortController,
    times: {readonly probeAfterMs: number; readonly stallAfterMs: number},
  ): silenceWatch.SilenceWatch {
    if (!this.context.request.route.isResumable || this.isSpent()) {
      return silenceWatch.NO_WATCH;
    }
    let isReachable = true;
    return silenceWatch.watchSilence({
      ...times,
      isReachable: async () => {
        isReachable = await this.parts.probe(upstream);
        return isReachable;
      },
      leave: () =>
        this.leave(
          upstream,
          model,
          ending,
          isReachable ? 'upstream_silent' : 'upstream_lost',
        ),
    });
  }

  private nextLastEventId(): string | undefined {
    const {lastEventId} = this.relay;
    return lastEventId === undefined
      ? this.context.request.caller.lastEventId
      : String(lastEventId);
  }

  private beginAnswer({answer}: OpenStream): void {
    const headers = rawHeaders.keepEndToEnd(answer.headers, DROPPED_HEADERS);
    this.answer.begin({status: answer.status, headers});
  }

  /**
   * Leaves an upstream that has been silent for so long that the caller would
   * count the stream as late, or earlier where it can no longer be reached.
   */
  private watchForStall({
    placed,
    model,
    ending,
  }: OpenStream): silenceWatch.SilenceWatch {
    const {pauseTargetMs} = this.context.request.route;
    if (pauseTargetMs === undefined) {
      return silenceWatch.NO_WATCH;
    }
    return this.watch(placed.upstream, model, ending, {
      probeAfterMs: decisions.findProbeMs(pauseTargetMs),
      stallAfterMs: decisions.findStallMs(pauseTargetMs),
    });
  }

  /** Goes on with a broken stream at another upstream, with the same model. */
  private async resume(
    model: string | undefined,
  ): Promise<OpenStream | undefined> {
    const {request, signal} = this.context;
    if (!request.route.isResumable || this.isSpent() || signal.aborted) {
      return undefined;
    }
    const open = await this.openModel(model);
    return isOpen(open) ? open : undefined;
  }
}
