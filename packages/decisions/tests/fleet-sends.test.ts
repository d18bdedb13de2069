import * as chai from 'chai';
import * as decisions from '@amaranthknot/decisions';

const WINDOW_MS = 10_000;
const SERVICE = 'engines';

interface Fleet {
  readonly create: (id: string) => decisions.FleetSends;
  readonly wait: (ms: number) => void;
}

/** Instances with one clock; they hear of each other only as a test says. */
const createFleet = (): Fleet => {
  let nowMs = 100_000;
  return {
    create: id =>
      new decisions.FleetSends({
        self: id,
        windowMs: WINDOW_MS,
        now: () => nowMs,
        isAlone: () => false,
      }),
    wait: ms => {
      nowMs += ms;
    },
  };
};

const send = (
  instance: decisions.FleetSends,
  requests: number,
  repeats: number,
): void => {
  instance.recordOwn(SERVICE, {requests, repeats});
};

/** A follower reports to its watcher, and gets the totals. */
const report = (
  follower: decisions.FleetSends,
  watcher: decisions.FleetSends,
): void => {
  watcher.addFollower(follower.createReport(watcher.knownForMs));
  follower.confirmReport();
  follower.applyTotals(watcher.createTotals(follower.knownForMs));
};

/** Two watchers tell each other what they know. */
const exchange = (
  first: decisions.FleetSends,
  second: decisions.FleetSends,
): void => {
  second.mergeWatcher(first.createWatcherReport(second.knownForMs));
  first.mergeWatcher(second.createWatcherReport(first.knownForMs));
};

const knownBy = (instance: decisions.FleetSends): decisions.SendCounts => {
  const {requests = 0, repeats = 0} = instance.find(SERVICE) ?? {};
  return {requests: Math.round(requests), repeats: Math.round(repeats)};
};

describe('FleetSends', () => {
  it('knows nothing of a fleet before another instance has told', () => {
    const {create} = createFleet();
    const instance = create('a.1');
    send(instance, 5, 3);
    chai.expect(instance.find(SERVICE)).equal(undefined);
  });

  it('sums the sends of followers of two watchers', () => {
    const {create, wait} = createFleet();
    const [a, b, c, d] = [
      create('a.1'),
      create('b.1'),
      create('c.1'),
      create('d.1'),
    ];
    wait(5_000);
    [a, b, c, d].forEach(instance => {
      send(instance, 5, 3);
    });
    for (let round = 0; round < 3; round++) {
      report(c, a);
      report(d, b);
      exchange(a, b);
      wait(250);
    }
    report(c, a);
    [a, b, c].forEach(instance => {
      chai.expect(knownBy(instance)).eql({requests: 20, repeats: 12});
    });
  });

  it('counts own sends at once, and once', () => {
    const {create} = createFleet();
    const [watcher, follower] = [create('a.1'), create('b.1')];
    send(follower, 5, 3);
    report(follower, watcher);
    send(follower, 2, 1);
    chai.expect(knownBy(follower)).eql({requests: 7, repeats: 4});
    report(follower, watcher);
    chai.expect(knownBy(follower)).eql({requests: 7, repeats: 4});
    chai
      .expect(watcher.createTotals().totals)
      .eql([{service: SERVICE, requests: 7, repeats: 4}]);
  });

  it('tells again what no watcher has answered', () => {
    // Guards against repeats that nobody counts, because a watcher was killed.
    const {create} = createFleet();
    const [killed, watcher, follower] = [
      create('a.1'),
      create('b.1'),
      create('c.1'),
    ];
    send(follower, 5, 3);
    killed.addFollower(follower.createReport());
    report(follower, watcher);
    chai.expect(knownBy(follower)).eql({requests: 5, repeats: 3});
  });

  it('keeps what an instance sent that is gone, until the window has passed', () => {
    // Guards against a restart that lets the fleet forget repeats.
    const {create, wait} = createFleet();
    const [watcher, killed] = [create('a.1'), create('b.1')];
    send(killed, 5, 3);
    report(killed, watcher);
    wait(2_000);
    const restarted = create('b.2');
    report(restarted, watcher);
    chai.expect(knownBy(restarted)).eql({requests: 5, repeats: 3});
    wait(9_500);
    report(restarted, watcher);
    chai.expect(knownBy(restarted)).eql({requests: 0, repeats: 0});
  });

  it('tells a watcher that has just started what it has missed', () => {
    // Guards against a fleet that forgets with its watchers.
    const {create, wait} = createFleet();
    const [killed, follower] = [create('a.1'), create('b.1')];
    wait(5_000);
    send(follower, 5, 3);
    report(follower, killed);
    wait(2_000);
    const watcher = create('a.2');
    report(follower, watcher);
    chai.expect(knownBy(follower)).eql({requests: 5, repeats: 3});
    report(follower, watcher);
    chai
      .expect(watcher.createTotals().totals)
      .eql([{service: SERVICE, requests: 5, repeats: 3}]);
  });

  it('counts once what a watcher and its groups tell', () => {
    // Guards against requests that count twice after many restarts.
    const {create, wait} = createFleet();
    const [old, follower] = [create('a.1'), create('b.1')];
    wait(5_000);
    send(old, 4, 4);
    old.createWatcherReport();
    send(follower, 5, 3);
    report(follower, old);
    wait(2_000);
    const watcher = create('c.1');
    wait(300);
    exchange(old, watcher);
    exchange(old, watcher);
    report(follower, watcher);
    chai.expect(knownBy(watcher)).eql({requests: 9, repeats: 7});
    chai.expect(knownBy(follower)).eql({requests: 9, repeats: 7});
  });

  it('counts once what it sent as a follower and as a watcher', () => {
    const {create, wait} = createFleet();
    const [watcher, instance] = [create('a.1'), create('b.1')];
    wait(2_000);
    send(instance, 5, 3);
    report(instance, watcher);
    wait(1_000);
    send(instance, 1, 1);
    exchange(instance, watcher);
    wait(250);
    exchange(instance, watcher);
    chai.expect(knownBy(watcher)).eql({requests: 6, repeats: 4});
    chai.expect(knownBy(instance)).eql({requests: 6, repeats: 4});
  });

  it('counts what a follower sent while it was cut off by when it was sent', () => {
    // Guards against requests that let others repeat long after their window.
    const {create, wait} = createFleet();
    const [watcher, follower] = [create('a.1'), create('b.1')];
    report(follower, watcher);
    for (let second = 0; second < 8; second++) {
      send(follower, 10, 4);
      wait(1_000);
    }
    report(follower, watcher);
    chai.expect(knownBy(follower)).eql({requests: 80, repeats: 32});
    wait(6_000);
    chai.expect(knownBy(follower)).eql({requests: 40, repeats: 16});
    chai
      .expect(watcher.createTotals().totals)
      .eql([{service: SERVICE, requests: 40, repeats: 16}]);
  });

  it('counts what a group sent while it was cut off by when it was sent', () => {
    const {create, wait} = createFleet();
    const [first, second] = [create('a.1'), create('b.1')];
    wait(1_000);
    send(first, 1, 0);
    exchange(first, second);
    for (let seconds = 0; seconds < 8; seconds++) {
      send(first, 10, 4);
      wait(1_000);
      first.createWatcherReport();
    }
    exchange(first, second);
    chai.expect(knownBy(second)).eql({requests: 81, repeats: 32});
    wait(6_000);
    chai.expect(knownBy(second)).eql({requests: 40, repeats: 16});
  });

  it('tells how long ago it last heard of others', () => {
    const {create, wait} = createFleet();
    const [watcher, follower] = [create('a.1'), create('b.1')];
    report(follower, watcher);
    wait(700);
    chai.expect(follower.find(SERVICE)?.ageMs).equal(700);
  });
});
