import * as chai from 'chai';
import * as decisions from '@amaranthknot/decisions';
import * as loadFixture from './load-fixture.js';

const CAPACITY = 8;
const SERVICE_MS = 200;
/** Requests a second that the slots can serve. */
const RATE = (CAPACITY * 1000) / SERVICE_MS;

const createQueue = (): decisions.AdmissionQueue =>
  new decisions.AdmissionQueue({
    capacity: CAPACITY,
    random: loadFixture.createRandom(1),
  });

const createLoad = (
  workspaces: readonly string[],
  load: number,
  options: Partial<loadFixture.DemandOptions> = {},
): readonly loadFixture.Demand[] =>
  workspaces.flatMap((workspace, i) =>
    loadFixture.createDemand({
      workspace,
      ratePerSecond: (load * RATE) / workspaces.length,
      untilMs: 30_000,
      serviceMs: SERVICE_MS,
      seed: i + 1,
      ...options,
    }),
  );

const SMALL = ['small-0', 'small-1', 'small-2', 'small-3'];

const answered = (outcomes: readonly loadFixture.Outcome[]) =>
  outcomes.filter(({answers}) => answers[0] === 'answered');

const inTime = (outcomes: readonly loadFixture.Outcome[]) =>
  answered(outcomes).filter(
    ({demand, endedMs}) => endedMs! <= demand.request.deadlineMs,
  );

const findWaits = (
  outcomes: readonly loadFixture.Outcome[],
): readonly number[] =>
  answered(outcomes)
    .map(({demand, startedMs}) => startedMs! - demand.atMs)
    .sort((a, b) => a - b);

const ofWorkspace = (
  outcomes: readonly loadFixture.Outcome[],
  prefix: string,
) => outcomes.filter(({demand}) => demand.request.workspace.startsWith(prefix));

describe('admission under load', () => {
  const loads = [
    {name: 'half of capacity', load: 0.5, minFraction: 0.99},
    {name: 'all of capacity', load: 1, minFraction: 0.8},
    {name: 'twice capacity', load: 2, minFraction: 0.45},
    {name: 'five times capacity', load: 5, minFraction: 0.18},
  ];
  for (const {name, load, minFraction} of loads) {
    // Under overload, service in order of arrival answers all requests too
    // late, as it starts work whose caller no longer waits.
    it(`answers enough requests in time at ${name}`, () => {
      const demands = createLoad(SMALL, load);
      const outcomes = loadFixture.runLoad(createQueue(), demands);
      chai.expect(loadFixture.checkHistory(outcomes, CAPACITY)).deep.equal([]);
      chai
        .expect(inTime(outcomes).length)
        .at.least(minFraction * demands.length);
    });
  }

  // A queue that doesn't distinguish workspaces makes small ones wait behind
  // the burst of a large one.
  it('keeps waits of small workspaces short during a burst of a large one', () => {
    const small = createLoad(SMALL, 0.4);
    const large = createLoad(['large'], 4, {seed: 99});
    const outcomes = loadFixture.runLoad(createQueue(), [...small, ...large]);
    const waits = findWaits(ofWorkspace(outcomes, 'small'));
    chai.expect(loadFixture.checkHistory(outcomes, CAPACITY)).deep.equal([]);
    chai.expect(waits.length).at.least(0.95 * small.length);
    chai.expect(waits[Math.floor(waits.length * 0.95)]).below(2 * SERVICE_MS);
  });

  // Long batch work could take each slot that becomes free, so that door checks
  // wait for half a minute.
  it('answers door checks quickly while long batch work fills the slots', () => {
    const long = createLoad(['packs'], 1, {
      priority: 'batch',
      serviceMs: 4000,
      ratePerSecond: 4,
      deadlineMs: 60_000,
    });
    const checks = createLoad(['door'], 0.1, {priority: 'door_check'});
    const outcomes = loadFixture.runLoad(createQueue(), [...long, ...checks]);
    const done = answered(ofWorkspace(outcomes, 'door'));
    const times = done
      .map(({demand, endedMs}) => endedMs! - demand.atMs)
      .sort((a, b) => a - b);
    // Alone, a door check takes up to one and a half mean service times.
    chai.expect(done.length).equal(checks.length);
    chai
      .expect(times[Math.floor(times.length * 0.99)])
      .below(2 * 1.5 * SERVICE_MS);
  });

  it('refuses at once under lasting overload, with few refusals after a wait', () => {
    const outcomes = loadFixture.runLoad(createQueue(), createLoad(SMALL, 3));
    const refused = outcomes.filter(({answers}) => answers[0] === 'refused');
    const late = refused.filter(o => o.endedMs! > o.demand.atMs);
    chai.expect(late.length).at.most(0.05 * refused.length);
  });
});

interface InjectedFault {
  readonly name: string;
  readonly fault: RegExp;
  readonly inject: (queue: decisions.AdmissionQueue) => loadFixture.TestedQueue;
}

/** Each wraps the real queue and injects one fault. */
const INJECTED_FAULTS: readonly InjectedFault[] = [
  {
    name: 'an expired request that gets no answer',
    fault: /has 0 answers/,
    inject: queue => ({
      offer: (request, nowMs) => queue.offer(request, nowMs),
      release: (id, nowMs) => queue.release(id, nowMs),
      expire: nowMs => queue.expire(nowMs).slice(1),
    }),
  },
  {
    name: 'a refusal without a retry delay',
    fault: /without a retry delay/,
    inject: queue => ({
      offer: (request, nowMs) => {
        const outcome = queue.offer(request, nowMs);
        return outcome.kind === 'refused'
          ? {...outcome, retryAfterMs: 0}
          : outcome;
      },
      release: (id, nowMs) => queue.release(id, nowMs),
      expire: nowMs => queue.expire(nowMs),
    }),
  },
  {
    name: 'more running requests than slots',
    fault: /more requests ran/,
    inject: queue => ({
      offer: (request, nowMs) => {
        const outcome = queue.offer(request, nowMs);
        if (outcome.kind === 'refused') {
          return {kind: 'admitted'};
        }
        return outcome;
      },
      release: (id, nowMs) => queue.release(id, nowMs),
      expire: nowMs => queue.expire(nowMs),
    }),
  },
  {
    name: 'an ignored deadline',
    fault: /started after its deadline/,
    inject: queue => ({
      offer: (request, nowMs) =>
        queue.offer(
          {...request, deadlineMs: nowMs + 1e6, maxWaitMs: 1e6},
          nowMs,
        ),
      release: (id, nowMs) => queue.release(id, nowMs),
      expire: nowMs => queue.expire(nowMs),
    }),
  },
];

describe('checkHistory', () => {
  for (const {name, fault, inject} of INJECTED_FAULTS) {
    it(`detects ${name}`, () => {
      // Upstreams become slow at 10 s, so that some waiting requests expire.
      const demands = createLoad(SMALL, 3, {
        priority: 'batch',
        deadlineMs: 1500,
      }).map(demand => ({
        ...demand,
        serviceMs: demand.serviceMs * (demand.atMs > 10_000 ? 10 : 1),
      }));
      const outcomes = loadFixture.runLoad(inject(createQueue()), demands);
      const faults = loadFixture.checkHistory(outcomes, CAPACITY);
      chai.expect(faults.join('\n')).match(fault);
    });
  }
});
