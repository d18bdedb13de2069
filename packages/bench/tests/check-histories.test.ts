import * as chai from 'chai';
import * as ledger from '@amaranthknot/ledger';
import type * as ports from '@amaranthknot/ports';
import * as purify from 'purify-ts';
import * as checkHistory from '../src/histories/check-history.js';
import type * as histories from '../src/histories/history.js';
import * as runHistory from '../src/histories/run-history.js';
import * as serveRequest from '../src/histories/serve-request.js';
import type * as simulatedInstance from '../src/histories/simulated-instance.js';

const {expect} = chai;

/** Number of seeds within which each injected fault must be detected. */
const FAULT_SEEDS = 60;
const CLEAN_SEEDS = 40;

type Create = (
  kind: string,
  name: string,
  value: unknown,
) => Promise<ports.StoreResult<ports.StoredObject>>;

const replaceCreate = (
  replacement: (create: Create) => Create,
): runHistory.RunOptions => ({
  wrapStore: store => ({
    get: store.get.bind(store),
    list: store.list.bind(store),
    create: replacement(store.create.bind(store)),
    update: store.update.bind(store),
    delete: store.delete.bind(store),
    watch: store.watch.bind(store),
  }),
});

/** Turns creates of one kind that failed with `code` into successes. */
const treatCreateErrorAsSuccess = (
  trustedObjectKind: string,
  code: ports.StoreErrorCode,
): runHistory.RunOptions =>
  replaceCreate(create => async (kind, name, value) => {
    const result = await create(kind, name, value);
    return kind === trustedObjectKind
      ? result.chainLeft(error =>
          error.code === code
            ? purify.Right({kind, name, value, version: 1})
            : purify.Left(error),
        )
      : result;
  });

const useUniqueSegmentNames = (): runHistory.RunOptions => {
  let count = 0;
  return replaceCreate(create => (kind, name, value) => {
    const unique = kind === ledger.BILL_KIND ? `${name}-${count++}` : name;
    return create(kind, unique, value);
  });
};

const replacePeers = (
  replacement: Partial<simulatedInstance.Peers>,
): runHistory.RunOptions => ({
  wrapPeers: peers => ({
    candidates: peers.candidates.bind(peers),
    isBelievedDead: peers.isBelievedDead.bind(peers),
    send: peers.send.bind(peers),
    queryOwner: peers.queryOwner.bind(peers),
    ...replacement,
  }),
});

const replaceHandler = (
  serve: serveRequest.AttemptHandler,
): runHistory.RunOptions => ({
  serve,
});

/** Reports `not_run` for a request whose connection broke after the send. */
const reportNotRunAfterCut = replaceHandler(
  async (instance, request, environment) => {
    const answers: serveRequest.UpstreamAnswer[] = [];
    const send = async () => {
      const answer = await environment.send();
      answers.push(answer);
      return answer;
    };
    const observed = {...environment, send};
    const result = await serveRequest.serveRequest(instance, request, observed);
    return answers.includes('cut') ? 'not_run' : result;
  },
);

/** Refuses a request and still sends it. */
const sendAfterRefusal = replaceHandler(
  async (instance, request, environment) => {
    const result = await serveRequest.serveRequest(
      instance,
      request,
      environment,
    );
    if (result === 'not_run') {
      void environment.send();
    }
    return result;
  },
);

const abandonAfterSend = replaceHandler(
  async (instance, request, environment) => {
    const {identity, fingerprint} = request;
    const result = await instance.claims.claim(identity, fingerprint);
    if (result.kind !== 'granted') {
      return 'unknown';
    }
    await environment.send();
    await instance.claims.abandon(result.claim);
    return 'unknown';
  },
);

const billBeforeSend = replaceHandler(
  async (instance, request, environment) => {
    await instance.bills.record({
      identity: request.identity.name,
      workspace: request.identity.workspace,
      model: 'booking',
      version: 'v1',
      cost: 1,
      tokens: 0,
      atWallMs: environment.wallTime(),
    });
    return serveRequest.serveRequest(instance, request, environment);
  },
);

const answerWithoutBill = replaceHandler(
  async (_instance, _request, environment) =>
    (await environment.send()) === 'cut' ? 'unknown' : 'answered',
);

/** Completes an answer whose bill no other instance holds. */
const answerWithBillAtRisk = replaceHandler(
  async (instance, request, environment) => {
    const answers: serveRequest.UpstreamAnswer[] = [];
    const send = async () => {
      const answer = await environment.send();
      answers.push(answer);
      return answer;
    };
    const observed = {...environment, send};
    const result = await serveRequest.serveRequest(instance, request, observed);
    return answers.includes('answered') ? 'answered' : result;
  },
);

const replayInsteadOfNotRun = replaceHandler(
  async (instance, request, environment) => {
    const result = await serveRequest.serveRequest(
      instance,
      request,
      environment,
    );
    return result === 'not_run' ? 'replayed' : result;
  },
);

/** Drops a claimed request without abandoning its claim. */
const keepClaimOnGiveUp: serveRequest.AttemptHandler = async (
  instance,
  request,
  environment,
) => {
  if (!request.idempotent && environment.isDroppedByAdmission()) {
    await instance.claims.claim(request.identity, request.fingerprint);
    return 'not_run';
  }
  return serveRequest.serveRequest(instance, request, environment);
};

const INJECTED_FAULTS: readonly {
  readonly fault: string;
  readonly options: () => runHistory.RunOptions;
  readonly detectedBy: histories.CheckName;
}[] = [
  {
    fault: 'a claim whose answer was lost counts as granted',
    options: () => treatCreateErrorAsSuccess(ledger.CLAIM_KIND, 'unknown'),
    detectedBy: 'sent_at_most_once',
  },
  {
    fault: 'a refused claim counts as granted in an outage',
    options: () => treatCreateErrorAsSuccess(ledger.CLAIM_KIND, 'unavailable'),
    detectedBy: 'sent_at_most_once',
  },
  {
    fault: 'claims of owners that may have sent are taken over',
    options: () => replacePeers({queryOwner: () => Promise.resolve('void')}),
    detectedBy: 'sent_at_most_once',
  },
  {
    fault: 'a claim is abandoned after its send',
    options: () => abandonAfterSend,
    detectedBy: 'sent_at_most_once',
  },
  {
    fault: 'not_run is reported after a send',
    options: () => reportNotRunAfterCut,
    detectedBy: 'not_run_is_true',
  },
  {
    fault: 'a refused request is sent later',
    options: () => sendAfterRefusal,
    detectedBy: 'not_run_is_true',
  },
  {
    fault: 'an answer is replayed that no attempt produced',
    options: () => replayInsteadOfNotRun,
    detectedBy: 'replay_follows_answer',
  },
  {
    fault: 'an answer completes without a bill',
    options: () => answerWithoutBill,
    detectedBy: 'answered_is_billed',
  },
  {
    fault: 'bill copies are counted that no peer holds',
    options: () => replacePeers({send: () => Promise.resolve(true)}),
    detectedBy: 'answered_is_billed',
  },
  {
    fault: 'an answer completes whose bill no other instance holds',
    options: () => answerWithBillAtRisk,
    detectedBy: 'answered_is_billed',
  },
  {
    fault: 'claims of dropped attempts are never deleted',
    options: () => replaceHandler(keepClaimOnGiveUp),
    detectedBy: 'void_is_freed',
  },
  {
    fault: 'a conflict on a bill segment counts as all its bills written',
    options: () => treatCreateErrorAsSuccess(ledger.BILL_KIND, 'conflict'),
    detectedBy: 'answered_is_billed',
  },
  {
    fault: 'a bill segment whose answer was lost counts as written',
    options: () => treatCreateErrorAsSuccess(ledger.BILL_KIND, 'unknown'),
    detectedBy: 'answered_is_billed',
  },
  {
    fault: 'each write of a bill segment uses a new name',
    options: useUniqueSegmentNames,
    detectedBy: 'billed_once',
  },
  {
    fault: 'a bill is recorded before the send',
    options: () => billBeforeSend,
    detectedBy: 'billed_was_sent',
  },
];

const findBrokenChecks = async (
  options: () => runHistory.RunOptions,
  expected: histories.CheckName,
): Promise<ReadonlySet<histories.CheckName>> => {
  const found = new Set<histories.CheckName>();
  for (let seed = 1; seed <= FAULT_SEEDS && !found.has(expected); seed++) {
    const history = await runHistory.runHistory(seed, options());
    for (const violation of checkHistory.checkHistory(history)) {
      found.add(violation.check);
    }
  }
  return found;
};

describe('histories of claims and bills', () => {
  // Guards against requests that run twice, requests reported as `not_run` that
  // ran, and bills that are missing or duplicated. Callers retry on several
  // instances at once while instances are killed, restarted or paused and the
  // platform is unavailable, slow, stale or loses answers.
  it(`pass all checks for seeds 1 to ${CLEAN_SEEDS}`, async () => {
    for (let seed = 1; seed <= CLEAN_SEEDS; seed++) {
      const history = await runHistory.runHistory(seed);
      const violations = checkHistory.checkHistory(history);
      expect(violations, `seed ${seed}`).to.deep.equal([]);
    }
  });

  it('are identical for the same seed', async () => {
    const first = await runHistory.runHistory(3);
    const second = await runHistory.runHistory(3);
    expect(second).to.deep.equal(first);
  });

  for (const {fault, options, detectedBy: seenBy} of INJECTED_FAULTS) {
    it(`fail a check when ${fault}`, async () => {
      expect([...(await findBrokenChecks(options, seenBy))]).to.include(seenBy);
    });
  }
});
