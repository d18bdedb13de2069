import * as chai from 'chai';
import * as decisions from '../src/index.js';

const INSTANCES = ['instance-1', 'instance-2', 'instance-3'];

interface Fixture {
  nowMs: number;
  readonly instances: readonly decisions.PartQuarantine[];
  readonly changes: decisions.PartChange[];
  /** Lets all instances exchange their evidence. */
  readonly share: () => void;
  /** An upstream ends at an instance that it had not answered. */
  readonly end: (
    upstream: string,
    parts: readonly string[],
    options?: {
      instance?: number;
      sentAgoMs?: number;
      workspace?: string;
      coincident?: readonly string[];
    },
  ) => void;
}

const createFixture = (count = 1): Fixture => {
  const changes: decisions.PartChange[] = [];
  const fixture: Fixture = {
    nowMs: 100_000,
    changes,
    instances: INSTANCES.slice(0, count).map(
      self =>
        new decisions.PartQuarantine({
          now: () => fixture.nowMs,
          self,
          findInstances: () => INSTANCES.slice(0, count),
          onChange: change => {
            changes.push(change);
          },
          onEvidence: () => undefined,
        }),
    ),
    share: () => {
      // Twice, as an answer that refutes an end is sent in the second round.
      for (let round = 0; round < 2; round++) {
        const reports = fixture.instances.map(instance => instance.report());
        fixture.instances.forEach((instance, index) => {
          reports.forEach((report, from) => {
            if (from !== index) {
              instance.merge(report);
            }
          });
        });
      }
    },
    end: (
      upstream,
      parts,
      {instance = 0, sentAgoMs = 50, workspace = 'w', coincident = []} = {},
    ) => {
      fixture.instances[instance]?.recordEnd(
        upstream,
        fixture.nowMs,
        parts.map(part => ({
          part,
          workspace,
          sentAtMs: fixture.nowMs - sentAgoMs,
        })),
        coincident,
      );
    },
  };
  return fixture;
};

const first = ({instances}: Fixture): decisions.PartQuarantine => {
  const [instance] = instances;
  if (!instance) {
    throw new Error('the fixture has no instance');
  }
  return instance;
};

const heldBy = ({instances}: Fixture): readonly (readonly string[])[] =>
  instances.map(({heldParts}) => heldParts);

/** Ends two upstreams, one after the other, under a part. */
const holdPart = (fixture: Fixture, part: string): void => {
  fixture.end('u-1', [part]);
  fixture.nowMs += 100;
  fixture.end('u-2', [part]);
};

describe('PartQuarantine', () => {
  it('holds a part after the second end without an answer in between', () => {
    const fixture = createFixture();
    fixture.end('u-1', ['bad']);
    chai.expect(heldBy(fixture)).eql([[]]);
    fixture.nowMs += 100;
    fixture.end('u-2', ['bad']);
    chai.expect(heldBy(fixture)).eql([['bad']]);
    chai
      .expect(fixture.changes.map(({after}) => after))
      .eql(['suspected', 'held']);
  });

  it('suspects no part under which an answer began shortly before', () => {
    const fixture = createFixture();
    for (let i = 0; i < 5; i++) {
      first(fixture).recordAnswer(['shared']);
      fixture.nowMs += 500;
      fixture.end(`u-${i}`, ['shared']);
    }
    chai.expect(fixture.changes).eql([]);
  });

  it('holds a part that was sound, once no answer begins any more', () => {
    const fixture = createFixture();
    first(fixture).recordAnswer(['turned']);
    for (let i = 0; i < 12; i++) {
      fixture.nowMs += 250;
      fixture.end(`u-${i}`, ['turned']);
    }
    chai.expect(heldBy(fixture)).eql([['turned']]);
  });

  it('counts upstreams that end together as one occasion', () => {
    // Guards against a part held for a rack or a zone that was lost.
    const fixture = createFixture();
    for (let i = 0; i < 8; i++) {
      fixture.end(`u-${i}`, ['rare'], {sentAgoMs: 2_000});
      fixture.nowMs += 5;
    }
    chai.expect(heldBy(fixture)).eql([[]]);
  });

  it('blames no part for one of several upstreams that end together', () => {
    // Guards against a sound part that is held after two waves of ends.
    const fixture = createFixture();
    fixture.end('u-1', ['rare'], {coincident: ['u-2', 'u-3']});
    fixture.nowMs += 3_000;
    fixture.end('u-4', ['rare'], {coincident: ['u-5']});
    chai.expect(heldBy(fixture)).eql([[]]);
  });

  it('holds a part under which several upstreams end together', () => {
    const fixture = createFixture();
    fixture.end('u-1', ['bad', 'near'], {coincident: ['u-2']});
    fixture.end('u-2', ['bad'], {coincident: ['u-1']});
    fixture.nowMs += 200;
    fixture.end('u-3', ['bad']);
    chai.expect(heldBy(fixture)).eql([['bad']]);
  });

  it('learns from another instance that upstreams ended together', () => {
    const fixture = createFixture(3);
    fixture.end('u-1', ['rare']);
    fixture.end('u-1', ['rare'], {instance: 1, coincident: ['u-2']});
    fixture.share();
    fixture.nowMs += 3_000;
    fixture.end('u-3', ['rare']);
    fixture.share();
    chai.expect(heldBy(fixture)).eql([[], [], []]);
  });

  it('holds no neighbour for the ends that a held part explains', () => {
    const fixture = createFixture();
    ['a', 'b', 'c'].forEach((neighbour, index) => {
      fixture.nowMs += 100;
      fixture.end(`u-${index}`, ['bad', neighbour, 'often']);
    });
    fixture.nowMs += 100;
    fixture.end('u-9', ['bad']);
    chai.expect(heldBy(fixture)).eql([['bad']]);
  });

  it('sums the ends that different instances see', () => {
    const fixture = createFixture(3);
    fixture.end('u-1', ['bad'], {instance: 0});
    fixture.share();
    fixture.nowMs += 100;
    fixture.end('u-2', ['bad'], {instance: 1});
    fixture.share();
    chai.expect(heldBy(fixture)).eql([['bad'], ['bad'], ['bad']]);
  });

  it('counts an end once that several instances see', () => {
    const fixture = createFixture(3);
    fixture.end('u-1', ['bystander'], {instance: 0});
    fixture.nowMs += 20;
    fixture.end('u-1', ['bystander'], {instance: 1});
    fixture.share();
    chai.expect(heldBy(fixture)).eql([[], [], []]);
  });

  it('clears a part by an answer that began at another instance', () => {
    // Guards against an instance with little traffic that blames what all share.
    const fixture = createFixture(3);
    fixture.instances[1]?.recordAnswer(['shared']);
    fixture.nowMs += 300;
    fixture.end('u-1', ['shared'], {instance: 0});
    fixture.nowMs += 100;
    fixture.end('u-2', ['shared'], {instance: 0});
    chai.expect(heldBy(fixture)).eql([['shared'], [], []]);
    fixture.share();
    chai.expect(heldBy(fixture)).eql([[], [], []]);
  });

  it('lets one request at one instance try a held part', () => {
    const fixture = createFixture(3);
    holdPart(fixture, 'bad');
    fixture.share();
    fixture.nowMs += 600;
    const mayTry = () =>
      fixture.instances.filter(
        (instance, index) => instance.judge(['bad'], `r-${index}`) === 'trial',
      );
    const [trying] = mayTry();
    chai.expect(mayTry()).length(1);
    trying?.beginTrial(['bad'], 'r');
    fixture.share();
    fixture.nowMs += 5_000;
    chai.expect(mayTry()).eql([]);
  });

  it('releases the part everywhere when the trial is answered', () => {
    const fixture = createFixture(3);
    holdPart(fixture, 'sound');
    fixture.share();
    fixture.nowMs += 1_000;
    fixture.instances[2]?.recordAnswer(['sound']);
    fixture.share();
    chai.expect(heldBy(fixture)).eql([[], [], []]);
    chai.expect(first(fixture).judge(['sound'], 'r')).equal('free');
  });

  it('lets at most three trials through in the first hour', () => {
    // Guards against a hold that lets the part back too often.
    const fixture = createFixture();
    holdPart(fixture, 'bad');
    let trials = 0;
    for (let atMs = 0; atMs < 3_600_000; atMs += 100) {
      fixture.nowMs += 100;
      const request = `r-${atMs}`;
      if (first(fixture).judge(['bad'], request) === 'trial') {
        trials++;
        first(fixture).beginTrial(['bad'], request);
        fixture.nowMs += 100;
        first(fixture).endTrial(request);
        fixture.end(`t-${trials}`, ['bad']);
      }
      first(fixture).expire();
    }
    chai.expect(trials).most(3);
  });

  it('tries again soon after a trial without an outcome', () => {
    const fixture = createFixture();
    holdPart(fixture, 'sound');
    fixture.nowMs += 600;
    first(fixture).beginTrial(['sound'], 'r-1');
    first(fixture).endTrial('r-1');
    chai.expect(first(fixture).judge(['sound'], 'r-2')).equal('held');
    fixture.nowMs += 600;
    first(fixture).expire();
    chai.expect(first(fixture).judge(['sound'], 'r-2')).equal('trial');
  });

  it('learns no later times from reports that circulate', () => {
    // Guards against a hold without trials: ages leave out their transmission.
    const fixture = createFixture(3);
    holdPart(fixture, 'bad');
    for (let round = 0; round < 40; round++) {
      const reports = first(fixture).report();
      fixture.nowMs += 30;
      fixture.instances[1]?.merge(reports);
      const answers = fixture.instances[1]?.report() ?? [];
      fixture.nowMs += 30;
      first(fixture).merge(answers);
    }
    const verdicts = fixture.instances.map(instance =>
      instance.judge(['bad'], 'r'),
    );
    chai.expect(verdicts).include('trial');
  });

  it('sends a request on trial once', () => {
    const fixture = createFixture();
    holdPart(fixture, 'bad');
    fixture.nowMs += 600;
    chai.expect(first(fixture).judge(['bad'], 'r')).equal('trial');
    first(fixture).beginTrial(['bad'], 'r');
    chai.expect(first(fixture).judge(['bad'], 'r')).equal('held');
  });

  it('tells an instance that starts what is held, and since when', () => {
    // Guards against a trial more at each restart.
    const fixture = createFixture(3);
    holdPart(fixture, 'bad');
    fixture.nowMs += 700;
    fixture.end('u-3', ['bad'], {sentAgoMs: 100});
    fixture.nowMs += 5_000;
    const started = createFixture();
    started.nowMs = fixture.nowMs;
    first(started).merge(first(fixture).report('held'));
    chai.expect(heldBy(started)).eql([['bad']]);
    chai.expect(first(started).judge(['bad'], 'r')).equal('held');
    started.nowMs += 10_000;
    chai.expect(first(started).judge(['bad'], 'r')).equal('trial');
  });

  it('reports what is held again, for instances that were cut off', () => {
    // Guards against an instance that lets the part through after a partition.
    const fixture = createFixture(3);
    holdPart(fixture, 'bad');
    fixture.nowMs += 20_000;
    for (let waitedMs = 0; waitedMs < 5_000; waitedMs += 400) {
      fixture.nowMs += 400;
      fixture.share();
    }
    chai.expect(heldBy(fixture)).eql([['bad'], ['bad'], ['bad']]);
  });

  it('reports nothing while no upstream ends', () => {
    const fixture = createFixture();
    first(fixture).recordAnswer(['a', 'b']);
    chai.expect(first(fixture).report()).eql([]);
    fixture.end('u-1', ['c']);
    chai.expect(first(fixture).report()).length(1);
    fixture.nowMs += 10_000;
    chai.expect(first(fixture).report()).eql([]);
  });

  it('keeps what one workspace holds while another one fills the table', () => {
    // Guards against a workspace that displaces others' evidence by made-up ids.
    const fixture = createFixture();
    holdPart(fixture, 'bad');
    for (let i = 0; i < 3_000; i++) {
      fixture.end(`x-${i}`, [`made-up-${i}`], {workspace: 'noisy'});
    }
    chai.expect(heldBy(fixture)).eql([['bad']]);
  });

  it('releases a part that an operator lifts', () => {
    const fixture = createFixture(3);
    holdPart(fixture, 'bad');
    fixture.share();
    chai.expect(first(fixture).lift('bad')).equal(true);
    chai.expect(first(fixture).lift('other')).equal(false);
    fixture.share();
    chai.expect(heldBy(fixture)).eql([[], [], []]);
  });
});
