import * as chai from 'chai';
import * as decisions from '@amaranthknot/decisions';
import * as fakes from '@amaranthknot/fakes';
import * as fleet from '@amaranthknot/fleet';
import * as gateway from '@amaranthknot/gateway';
import * as telemetry from '@amaranthknot/telemetry';
import * as fleetReports from '../../src/gateway/fleet-reports.js';
import * as fixture from './gateway-fixture.js';
import type * as gatewayComponents from '../../src/gateway/gateway-components.js';

/** Time between two rounds in which all tell each other, in milliseconds. */
const ROUND_MS = 250;

const ORDER = 'engines/v2';

/** The parts of one instance that its reports are made from. */
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
  const rollouts = new gateway.RolloutTracker({
    clock,
    incarnation: `${id}.1`,
    sessionMs: 5_000,
    limit: {share: 0.15, slack: 30},
    report: () => Promise.resolve(false),
    reportRank: () => 0,
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
    limits,
    rollouts,
    relay: {states: () => []},
    watching: {isWatcher: () => isWatcher, findWatchers: () => []},
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

/** One instance reports to a watcher and is told of the fleet. */
const follow = (follower: Instance, watcher: Instance): void => {
  const report = follower.reports.createFollowerReport(watcher.members.self);
  watcher.reports.applyFollowerReport(report);
  const summary = watcher.reports.createSummary(report);
  follower.reports.applySummary(watcher.members.self, summary);
};

/** Two watchers tell each other all they know. */
const exchange = (a: Instance, b: Instance): void => {
  b.reports.applyReport(a.reports.createReport(b.members.self.peers));
  a.reports.applyReport(b.reports.createReport(a.members.self.peers));
};

interface Fleet {
  readonly watchers: readonly [Instance, Instance];
  readonly followers: readonly [Instance, Instance];
  /** Lets all tell each other for a while, but those that are gone. */
  readonly run: (ms: number, gone?: Instance) => Promise<void>;
}

/** Two watchers that follow each other too, with a follower each. */
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
  const lines = [
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
      lines
        .filter(line => !gone || !line.includes(gone))
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

describe('what instances tell each other', () => {
  it('counts each request once at every instance', async () => {
    // Both watchers lose the store for a moment and follow each other. Sums
    // that one had from the other went back to it, and grew with each turn;
    // engines looked twice as busy, and doubtful answers were passed on.
    const {watchers, followers, run} = createFleet();
    const all = [...watchers, ...followers];
    all.forEach(({picker}) => picker.start('up', NO_WORK));
    await run(5_000);
    chai.expect(all.map(inFlightAt)).eql([4, 4, 4, 4]);
  });

  it('forgets an instance that is gone, also at its watchers', async () => {
    // An instance loses its power. Each watcher took the other one's word that
    // it lives, and callers were sent there for ever.
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

  it('adds up the evidence on a version over the fleet', async () => {
    const {watchers, followers, run} = createFleet();
    const work = {
      service: 'engines',
      route: 'r',
      model: undefined,
      isStream: false,
    };
    for (const {rollouts} of [...watchers, ...followers]) {
      const sign = {...work, isError: false, firstByteMs: 10};
      rollouts.recordAttempt({...sign, version: 'v1'});
      rollouts.recordAttempt({...sign, version: 'v2'});
    }
    await run(2_000);
    for (const {rollouts} of watchers) {
      const [sum] = rollouts.evidenceSums();
      chai.expect(sum?.old.requests).equal(4);
      chai.expect(sum?.new.requests).equal(4);
    }
  });

  it('brings a session that must not move to every instance once', async () => {
    // A session was under way at the order. An instance that did not hear of
    // it moved it to the new version in between.
    const {watchers, followers, run} = createFleet();
    const [f1, f2] = followers;
    const sessions = Array.from({length: 200}, (_, i) => `session-${i}`);
    sessions.forEach(session => {
      f1.rollouts.chooseVersion('engines', session);
    });
    const count = f1.rollouts.pinnedCounts()[ORDER];
    await run(2_000);
    chai.expect(count).above(0);
    for (const {rollouts} of [...watchers, f2]) {
      chai.expect(rollouts.pinnedCounts()[ORDER]).equal(count);
    }
  });
});
