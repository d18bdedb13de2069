/** `/v1/chat/completions`: from a caller's request to its whole answer. */
import * as stream from 'node:stream';
import type * as hapi from '@hapi/hapi';
import * as decisions from '@amaranthknot/decisions';
import * as upstreams from '@amaranthknot/upstreams';
import * as apiError from './api-error.js';
import * as chatObserver from './chat-observer.js';
import * as chatRunner from './chat-runner.js';
import * as chatSessions from './chat-sessions.js';
import type * as entryParts from './entry-parts.js';
import * as formatCompletion from './format-completion.js';
import * as prepareChat from './prepare-chat.js';
import * as requestContext from './request-context.js';
import * as sessionToken from './session-token.js';

/** Tokens that a stage is expected to generate, for comparing costs. */
const EXPECTED_TOKENS = 500;

const toChunkIdentity = (
  parts: entryParts.EntryParts,
  requestId: string,
): formatCompletion.CompletionIdentity => ({
  requestId,
  created: Math.floor(parts.clock.wallTime() / 1000),
});

/** Answers chat completion requests. */
export class ChatRoutes {
  private readonly observer: chatObserver.ChatObserver;

  constructor(private readonly parts: entryParts.EntryParts) {
    this.observer = new chatObserver.ChatObserver(parts);
  }

  /** Handles one request. */
  async handle(
    request: hapi.Request,
    h: hapi.ResponseToolkit,
  ): Promise<hapi.ResponseObject> {
    const prepared = await prepareChat.prepareChat(this.parts, request);
    if (prepared.isLeft()) {
      const error = prepared.extract();
      return this.refuse(h, error, this.parts.newId());
    }
    const chat = prepared.unsafeCoerce();
    const admitted = await requestContext.admit(this.parts, chat.context);
    if (admitted.isLeft()) {
      const error = admitted.extract();
      return this.refuse(h, error, chat.call.requestId, chat.call);
    }
    const release = admitted.unsafeCoerce();
    const items = this.run(chat, release);
    return chat.call.request.stream
      ? this.answerStreamed(h, chat, items)
      : this.answerPlain(h, chat, items);
  }

  /** Runs an admitted request; the slot is given back at its end. */
  private async *run(
    chat: prepareChat.PreparedChat,
    release: () => void,
  ): AsyncGenerator<chatRunner.ChatItem> {
    const {parts} = this;
    const started = parts.clock.now();
    const {call, context} = chat;
    parts.metrics.inFlight.inc();
    try {
      const items = chatRunner.runChat(
        this.createChatParts(chat),
        call,
        context.signal,
      );
      let text = '';
      for await (const item of items) {
        switch (item.kind) {
          case 'token':
            text += item.text;
            yield item;
            break;
          case 'answered':
            // Before the yield: a reader that has its answer reads no further.
            parts.offerForRating({call, answer: item.answer, text});
            yield await this.bill(chat, item.answer);
            break;
          case 'failed':
            yield item;
            break;
        }
      }
    } finally {
      release();
      parts.metrics.inFlight.dec();
      const seconds = (parts.clock.now() - started) / 1000;
      parts.metrics.latency.observe({workspace: call.workspace.name}, seconds);
      if (context.signal.aborted) {
        parts.events.record('request_cancelled', {request: call.requestId});
      }
    }
  }

  private createChatParts(
    chat: prepareChat.PreparedChat,
  ): chatRunner.ChatParts {
    return {
      chooseStages: call => this.chooseStages(call),
      selectVersion: (call, stage) =>
        chatSessions.confirmVersion(
          this.parts.inForce(),
          call,
          stage.model.name,
          chat.versions.byModel.get(stage.model.name),
        ),
      runStage: (run, signal) => this.runStage(run, signal),
      notify: notice => this.observer.notify(notice),
    };
  }

  private chooseStages(call: chatRunner.ChatCall): chatRunner.StageChoice {
    const stages = call.plan.stages.map(stage => ({
      model: stage.model.name,
      cost: Math.max(
        stage.model.costPerThousandTokens * (EXPECTED_TOKENS / 1000),
        Number.EPSILON,
      ),
    }));
    const plan = this.parts.cascades.choose(
      {
        workspace: call.workspace.name,
        task: call.request.task,
        stages,
        target: call.workspace.qualityTarget,
      },
      this.parts.random,
    );
    return {
      startStage: plan.startStage,
      accepts: (stage, confidence) =>
        decisions.nextStep(plan, stage, confidence).kind === 'accept',
    };
  }

  private runStage(
    run: chatRunner.StageRun,
    signal: AbortSignal,
  ): AsyncGenerator<upstreams.CompletionEvent> {
    const {parts} = this;
    const {requestId, request, workspace} = run.call;
    parts.noteAttempt(run.model);
    return upstreams.runCompletion(
      {
        open: parts.openEngine,
        place: tried => parts.placeStage(run, tried),
        mayRetry: () => parts.mayRetry(run.model),
        notify: notice => this.observer.notifyAttempt(run, notice),
      },
      {
        requestId,
        model: `${run.model}@${run.version}`,
        messages: request.messages,
        priority: workspace.priority,
        ...(request.maxTokens === undefined
          ? {}
          : {maxTokens: request.maxTokens}),
      },
      signal,
    );
  }

  /**
   * Makes the bill safe before the answer's end. An instance that is killed
   * after the end would otherwise take an answered request's bill with it.
   */
  private async bill(
    chat: prepareChat.PreparedChat,
    answer: chatRunner.ChatAnswer,
  ): Promise<chatRunner.ChatItem> {
    const {parts} = this;
    const {call, identity} = chat;
    const workspace = call.workspace.name;
    const safe = await parts.bills.record({
      identity: identity.name,
      workspace,
      model: answer.model,
      version: answer.version,
      cost: answer.cost,
      tokens: answer.tokens,
      atWallMs: parts.clock.wallTime(),
    });
    const {requestId} = call;
    if (safe === 'at_risk') {
      return {
        kind: 'failed',
        error: {
          code: 'platform_out',
          ran: 'ran',
          message: 'the bill could not be kept safe',
          retryAfterMs: 1000,
        },
      };
    }
    const subject = {request: requestId, workspace};
    parts.events.record('bill_recorded', {...subject, detail: safe});
    const {model, version, upstream} = answer;
    parts.events.record('answer_given', {...subject, model, version, upstream});
    parts.metrics.requests.inc({workspace, outcome: 'answered'});
    parts.metrics.cost.inc({workspace}, answer.cost);
    return {kind: 'answered', answer};
  }

  private async answerPlain(
    h: hapi.ResponseToolkit,
    chat: prepareChat.PreparedChat,
    items: AsyncGenerator<chatRunner.ChatItem>,
  ): Promise<hapi.ResponseObject> {
    const {requestId} = chat.call;
    let text = '';
    for await (const item of items) {
      switch (item.kind) {
        case 'token':
          text += item.text;
          break;
        case 'failed':
          return this.refuse(h, item.error, requestId, chat.call);
        case 'answered': {
          const identity = toChunkIdentity(this.parts, requestId);
          const body = formatCompletion.formatCompletion(
            identity,
            item.answer,
            text,
          );
          return this.addHeaders(h.response(body), chat);
        }
      }
    }
    return this.refuse(h, this.createCancelled(), requestId, chat.call);
  }

  /** Waits for the first item, so that a failure still has its status. */
  private async answerStreamed(
    h: hapi.ResponseToolkit,
    chat: prepareChat.PreparedChat,
    items: AsyncGenerator<chatRunner.ChatItem>,
  ): Promise<hapi.ResponseObject> {
    const first = await items.next();
    const {requestId} = chat.call;
    if (first.done) {
      return this.refuse(h, this.createCancelled(), requestId, chat.call);
    }
    if (first.value.kind === 'failed') {
      await items.return(undefined);
      return this.refuse(h, first.value.error, requestId, chat.call);
    }
    const events = this.formatItems(chat, first.value, items);
    const body = stream.Readable.from(events, {objectMode: false});
    return this.addHeaders(h.response(body), chat)
      .type('text/event-stream')
      .header('cache-control', 'no-cache');
  }

  private async *formatItems(
    chat: prepareChat.PreparedChat,
    first: chatRunner.ChatItem,
    rest: AsyncGenerator<chatRunner.ChatItem>,
  ): AsyncGenerator<string> {
    const identity = toChunkIdentity(this.parts, chat.call.requestId);
    const {includeUsage} = chat.call.request;
    let isFirst = true;
    try {
      for (let item = first; ;) {
        switch (item.kind) {
          case 'token':
            yield formatCompletion.formatToken(identity, item, isFirst);
            isFirst = false;
            break;
          case 'failed':
            this.count(chat.call, item.error);
            yield formatCompletion.formatEvent(
              apiError.toErrorBody(item.error, identity.requestId),
            );
            return;
          case 'answered':
            yield formatCompletion.formatEnd(
              identity,
              item.answer,
              includeUsage,
            );
            return;
        }
        const next = await rest.next();
        if (next.done) {
          return;
        }
        item = next.value;
      }
    } finally {
      await rest.return(undefined);
    }
  }

  private addHeaders(
    response: hapi.ResponseObject,
    chat: prepareChat.PreparedChat,
  ): hapi.ResponseObject {
    const token = sessionToken.signSession(
      {
        workspace: chat.call.workspace.name,
        id: chat.session.id,
        pins: chat.versions.pins,
      },
      this.parts.sessionKey,
      chatSessions.readTokenSeconds(chat.context.inForce.document),
    );
    return response
      .header('x-request-id', chat.call.requestId)
      .header(chatSessions.TOKEN_HEADER, token);
  }

  private createCancelled(): apiError.ApiError {
    return {
      code: 'upstream_failed',
      ran: 'unknown',
      message: 'the request was cancelled or timed out',
    };
  }

  private refuse(
    h: hapi.ResponseToolkit,
    error: apiError.ApiError,
    requestId: string,
    call?: chatRunner.ChatCall,
  ): hapi.ResponseObject {
    this.count(call, error, requestId);
    return requestContext.replyError(h, error, requestId);
  }

  private count(
    call: chatRunner.ChatCall | undefined,
    error: apiError.ApiError,
    requestId = call?.requestId,
  ): void {
    const workspace = call?.workspace.name ?? 'unknown';
    this.parts.metrics.requests.inc({workspace, outcome: error.code});
    this.parts.events.record('request_refused', {
      ...(requestId === undefined ? {} : {request: requestId}),
      workspace,
      detail: `${error.code} ${error.ran}`,
    });
  }
}
