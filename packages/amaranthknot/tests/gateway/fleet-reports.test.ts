import * as chai from 'chai';
import * as decisions from '@amaranthknot/decisions';
import * as fakes from '@amaranthknot/fakes';
import * as fleet from '@amaranthknot/fleet';
import * as gateway from '@amaranthknot/gateway';
import * as telemetry from '@amaranthknot/telemetry';
import * as fleetReports from '../../src/gateway/fleet-reports.js';
import * as fleetKnowledge from '../../src/gateway/known-fleet.js';
import * as fixture from './gateway-fixture.js';
import type * as gatewayComponents from '../../src/gateway/gateway-components.js';

/** Time between two rounds of reports, in milliseconds. */
const ROUND_MS = 250;

/** Key of the rollout in `pinnedCounts`: service and version. */
const ROLLOUT_KEY = 'engines/v2';

/** The components from which one instance makes its reports. */
interface Instance {
  readonly members: fleet.MemberTable;
  readonly picker: decisions.UpstreamPicker;
  readonly rollouts: gateway.RolloutTracker;
  readonly reports: fleetReports.FleetReports;
  readonly isWatcher: boolean;
}

const createInstance = (
  clock: fakes.VirtualClock,
  id: string,
  isWatcher: boolean,
): Instance => {
  const now = () => clock.now();
  const log = new telemetry.DecisionLog({instance: id, level: 'error', now});
  const members = new fleet.MemberTable(fixture.createMember(id));
  const picker = new decisions.UpstreamPicker({
    onEject: () => undefined,
    zone: 'a',
    now,
    random: fakes.createRandom(1),
  });
  const limits = new decisions.RateLimits({
    now,
    self: id,
    findInstances: () => [id],
    onChange: () => undefined,
  });
  const concurrencyShares = new decisions.ConcurrencyShares({
    now,
    self: id,
    findInstances: () => [id],
    findService: () => undefined,
    onChange: () => undefined,
  });
  const partQuarantine = new decisions.PartQuarantine({
    now,
    self: id,
    findInstances: () => [id],
    onChange: () => undefined,
    onEvidence: () => undefined,
  });
  const upstreamAbsences = new decisions.UpstreamAbsences({
    now,
    findColdStartMs: () => 3_000,
    findSiblings: () => [],
    findSignOfLife: () => undefined,
    onRefute: () => undefined,
    onChange: () => undefined,
    onReturn: () => undefined,
    onNews: () => undefined,
  });
  const knownFleet = new fleetKnowledge.KnownFleet({
    now,
    uptimeMs: () => clock.now(),
    members,
    hasOtherSeeds: () => false,
  });
  const fleetSends = new decisions.FleetSends({
    self: `${id}.1`,
    windowMs: 10_000,
    now,
    isAlone: () => false,
  });
  const rollouts = new gateway.RolloutTracker({
    clock,
    incarnation: `${id}.1`,
    sessionMs: 5_000,
    limit: {share: 0.15, slack: 30},
    report: () => Promise.resolve(false),
    reportRank: () => 0,
    onBad: () => undefined,
    log,
  });
  rollouts.applyRollouts([
    {
      service: 'engines',
      version: 'v2',
      state: 'running',
      durationMs: 60_000,
      revision: 1,
    },
  ]);
  picker.pick([{id: 'up', zone: 'a', slots: 8}], NO_WORK);
  const components = {
    options: {clock},
    members,
    picker,
    fleetSends,
    limits,
    concurrencyShares,
    partQuarantine,
    upstreamAbsences,
    knownFleet,
    rollouts,
    relay: {states: () => []},
    watchRole: {isWatcher: () => isWatcher, findWatchers: () => []},
  };
  const get = ((token: keyof typeof components) =>
    components[token]) as unknown as gatewayComponents.GatewayResolver;
  const reports = new fleetReports.FleetReports(get);
  return {members, picker, rollouts, reports, isWatcher};
};

const NO_WORK = {
  promptTokens: 0,
  answerTokens: 0,
  prefixTokens: 0,
  prefixKey: undefined,
};

/**
 * A follower reports to a watcher and applies the summary that it gets back.
 */
const follow = (follower: Instance, watcher: Instance): void => {
  const report = follower.reports.createFollowerReport(watcher.members.self);
  watcher.reports.applyFollowerReport(report);
  const summary = watcher.reports.createSummary(report);
  follower.reports.applySummary(watcher.members.self, summary);
};

/** Two watchers exchange full reports. */
const exchange = (a: Instance, b: Instance): void => {
  b.reports.applyReport(a.reports.createReport(b.members.self.peers));
  a.reports.applyReport(b.reports.createReport(a.members.self.peers));
};

interface Fleet {
  readonly watchers: readonly [Instance, Instance];
  readonly followers: readonly [Instance, Instance];
  /** Runs report rounds for `ms` milliseconds; `gone` takes part in none. */
  readonly run: (ms: number, gone?: Instance) => Promise<void>;
}

/** Two watchers that also follow each other, with one more follower each. */
const createFleet = (): Fleet => {
  const clock = new fakes.VirtualClock();
  const watchers = [
    createInstance(clock, 'w1', true),
    createInstance(clock, 'w2', true),
  ] as const;
  const followers = [
    createInstance(clock, 'f1', false),
    createInstance(clock, 'f2', false),
  ] as const;
  const [w1, w2] = watchers;
  const [f1, f2] = followers;
  const links = [
    [f1, w1],
    [f2, w2],
    [w1, w2],
    [w2, w1],
  ] as const;
  const run = async (ms: number, gone?: Instance) => {
    for (let waited = 0; waited < ms; waited += ROUND_MS) {
      await clock.advance(ROUND_MS);
      [...watchers, ...followers].forEach(({members}) => {
        members.beat();
      });
      links
        .filter(link => !gone || !link.includes(gone))
        .forEach(([follower, watcher]) => {
          follow(follower, watcher);
        });
      exchange(w1, w2);
    }
  };
  return {watchers, followers, run};
};

const inFlightAt = ({picker}: Instance): number =>
  picker.describe('up').inFlight;

const namesOf = ({members}: Instance, nowMs: number): readonly string[] =>
  members
    .serving(nowMs)
    .map(({id}) => id)
    .sort();

describe('FleetReports', () => {
  it('counts each request once on every instance', async () => {
    // Two watchers that lose the store follow each other. Guards against sums
    // that a watcher gets back as if they were of others: they grow with each
    // round, engines look twice as busy, and uncertain answers are escalated.
    const {watchers, followers, run} = createFleet();
    const all = [...watchers, ...followers];
    all.forEach(({picker}) => picker.start('up', NO_WORK));
    await run(5_000);
    chai.expect(all.map(inFlightAt)).eql([4, 4, 4, 4]);
  });

  it('drops an instance that is gone, on its watchers too', async () => {
    // An instance loses power. Guards against watchers that each confirm it to
    // the other as alive, so that callers are sent to it for ever.
    const {watchers, followers, run} = createFleet();
    const [gone] = followers;
    await run(2_000);
    const alive = 2_000;
    chai.expect(namesOf(followers[1], alive)).eql(['f1', 'f2', 'w1', 'w2']);
    await run(fleet.SILENT_MS + 1_000, gone);
    const later = alive + fleet.SILENT_MS + 1_000;
    for (const instance of [...watchers, followers[1]]) {
      chai.expect(namesOf(instance, later)).eql(['f2', 'w1', 'w2']);
    }
  });

  it('sums the evidence on a version over the fleet', async () => {
    const {watchers, followers, run} = createFleet();
    const work = {
      service: 'engines',
      route: 'r',
      model: undefined,
      isStream: false,
    };
    for (const {rollouts} of [...watchers, ...followers]) {
      const observation = {...work, isError: false, firstByteMs: 10};
      rollouts.recordAttempt({...observation, version: 'v1'});
      rollouts.recordAttempt({...observation, version: 'v2'});
    }
    await run(2_000);
    for (const {rollouts} of watchers) {
      const [sum] = rollouts.evidenceSums();
      chai.expect(sum?.old.requests).equal(4);
      chai.expect(sum?.new.requests).equal(4);
    }
  });

  it('reports a pinned session to every instance once', async () => {
    // Sessions that are active when a rollout starts stay on the old version.
    // Guards against an instance that does not learn of one and moves it to the
    // new version.
    const {watchers, followers, run} = createFleet();
    const [f1, f2] = followers;
    const sessions = Array.from({length: 200}, (_, i) => `session-${i}`);
    sessions.forEach(session => {
      f1.rollouts.chooseVersion('engines', session);
    });
    const count = f1.rollouts.pinnedCounts()[ROLLOUT_KEY];
    await run(2_000);
    chai.expect(count).above(0);
    for (const {rollouts} of [...watchers, f2]) {
      chai.expect(rollouts.pinnedCounts()[ROLLOUT_KEY]).equal(count);
    }
  });
});
