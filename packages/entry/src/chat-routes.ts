/** Handles `/v1/chat/completions`, plain and streamed. */
import * as stream from 'node:stream';
import type * as hapi from '@hapi/hapi';
import * as decisions from '@amaranthknot/decisions';
import * as upstreams from '@amaranthknot/upstreams';
import * as apiError from './api-error.js';
import * as chatObserver from './chat-observer.js';
import * as chatRunner from './chat-runner.js';
import * as chatSessions from './chat-sessions.js';
import type * as entryDependencies from './entry-dependencies.js';
import * as formatCompletion from './format-completion.js';
import * as prepareChat from './prepare-chat.js';
import * as requestContext from './request-context.js';
import * as sessionToken from './session-token.js';

/** Tokens that a stage is assumed to generate when costs are compared. */
const EXPECTED_TOKENS = 500;

const createCompletionIdentity = (
  dependencies: entryDependencies.EntryDependencies,
  requestId: string,
): formatCompletion.CompletionIdentity => ({
  requestId,
  created: Math.floor(dependencies.clock.wallTime() / 1000),
});

/** Route handler of chat completions. */
export class ChatRoutes {
  private readonly observer: chatObserver.ChatObserver;

  constructor(
    private readonly dependencies: entryDependencies.EntryDependencies,
  ) {
    this.observer = new chatObserver.ChatObserver(dependencies);
  }

  /** Prepares, admits and runs one request, and answers it. */
  async handle(
    request: hapi.Request,
    h: hapi.ResponseToolkit,
  ): Promise<hapi.ResponseObject> {
    const prepared = await prepareChat.prepareChat(this.dependencies, request);
    if (prepared.isLeft()) {
      const error = prepared.extract();
      return this.refuse(h, error, this.dependencies.newId());
    }
    const chat = prepared.unsafeCoerce();
    const admitted = await requestContext.admit(
      this.dependencies,
      chat.context,
    );
    if (admitted.isLeft()) {
      const error = admitted.extract();
      return this.refuse(h, error, chat.call.requestId, chat.call);
    }
    const release = admitted.unsafeCoerce();
    const events = this.run(chat, release);
    return chat.call.request.stream
      ? this.answerStreamed(h, chat, events)
      : this.answerPlain(h, chat, events);
  }

  /** Runs an admitted request and releases its slot at the end. */
  private async *run(
    chat: prepareChat.PreparedChat,
    release: () => void,
  ): AsyncGenerator<chatRunner.ChatEvent> {
    const {dependencies} = this;
    const started = dependencies.clock.now();
    const {call, context} = chat;
    dependencies.metrics.inFlight.inc();
    try {
      const events = chatRunner.runChat(
        this.createChatDependencies(chat),
        call,
        context.signal,
      );
      let text = '';
      for await (const event of events) {
        switch (event.kind) {
          case 'token':
            text += event.text;
            yield event;
            break;
          case 'answered':
            // Before the yield: the consumer stops reading after the answer.
            dependencies.offerForRating({call, answer: event.answer, text});
            yield await this.recordBill(chat, event.answer);
            break;
          case 'failed':
            yield event;
            break;
        }
      }
    } finally {
      release();
      dependencies.metrics.inFlight.dec();
      const seconds = (dependencies.clock.now() - started) / 1000;
      dependencies.metrics.latency.observe(
        {workspace: call.workspace.name},
        seconds,
      );
      if (context.signal.aborted) {
        dependencies.events.record('request_cancelled', {
          request: call.requestId,
        });
      }
    }
  }

  private createChatDependencies(
    chat: prepareChat.PreparedChat,
  ): chatRunner.ChatDependencies {
    return {
      chooseStages: call => this.chooseStages(call),
      selectVersion: (call, stage) =>
        chatSessions.confirmVersion(
          this.dependencies.activeConfiguration(),
          call,
          stage.model.name,
          chat.versions.byModel.get(stage.model.name),
        ),
      runStage: (run, signal) => this.runStage(run, signal),
      notify: event => this.observer.notify(event),
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
    const plan = this.dependencies.cascades.choose(
      {
        workspace: call.workspace.name,
        task: call.request.task,
        stages,
        target: call.workspace.qualityTarget,
      },
      this.dependencies.random,
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
    const {dependencies} = this;
    const {requestId, request, workspace} = run.call;
    dependencies.recordAttempt(run.model);
    return upstreams.runCompletion(
      {
        open: dependencies.openEngine,
        place: tried => dependencies.placeStage(run, tried),
        findRetryAfterMs: () =>
          dependencies.findRetryAfterMs(`${run.model}@${run.version}`),
        mayRetry: () => dependencies.mayRetry(run.model),
        notify: event => this.observer.notifyAttempt(run, event),
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
   * Makes the bill durable before the answer ends. Otherwise an instance that
   * is killed after the end would lose the bill of an answered request.
   */
  private async recordBill(
    chat: prepareChat.PreparedChat,
    answer: chatRunner.ChatAnswer,
  ): Promise<chatRunner.ChatEvent> {
    const {dependencies} = this;
    const {call, identity} = chat;
    const workspace = call.workspace.name;
    const recorded = await dependencies.bills.record({
      identity: identity.name,
      workspace,
      model: answer.model,
      version: answer.version,
      cost: answer.cost,
      tokens: answer.tokens,
      atWallMs: dependencies.clock.wallTime(),
    });
    const {requestId} = call;
    if (recorded === 'at_risk') {
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
    dependencies.events.record('bill_recorded', {...subject, detail: recorded});
    const {model, version, upstream} = answer;
    dependencies.events.record('answer_given', {
      ...subject,
      model,
      version,
      upstream,
    });
    dependencies.metrics.requests.inc({workspace, outcome: 'answered'});
    dependencies.metrics.cost.inc({workspace}, answer.cost);
    return {kind: 'answered', answer};
  }

  private async answerPlain(
    h: hapi.ResponseToolkit,
    chat: prepareChat.PreparedChat,
    events: AsyncGenerator<chatRunner.ChatEvent>,
  ): Promise<hapi.ResponseObject> {
    const {requestId} = chat.call;
    let text = '';
    for await (const event of events) {
      switch (event.kind) {
        case 'token':
          text += event.text;
          break;
        case 'failed':
          return this.refuse(h, event.error, requestId, chat.call);
        case 'answered': {
          const identity = createCompletionIdentity(
            this.dependencies,
            requestId,
          );
          const body = formatCompletion.formatCompletion(
            identity,
            event.answer,
            text,
          );
          return this.addHeaders(h.response(body), chat);
        }
      }
    }
    return this.refuse(h, this.createCancelledError(), requestId, chat.call);
  }

  /**
   * Waits for the first event, so that an early failure gets its HTTP status.
   */
  private async answerStreamed(
    h: hapi.ResponseToolkit,
    chat: prepareChat.PreparedChat,
    events: AsyncGenerator<chatRunner.ChatEvent>,
  ): Promise<hapi.ResponseObject> {
    const first = await events.next();
    const {requestId} = chat.call;
    if (first.done) {
      return this.refuse(h, this.createCancelledError(), requestId, chat.call);
    }
    if (first.value.kind === 'failed') {
      await events.return(undefined);
      return this.refuse(h, first.value.error, requestId, chat.call);
    }
    const chunks = this.formatEvents(chat, first.value, events);
    const body = stream.Readable.from(chunks, {objectMode: false});
    return this.addHeaders(h.response(body), chat)
      .type('text/event-stream')
      .header('cache-control', 'no-cache');
  }

  private async *formatEvents(
    chat: prepareChat.PreparedChat,
    first: chatRunner.ChatEvent,
    rest: AsyncGenerator<chatRunner.ChatEvent>,
  ): AsyncGenerator<string> {
    const identity = createCompletionIdentity(
      this.dependencies,
      chat.call.requestId,
    );
    const {includeUsage} = chat.call.request;
    let isFirst = true;
    try {
      for (let event = first; ;) {
        switch (event.kind) {
          case 'token':
            yield formatCompletion.formatToken(identity, event, isFirst);
            isFirst = false;
            break;
          case 'failed':
            this.recordRefusal(chat.call, event.error);
            yield formatCompletion.formatEvent(
              apiError.toErrorBody(event.error, identity.requestId),
            );
            return;
          case 'answered':
            yield formatCompletion.formatEnd(
              identity,
              event.answer,
              includeUsage,
            );
            return;
        }
        const next = await rest.next();
        if (next.done) {
          return;
        }
        event = next.value;
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
      this.dependencies.sessionKey,
      chatSessions.getTokenLifetimeS(chat.context.activeConfiguration.document),
    );
    return response
      .header('x-request-id', chat.call.requestId)
      .header(chatSessions.TOKEN_HEADER, token);
  }

  private createCancelledError(): apiError.ApiError {
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
    this.recordRefusal(call, error, requestId);
    return requestContext.replyError(h, error, requestId);
  }

  private recordRefusal(
    call: chatRunner.ChatCall | undefined,
    error: apiError.ApiError,
    requestId = call?.requestId,
  ): void {
    const workspace = call?.workspace.name ?? 'unknown';
    this.dependencies.metrics.requests.inc({workspace, outcome: error.code});
    this.dependencies.events.record('request_refused', {
      ...(requestId === undefined ? {} : {request: requestId}),
      workspace,
      detail: `${error.code} ${error.ran}`,
    });
  }
}
