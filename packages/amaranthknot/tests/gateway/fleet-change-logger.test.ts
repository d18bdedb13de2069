import * as chai from 'chai';
import * as fleet from '@amaranthknot/fleet';
import type * as telemetry from '@amaranthknot/telemetry';
import * as fleetChangeLogger from '../../src/gateway/fleet-change-logger.js';
import * as fixture from './gateway-fixture.js';
import type * as watchRole from '../../src/gateway/watch-role.js';

interface Line {
  readonly event: string;
  readonly details: telemetry.Details;
}

interface Setup {
  readonly members: fleet.MemberTable;
  readonly role: {isWatcher: boolean};
  readonly lines: readonly Line[];
  readonly logChangesAt: (nowMs: number) => void;
  readonly watch: fleetChangeLogger.FleetChangeLogger;
}

const setUp = (): Setup => {
  const lines: Line[] = [];
  const record = (event: string, details: telemetry.Details) => {
    lines.push({event, details});
  };
  const role = {isWatcher: false};
  const members = new fleet.MemberTable(fixture.createMember('self'));
  let nowMs = 0;
  const watch = new fleetChangeLogger.FleetChangeLogger({
    now: () => nowMs,
    members,
    role: {
      isWatcher: () => role.isWatcher,
      findWatchers: () => [members.self],
    } as unknown as watchRole.WatchRole,
    log: {
      info: record,
      warn: record,
    } as unknown as telemetry.DecisionLog,
  });
  return {
    members,
    role,
    lines,
    watch,
    logChangesAt: at => {
      nowMs = at;
      watch.logChanges();
    },
  };
};

const namesOf = (lines: readonly Line[]): readonly string[] =>
  lines.map(({event}) => event);

describe('FleetChangeLogger', () => {
  it('logs the peers found and the peers lost once, in one line per check', () => {
    const {members, lines, logChangesAt: logAt} = setUp();
    logAt(0);
    members.merge([fixture.createMember('a'), fixture.createMember('b')], 100);
    logAt(100);
    logAt(200);
    logAt(100 + fleet.SILENT_MS + 1);
    chai.expect(namesOf(lines)).eql(['peer_heard', 'peer_heard', 'peer_lost']);
    chai.expect(lines[2]?.details).eql({
      peers: ['a', 'b'],
      count: 2,
      serving: 1,
    });
  });

  it('limits the names in one line', () => {
    const {members, lines, logChangesAt: logAt} = setUp();
    const many = Array.from({length: 300}, (_, i) =>
      fixture.createMember(`i-${i}`),
    );
    members.merge(many, 0);
    logAt(0);
    const [line] = lines;
    chai.expect(line?.details['count']).equal(301);
    chai.expect(line?.details['peers']).length(20);
  });

  it('logs when the instance starts and stops watching the store', () => {
    const {role, lines, logChangesAt: logAt} = setUp();
    logAt(0);
    role.isWatcher = true;
    logAt(200);
    logAt(400);
    role.isWatcher = false;
    logAt(600);
    const roles = lines.filter(({event}) => event === 'watch_role_changed');
    chai
      .expect(roles.map(({details}) => details['isWatcher']))
      .eql([true, false]);
  });

  it('logs a message that a peer refused, but not one that did not arrive', () => {
    // Without this line, the log shows which peers were lost, but not that
    // their reports were refused.
    const {lines, watch} = setUp();
    const long = 'x'.repeat(1_000);
    watch.logPeerFailure('p:1', {code: 'unknown', message: 'no answer'});
    watch.logPeerFailure('p:1', {code: 'not_sent', message: 'refused'});
    watch.logPeerFailure('p:1', {code: 'refused', message: long});
    chai.expect(namesOf(lines)).eql(['peer_message_refused']);
    chai.expect(lines[0]?.details['reason']).length(200);
  });
});
