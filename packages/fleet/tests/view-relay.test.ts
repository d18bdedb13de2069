import * as chai from 'chai';
import * as fakes from '@amaranthknot/fakes';
import * as fleet from '@amaranthknot/fleet';
import * as protocol from '@amaranthknot/protocol';
import * as purify from 'purify-ts';

interface Instance {
  readonly view: fleet.KindView;
  readonly relay: fleet.ViewRelay;
}

const createInstance = (
  clock: fakes.VirtualClock,
  transport: protocol.PeerTransport,
): Instance => {
  const view = new fleet.KindView('k');
  const relay = new fleet.ViewRelay({
    clock,
    transport,
    views: [view],
    onUpdate: () => undefined,
    staleAfterMs: () => 0,
  });
  return {view, relay};
};

/** Two instances: `cut` has no store and can only call `other`. */
const createPair = (
  clock: fakes.VirtualClock,
): {readonly cut: Instance; readonly other: Instance} => {
  const none: protocol.PeerTransport = () =>
    Promise.resolve(purify.Left({code: 'not_sent', message: 'no way'}));
  const other = createInstance(clock, none);
  const server = protocol.createPeerServer({
    fetch_view: ({kind}) => other.relay.handleFetch(kind),
  });
  const cut = createInstance(clock, async (_address, text) =>
    purify.Right(await server.handle(text)),
  );
  return {cut, other};
};

const objectOf = (name: string, version: number) => ({
  kind: 'k',
  name,
  version,
  value: {},
});

describe('ViewRelay', () => {
  it('passes a view to an instance that is cut off from the store', async () => {
    const clock = new fakes.VirtualClock();
    const {cut, other} = createPair(clock);
    other.view.replaceAll({objects: [objectOf('a', 3)], version: 4}, 0);
    await clock.advance(100);
    cut.relay.mergeStates('other', other.relay.states(), clock.now());
    await clock.advance(10);
    chai.expect([...cut.view.objects.keys()]).eql(['a']);
    chai.expect(cut.view.confirmedAtMs).equal(0);
  });

  it('counts the age of a view from when the peer confirmed it', async () => {
    // A key was withdrawn. An instance that is cut off must stop using it in
    // time, although its peers, cut off as well, still answer its calls.
    const clock = new fakes.VirtualClock();
    const {cut, other} = createPair(clock);
    other.view.replaceAll({objects: [objectOf('a', 3)], version: 4}, 0);
    for (let i = 0; i < 10; i++) {
      await clock.advance(1_000);
      cut.relay.mergeStates('other', other.relay.states(), clock.now());
      await clock.advance(10);
    }
    chai.expect(cut.view.confirmedAtMs).equal(0);
  });

  it('does not revert to an older view of a peer', async () => {
    const clock = new fakes.VirtualClock();
    const {cut, other} = createPair(clock);
    cut.view.replaceAll({objects: [objectOf('b', 8)], version: 9}, 0);
    other.view.replaceAll({objects: [objectOf('a', 3)], version: 4}, 50);
    await clock.advance(100);
    cut.relay.mergeStates('other', other.relay.states(), clock.now());
    await clock.advance(10);
    chai.expect([...cut.view.objects.keys()]).eql(['b']);
  });
});
