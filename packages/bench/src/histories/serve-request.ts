/** The steps of one attempt at a request on one instance. */
import type * as ledger from '@amaranthknot/ledger';
import type * as simulatedInstance from './simulated-instance.js';
import type * as histories from './history.js';

/** One request of a caller, which may come several times. */
export interface CallerRequest {
  readonly identity: ledger.RequestIdentity;
  readonly fingerprint: string;
  readonly idempotent: boolean;
}

/** What the upstream did with a request. */
export type UpstreamAnswer = 'answered' | 'cut';

/** What an attempt does to the world outside its instance. */
export interface Outside {
  /** Whether admission gives the request up after its claim. */
  readonly isGivenUp: () => boolean;
  /** Sends the request; the history notes it. */
  readonly send: () => Promise<UpstreamAnswer>;
  readonly wallTime: () => number;
}

/** Serves one attempt; the result is what its caller is told. */
export type Service = (
  instance: simulatedInstance.SimulatedInstance,
  request: CallerRequest,
  outside: Outside,
) => Promise<histories.Told>;

const ANSWER: ledger.ClaimOutcome = {
  kind: 'answer',
  status: 200,
  body: 'booked',
};

const createBill = (request: CallerRequest, outside: Outside): ledger.Bill => ({
  identity: request.identity.name,
  workspace: request.identity.workspace,
  model: 'booking',
  version: 'v1',
  cost: 1,
  tokens: 0,
  atWallMs: outside.wallTime(),
});

/** The order of steps that the entry package keeps. */
export const serveRequest: Service = async (instance, request, outside) => {
  if (instance.bills.mayAccept().isLeft()) {
    return 'not_run';
  }
  if (request.idempotent) {
    return runOnce(instance, request, outside);
  }
  const result = await instance.claims.claim(
    request.identity,
    request.fingerprint,
  );
  switch (result.kind) {
    case 'granted':
      return runClaimed(instance, request, outside, result.claim);
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
  outside: Outside,
  claim: ledger.Claim,
): Promise<histories.Told> => {
  if (outside.isGivenUp()) {
    await instance.claims.abandon(claim);
    return 'not_run';
  }
  const told = await runOnce(instance, request, outside);
  // The answer is recorded after its bill: a replay must find it billed.
  if (told === 'answered') {
    await instance.claims.finish(claim, ANSWER);
  }
  return told;
};

const runOnce = async (
  instance: simulatedInstance.SimulatedInstance,
  request: CallerRequest,
  outside: Outside,
): Promise<histories.Told> => {
  if ((await outside.send()) === 'cut') {
    return 'unknown';
  }
  const recorded = await instance.bills.record(createBill(request, outside));
  return recorded === 'at_risk' ? 'unknown' : 'answered';
};
