import * as chai from 'chai';
import * as fakes from '@amaranthknot/fakes';
import * as fleet from '@amaranthknot/fleet';
import * as protocol from '@amaranthknot/protocol';
import * as purify from 'purify-ts';

const FRESH_MS = 1_000;

interface Source {
  readonly view: fleet.KindView;
  readonly relay: fleet.ViewRelay;
  readonly member: protocol.Member;
}

interface Setup {
  readonly clock: fakes.VirtualClock;
  readonly sources: readonly Source[];
  readonly follower: fleet.KindView;
  /** Addresses of sources that do not answer. */
  readonly silent: Set<string>;
  readonly asked: string[];
}

const objectOf = (name: string, version: number) => ({
  kind: 'k',
  name,
  version,
  value: {of: name},
});

const createSource = (clock: fakes.VirtualClock, id: string): Source => {
  const view = new fleet.KindView('k');
  const relay = new fleet.ViewRelay({
    clock,
    transport: () =>
      Promise.resolve(purify.Left({code: 'not_sent', message: 'no way'})),
    views: [view],
    onUpdate: () => undefined,
    staleAfterMs: () => FRESH_MS,
  });
  const address = `${id}:1`;
  const member: protocol.Member = {
    id,
    zone: 'a',
    callers: address,
    peers: address,
    start: 1,
    revision: 1,
    phase: 'serving',
    store: 'reached',
    cores: 1,
  };
  return {view, relay, member};
};

const createFollowerReport = (
  from: protocol.Member,
): protocol.FollowerReport => ({
  from,
  isWatcher: false,
  upstreams: [],
  limits: [],
  evidence: [],
  rollouts: [],
  membersVersion: 'none',
  pinnedKnown: {},
});

/** An instance that subscribes to the first usable one of two sources. */
const subscribe = (): Setup => {
  const clock = new fakes.VirtualClock();
  const sources = [createSource(clock, 's1'), createSource(clock, 's2')];
  const silent = new Set<string>();
  const asked: string[] = [];
  const transport: protocol.PeerTransport = async (address, text) => {
    asked.push(address);
    const source = sources.find(({member}) => member.peers === address);
    if (!source || silent.has(address)) {
      return purify.Left({code: 'unknown', message: 'no answer'});
    }
    const server = protocol.createPeerServer({
      await_views: call => source.relay.awaitViews(call),
    });
    return purify.Right(await server.handle(text));
  };
  const follower = new fleet.KindView('k');
  const subscription = new fleet.ViewSubscription({
    clock,
    transport,
    views: [follower],
    findSources: () => sources.map(({member}) => member),
    staleAfterMs: () => FRESH_MS,
    onUpdate: () => undefined,
    isWatcher: () => false,
    createReport: createFollowerReport,
    onSummary: () => undefined,
    onAbsences: () => undefined,
    onSuspectParts: () => undefined,
    onSourceChange: () => undefined,
    onLongHold: () => undefined,
    onFailure: () => undefined,
  });
  void subscription.run(new AbortController().signal);
  return {clock, sources, follower, silent, asked};
};

const namesOf = (view: fleet.KindView): readonly string[] =>
  [...view.objects.keys()].sort();

describe('ViewSubscription', () => {
  it('applies a change at once, and only the changed objects', async () => {
    const {clock, sources, follower} = subscribe();
    const source = sources[0]!;
    const objects = [objectOf('a', 1), objectOf('b', 2)];
    source.view.replaceAll({objects, version: 2}, 0);
    source.relay.wakeWaiters();
    await clock.advance(5);
    chai.expect(namesOf(follower)).eql(['a', 'b']);
    const kept = follower.objects.get('b');
    source.view.applyChanges(
      {
        version: 4,
        events: [
          {type: 'put', object: objectOf('c', 3)},
          {type: 'delete', object: objectOf('a', 4)},
        ],
      },
      clock.now(),
    );
    source.relay.wakeWaiters();
    await clock.advance(5);
    chai.expect(namesOf(follower)).eql(['b', 'c']);
    chai.expect(follower.objects.get('b')).equal(kept);
    chai.expect(follower.version).equal(4);
  });

  it('takes over the age of the view of the watcher', async () => {
    // A key was withdrawn while the watcher had lost the store. A follower must
    // not take the watcher's answers for those of the store.
    const {clock, sources, follower} = subscribe();
    sources.forEach(({view, relay}) => {
      view.replaceAll({objects: [objectOf('a', 1)], version: 1}, 0);
      relay.wakeWaiters();
    });
    await clock.advance(4_000);
    chai.expect(follower.confirmedAtMs).equal(0);
  });

  it('moves to another watcher when the first has lost the store', async () => {
    // An upstream left, but the watcher of one zone has lost the store and
    // still answers its followers. They must not go on sending to that
    // upstream.
    const {clock, sources, follower} = subscribe();
    const [lost, well] = sources as [Source, Source];
    lost.view.replaceAll({objects: [objectOf('a', 1)], version: 1}, 0);
    lost.relay.wakeWaiters();
    await clock.advance(FRESH_MS + 500);
    well.view.replaceAll({objects: [], version: 2}, clock.now());
    well.relay.wakeWaiters();
    await clock.advance(100);
    chai.expect(namesOf(follower)).eql([]);
  });

  it('moves to another watcher when the first does not answer', async () => {
    const {clock, sources, follower, silent} = subscribe();
    silent.add('s1:1');
    sources[1]?.view.replaceAll({objects: [objectOf('a', 1)], version: 1}, 0);
    await clock.advance(1_000);
    chai.expect(namesOf(follower)).eql(['a']);
  });

  it('asks for the whole view when a delta does not lead to its digest', async () => {
    // The follower has the higher version of `a`, but not the watcher's: its
    // object differs from the one that the watcher's delta starts from.
    const {clock, sources, follower} = subscribe();
    const source = sources[0]!;
    follower.replaceAll({objects: [objectOf('a', 2)], version: 2}, 0);
    const objects = [objectOf('a', 1), objectOf('b', 3)];
    source.view.replaceAll({objects, version: 3}, 10);
    source.relay.wakeWaiters();
    await clock.advance(1_000);
    chai.expect(follower.digest).equal(source.view.digest);
  });
});
