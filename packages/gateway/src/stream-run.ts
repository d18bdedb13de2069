/**
 * Runs a request whose answer is a stream of events: escalates to the capable
 * model if needed, and resumes a broken stream at another upstream.
 */
import type * as callerAnswer from './caller-answer.js';
import * as eventRelay from './event-relay.js';
import * as forwardHeaders from './forward-headers.js';
import * as runContext from './run-context.js';
import * as rawHeaders from './raw-headers.js';
import type * as refusals from './refusal.js';
import * as streamOpener from './stream-opener.js';

/** Headers that do not apply to an answer sent in chunks. */
const DROPPED_HEADERS: ReadonlySet<string> = new Set(['content-length']);

/** One request for a stream. */
export class StreamRun {
  private readonly opener: streamOpener.StreamOpener;
  private readonly relay: eventRelay.EventRelay;

  constructor(
    private readonly dependencies: runContext.RunDependencies,
    private readonly context: runContext.RunContext,
    private readonly answer: callerAnswer.CallerAnswer,
  ) {
    const {lastEventId} = context.request.caller;
    this.relay = new eventRelay.EventRelay(
      answer,
      lastEventId,
      context.signal,
      ended => dependencies.confirmEnd(ended, context.log),
    );
    this.opener = new streamOpener.StreamOpener(dependencies, context, () =>
      this.nextLastEventId(),
    );
  }

  /**
   * Runs the request and relays the stream. Returns a refusal if no stream was
   * begun; otherwise the answer has been ended or broken off.
   */
  async run(): Promise<refusals.Refusal | undefined> {
    try {
      return await this.openAndRelay();
    } finally {
      this.opener.release();
    }
  }

  private async openAndRelay(): Promise<refusals.Refusal | undefined> {
    const {log} = this.context;
    const first = await this.openBest();
    if (!streamOpener.isOpenStream(first)) {
      return first;
    }
    let open = first;
    this.beginAnswer(open);
    for (;;) {
      const watchdog = this.opener.watchForStall(open);
      const end = await this.relay.run(open, watchdog);
      const upstream = open.placed.upstream.id;
      const {lastEventId} = this.relay;
      if (end === 'complete') {
        this.answer.end();
        const {framing} = open.answer;
        log.step('request_answered', {upstream, lastEventId, framing});
        return undefined;
      }
      const next = await this.resume(open.model);
      if (!next) {
        this.logBroken(upstream);
        this.answer.breakOff();
        return undefined;
      }
      open = next;
      const resumedAt = open.placed.upstream.id;
      log.step('stream_resumed', {upstream: resumedAt, lastEventId});
    }
  }

  private logBroken(upstream: string): void {
    const {signal, log} = this.context;
    const details = {
      upstream,
      lastEventId: this.relay.lastEventId,
      runs: this.opener.runs,
    };
    if (signal.aborted && runContext.abortReasonOf(signal) === 'caller_left') {
      log.step('caller_left', details);
    } else {
      log.failure('answer_broken', details);
    }
  }

  /** Runs the cheapest model, then the most capable one on an escalation. */
  private async openBest(): Promise<
    streamOpener.OpenStream | refusals.Refusal
  > {
    const {opener} = this;
    const {route, forwarded} = this.context.request;
    const {models} = route;
    if (forwarded?.model !== undefined) {
      return opener.open('first', forwarded.model, true);
    }
    const cheapest = models[0];
    const capable = models.at(-1);
    const open = await opener.open('first', cheapest, false);
    if (
      !streamOpener.isOpenStream(open) ||
      // The other instance has decided on an escalation.
      open.placed.forward ||
      cheapest === capable ||
      opener.isExhausted()
    ) {
      return open;
    }
    const {confidence = 100} = open.answer;
    const {request} = this.context;
    const decision = this.dependencies.escalation.decide(
      request,
      capable,
      confidence,
    );
    this.context.log.step('model_judged', {...decision, model: capable});
    if (!decision.runs || !opener.reserve('escalation', capable)) {
      return open;
    }
    open.abortController.abort('not_needed' satisfies runContext.AbortReason);
    open.placed.settle('answered');
    return opener.open('escalation', capable, true);
  }

  private nextLastEventId(): string | undefined {
    const {lastEventId} = this.relay;
    return lastEventId === undefined
      ? this.context.request.caller.lastEventId
      : String(lastEventId);
  }

  private beginAnswer({answer, model, placed}: streamOpener.OpenStream): void {
    const headers = rawHeaders.keepEndToEnd(answer.headers, DROPPED_HEADERS);
    if (this.context.request.forwarded) {
      headers.push(...forwardHeaders.describeAnswer(placed.upstream.id, model));
    }
    this.answer.begin({status: answer.status, headers});
  }

  /** Resumes a broken stream at another upstream, with the same model. */
  private async resume(
    model: string | undefined,
  ): Promise<streamOpener.OpenStream | undefined> {
    const {request} = this.context;
    const {opener} = this;
    if (!request.route.isResumable || opener.isExhausted()) {
      return undefined;
    }
    const open = await opener.open('resumption', model, true);
    return streamOpener.isOpenStream(open) ? open : undefined;
  }
}
