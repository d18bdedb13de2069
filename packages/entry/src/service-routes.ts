/**
 * Handles `/services/NAME/...`: passes calls through to plain services. A call
 * whose method is not idempotent runs at most once: it is claimed before its
 * first byte is sent, and a retry with its key gets the recorded answer.
 */
import type * as hapi from '@hapi/hapi';
import * as purify from 'purify-ts';
import * as configuration from '@amaranthknot/configuration';
import * as ledger from '@amaranthknot/ledger';
import type * as upstreams from '@amaranthknot/upstreams';
import type * as apiError from './api-error.js';
import type * as entryDependencies from './entry-dependencies.js';
import * as recordedAnswer from './recorded-answer.js';
import * as requestContext from './request-context.js';

/** Maximum length of an idempotency key. */
const MAX_KEY_LENGTH = 256;

/** Retry time sent with failed calls, in milliseconds. */
const RETRY_AFTER_MS = 2_000;

/** A call of a plain service. */
interface ServiceRequest {
  readonly context: requestContext.RequestContext;
  readonly service: configuration.Service;
  readonly isIdempotent: boolean;
  readonly identity: ledger.RequestIdentity;
  readonly method: string;
  readonly path: string;
  readonly body: Buffer;
  readonly contentType?: string;
}

type Answer = purify.Either<apiError.ApiError, upstreams.ServiceAnswer>;

const refuse = (
  code: apiError.ApiErrorCode,
  message: string,
): purify.Either<apiError.ApiError, never> =>
  purify.Left({code, ran: 'not_run', message});

const toApiError = (failure: upstreams.ServiceFailure): apiError.ApiError => {
  const {ran, message} = failure;
  return ran === 'not_run'
    ? {code: 'no_upstream', ran, message, retryAfterMs: RETRY_AFTER_MS}
    : {code: 'outcome_unknown', ran, message, retryAfterMs: RETRY_AFTER_MS};
};

/** Route handler of plain services. */
export class ServiceRoutes {
  constructor(
    private readonly dependencies: entryDependencies.EntryDependencies,
  ) {}

  /** Authenticates, admits and runs one call, and answers it. */
  async handle(
    request: hapi.Request,
    h: hapi.ResponseToolkit,
  ): Promise<hapi.ResponseObject> {
    const parsed = this.parse(request);
    if (parsed.isLeft()) {
      return requestContext.replyError(
        h,
        parsed.extract(),
        this.dependencies.newId(),
      );
    }
    const call = parsed.unsafeCoerce();
    const {requestId} = call.context;
    const admitted = await requestContext.admit(
      this.dependencies,
      call.context,
    );
    if (admitted.isLeft()) {
      return this.reply(h, call, purify.Left(admitted.extract()));
    }
    const release = admitted.unsafeCoerce();
    try {
      const answer = !this.mayStart(call)
        ? this.refuseChangedConfiguration()
        : call.isIdempotent
          ? await this.runIdempotent(call)
          : await this.runOnce(call);
      return this.reply(h, call, answer);
    } catch (error) {
      // An internal error must not report `not_run` for a call that may have
      // run.
      this.dependencies.logger.error(
        'service call handler failed; answering internal, ran unknown',
        {requestId, error},
      );
      const message = 'internal error';
      return this.reply(
        h,
        call,
        purify.Left({code: 'internal', ran: 'unknown', message}),
      );
    } finally {
      release();
    }
  }

  /**
   * Whether the call may start after waiting for admission: the rules may have
   * changed, or this instance may no longer have an active configuration.
   */
  private mayStart({context, service}: ServiceRequest): boolean {
    const workspace = this.dependencies
      .activeConfiguration()
      ?.document.workspaces.find(
        found => found.name === context.workspace.name,
      );
    return (
      workspace !== undefined &&
      configuration.isServiceAllowed(workspace.allowed, service.name)
    );
  }

  private refuseChangedConfiguration(): Answer {
    return purify.Left({
      code: 'not_ready',
      ran: 'not_run',
      message: 'the configuration changed while the call waited',
      retryAfterMs: RETRY_AFTER_MS,
    });
  }

  private parse(
    request: hapi.Request,
  ): purify.Either<apiError.ApiError, ServiceRequest> {
    const {dependencies} = this;
    return requestContext
      .createContext(dependencies, request)
      .chain(context => {
        const {service: name, path = ''} = request.params as unknown as {
          service: string;
          path?: string;
        };
        const {document} = context.activeConfiguration;
        const service = document.services.find(found => found.name === name);
        const isAllowed = configuration.isServiceAllowed(
          context.workspace.allowed,
          name,
        );
        if (!service || !isAllowed) {
          return refuse('service_not_found', `no service ${name} here`);
        }
        const method = request.method.toUpperCase();
        const isIdempotent = service.idempotentMethods.includes(method);
        const key = requestContext.readHeader(request, 'idempotency-key');
        if (!isIdempotent && key === undefined) {
          return refuse(
            'idempotency_key_required',
            `${method} of ${name} runs at most once: send an Idempotency-Key`,
          );
        }
        if (key !== undefined && key.length > MAX_KEY_LENGTH) {
          return refuse(
            'invalid_request',
            `an Idempotency-Key has at most ${MAX_KEY_LENGTH} characters`,
          );
        }
        const contentType = requestContext.readHeader(request, 'content-type');
        return purify.Right({
          context,
          service,
          isIdempotent,
          identity: ledger.identifyRequest(
            context.workspace.name,
            key,
            context.requestId,
          ),
          method,
          path: `/${path}${request.url.search}`,
          body: Buffer.isBuffer(request.payload)
            ? request.payload
            : Buffer.alloc(0),
          ...(contentType === undefined ? {} : {contentType}),
        });
      });
  }

  private async runIdempotent(call: ServiceRequest): Promise<Answer> {
    const accepted = this.checkBills();
    if (accepted.isLeft()) {
      return accepted;
    }
    return this.billAnswer(call, await this.send(call));
  }

  private async runOnce(call: ServiceRequest): Promise<Answer> {
    const {dependencies} = this;
    const accepted = this.checkBills();
    if (accepted.isLeft()) {
      return accepted;
    }
    const fingerprint = ledger.fingerprintRequest(
      call.service.name,
      call.method,
      call.path,
      call.body.toString('base64'),
    );
    const claimed = await dependencies.claims.claim(call.identity, fingerprint);
    this.recordClaim(call, claimed);
    switch (claimed.kind) {
      case 'granted':
        return this.runClaimed(call, claimed.claim);
      case 'already':
        return this.replay(claimed.outcome);
      case 'mismatch':
        return refuse(
          'idempotency_key_reused',
          'this Idempotency-Key came before with another request',
        );
      case 'refused':
        return purify.Left({
          code: 'platform_out',
          ran: 'not_run',
          message: 'the request cannot be claimed now',
          retryAfterMs: claimed.retryAfterMs,
        });
    }
  }

  private async runClaimed(
    call: ServiceRequest,
    claim: ledger.Claim,
  ): Promise<Answer> {
    const {claims} = this.dependencies;
    const answer = await this.send(call);
    if (answer.isLeft()) {
      const failure = answer.extract();
      if (failure.ran === 'not_run') {
        await claims.abandon(claim);
      }
      return answer;
    }
    const {status, ...rest} = answer.unsafeCoerce();
    const body = recordedAnswer.encodeAnswer({status, ...rest});
    // The bill comes first: once the answer is recorded, a retry on another
    // instance may get it. If it were recorded while its bill is at risk, that
    // answer might never be billed. Without a record the retry gets `unknown`.
    const billed = await this.billAnswer(call, answer);
    if (billed.isRight()) {
      await claims.finish(claim, {kind: 'answer', status, body});
    }
    return billed;
  }

  private replay(outcome: ledger.ClaimOutcome | undefined): Answer {
    if (outcome === undefined) {
      return purify.Left({
        code: 'outcome_unknown',
        ran: 'unknown',
        message: 'an earlier attempt under this key has no recorded answer',
        retryAfterMs: RETRY_AFTER_MS,
      });
    }
    if (outcome.kind === 'digest') {
      return purify.Left({
        code: 'outcome_unknown',
        ran: 'ran',
        message: `it ran with status ${outcome.status}; the answer was too large to keep`,
      });
    }
    return purify.Right(
      recordedAnswer.decodeAnswer(outcome.status, outcome.body),
    );
  }

  private async send(call: ServiceRequest): Promise<Answer> {
    const {dependencies} = this;
    const placement = dependencies.placeService(call.service.name);
    if (!placement) {
      const retryAfterMs =
        dependencies.findRetryAfterMs(call.service.name) ?? 0;
      return purify.Left({
        code: 'no_upstream',
        ran: 'not_run',
        message: `no upstream of ${call.service.name} may take the call`,
        retryAfterMs: Math.max(RETRY_AFTER_MS, retryAfterMs),
      });
    }
    const {requestId} = call.context;
    const {upstream} = placement;
    dependencies.events.record('stage_started', {
      request: requestId,
      upstream,
      detail: `${call.method} ${call.service.name}`,
    });
    // A call that must not be repeated continues when its caller disconnects:
    // its answer is recorded for the caller's retry.
    const signal = call.isIdempotent
      ? call.context.signal
      : new AbortController().signal;
    const answer = await dependencies.callService(
      {
        address: placement.address,
        method: call.method,
        path: call.path,
        requestId: call.isIdempotent ? requestId : call.identity.name,
        ...(call.contentType === undefined
          ? {}
          : {contentType: call.contentType}),
        ...(call.body.length > 0 ? {body: call.body} : {}),
      },
      signal,
    );
    placement.settle(
      answer.isRight() ? 'finished' : 'failed',
      answer.swap().toMaybe().extract()?.backoffMs,
    );
    answer.ifLeft(failure =>
      dependencies.events.record('upstream_failed', {
        request: requestId,
        upstream,
        detail: `${failure.code} ${failure.ran}`,
      }),
    );
    return answer.mapLeft(toApiError);
  }

  private checkBills(): purify.Either<apiError.ApiError, true> {
    return this.dependencies.bills.mayAccept().mapLeft(refusal => ({
      code: 'platform_out',
      ran: 'not_run',
      message: 'bills cannot be kept safe now',
      retryAfterMs: refusal.retryAfterMs,
    }));
  }

  private async billAnswer(
    call: ServiceRequest,
    answer: Answer,
  ): Promise<Answer> {
    if (answer.isLeft()) {
      return answer;
    }
    const {dependencies} = this;
    const workspace = call.context.workspace.name;
    const recorded = await dependencies.bills.record({
      identity: call.identity.name,
      workspace,
      model: call.service.name,
      version: '',
      cost: call.service.costPerCall,
      tokens: 0,
      atWallMs: dependencies.clock.wallTime(),
    });
    const subject = {request: call.context.requestId, workspace};
    if (recorded === 'at_risk') {
      return purify.Left({
        code: 'outcome_unknown',
        ran: 'ran',
        message: 'it ran; its bill could not be kept safe yet',
        retryAfterMs: RETRY_AFTER_MS,
      });
    }
    dependencies.events.record('bill_recorded', {...subject, detail: recorded});
    dependencies.metrics.cost.inc({workspace}, call.service.costPerCall);
    return answer;
  }

  private recordClaim(call: ServiceRequest, claimed: ledger.ClaimResult): void {
    const subject = {
      request: call.context.requestId,
      workspace: call.context.workspace.name,
      detail: call.identity.name,
    };
    switch (claimed.kind) {
      case 'granted':
        this.dependencies.events.record('claim_granted', subject);
        break;
      case 'already':
      case 'mismatch':
        this.dependencies.events.record('claim_repeated', subject);
        break;
      case 'refused':
        this.dependencies.events.record('claim_refused', subject);
        break;
    }
  }

  private reply(
    h: hapi.ResponseToolkit,
    call: ServiceRequest,
    answer: Answer,
  ): hapi.ResponseObject {
    const {requestId, workspace} = call.context;
    const outcome = answer.caseOf<string>({
      Left: error => error.code,
      Right: () => 'answered',
    });
    this.dependencies.metrics.requests.inc({
      workspace: workspace.name,
      outcome,
    });
    return answer.caseOf({
      Left: error => {
        this.dependencies.events.record(
          error.ran === 'not_run' ? 'request_refused' : 'answer_unknown',
          {request: requestId, workspace: workspace.name, detail: error.code},
        );
        return requestContext.replyError(h, error, requestId);
      },
      Right: found => {
        this.dependencies.events.record('answer_given', {
          request: requestId,
          workspace: workspace.name,
          detail: call.service.name,
        });
        return h
          .response(found.body)
          .code(found.status)
          .type(found.contentType)
          .header('x-request-id', requestId);
      },
    });
  }
}
