/** Serves one attempt at a request on a simulated instance. */
import type * as ledger from '@amaranthknot/ledger';
import type * as simulatedInstance from './simulated-instance.js';
import type * as histories from './history.js';

/** A caller's request, which may arrive several times. */
export interface CallerRequest {
  readonly identity: ledger.RequestIdentity;
  readonly fingerprint: string;
  readonly idempotent: boolean;
}

/** Whether the upstream answered, or the connection broke after the send. */
export type UpstreamAnswer = 'answered' | 'cut';

/** What an attempt needs from the simulation outside its instance. */
export interface AttemptEnvironment {
  /** Whether admission drops the request after its claim was granted. */
  readonly isDroppedByAdmission: () => boolean;
  /** Sends the request to an upstream, and records that in the history. */
  readonly send: () => Promise<UpstreamAnswer>;
  readonly wallTime: () => number;
}

/** Serves one attempt and returns what its caller is told. */
export type AttemptHandler = (
  instance: simulatedInstance.SimulatedInstance,
  request: CallerRequest,
  environment: AttemptEnvironment,
) => Promise<histories.AttemptResult>;

const ANSWER: ledger.ClaimOutcome = {
  kind: 'answer',
  status: 200,
  body: 'booked',
};

const createBill = (
  request: CallerRequest,
  environment: AttemptEnvironment,
): ledger.Bill => ({
  identity: request.identity.name,
  workspace: request.identity.workspace,
  model: 'booking',
  version: 'v1',
  cost: 1,
  tokens: 0,
  atWallMs: environment.wallTime(),
});

/** Serves an attempt by the same order of steps as the entry package. */
export const serveRequest: AttemptHandler = async (
  instance,
  request,
  environment,
) => {
  if (instance.bills.mayAccept().isLeft()) {
    return 'not_run';
  }
  if (request.idempotent) {
    return runOnce(instance, request, environment);
  }
  const result = await instance.claims.claim(
    request.identity,
    request.fingerprint,
  );
  switch (result.kind) {
    case 'granted':
      return runClaimed(instance, request, environment, result.claim);
    case 'already':
      return result.state === 'finished' ? 'replayed' : 'unknown';
    case 'mismatch':
      return 'mismatch';
    case 'refused':
      return 'not_run';
  }
};

const runClaimed = async (
  instance: simulatedInstance.SimulatedInstance,
  request: CallerRequest,
  environment: AttemptEnvironment,
  claim: ledger.Claim,
): Promise<histories.AttemptResult> => {
  if (environment.isDroppedByAdmission()) {
    await instance.claims.abandon(claim);
    return 'not_run';
  }
  const result = await runOnce(instance, request, environment);
  // The answer is recorded after its bill, so that every replay is billed.
  if (result === 'answered') {
    await instance.claims.finish(claim, ANSWER);
  }
  return result;
};

const runOnce = async (
  instance: simulatedInstance.SimulatedInstance,
  request: CallerRequest,
  environment: AttemptEnvironment,
): Promise<histories.AttemptResult> => {
  if ((await environment.send()) === 'cut') {
    return 'unknown';
  }
  const recorded = await instance.bills.record(
    createBill(request, environment),
  );
  return recorded === 'at_risk' ? 'unknown' : 'answered';
};
