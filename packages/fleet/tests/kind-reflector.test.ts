import * as chai from 'chai';
import * as fakes from '@amaranthknot/fakes';
import * as fleet from '@amaranthknot/fleet';

const PAUSE_MS = 200;

interface Setup {
  readonly clock: fakes.VirtualClock;
  readonly store: fakes.MemoryObjectStore;
  readonly view: fleet.KindView;
  /** Number of calls to the store until now. */
  readonly callCount: () => number;
  readonly stop: () => Promise<void>;
}

const startReflector = (): Setup => {
  const clock = new fakes.VirtualClock();
  const store = new fakes.MemoryObjectStore({clock});
  const view = new fleet.KindView('k');
  const stopping = new AbortController();
  let calls = 0;
  const reflector = new fleet.KindReflector({
    view,
    store,
    clock,
    backoff: new fleet.StoreBackoff(() => 0.5),
    findWatchTimeoutMs: () => 1_000,
    pauseAfterChangesMs: PAUSE_MS,
    getSyncMode: () => 'watch',
    onUpdate: () => undefined,
    onRelist: () => undefined,
    onCall: () => {
      calls++;
    },
  });
  const running = reflector.run(stopping.signal);
  return {
    clock,
    store,
    view,
    callCount: () => calls,
    stop: async () => {
      stopping.abort();
      await clock.advance(2_000);
      await running;
    },
  };
};

describe('KindReflector', () => {
  it('applies changes while it watches', async () => {
    const {clock, store, view, stop} = startReflector();
    await clock.advance(10);
    await store.create('k', 'a', 1);
    await clock.advance(10);
    chai.expect([...view.objects.keys()]).eql(['a']);
    await stop();
  });

  it('collects a series of changes into few calls', async () => {
    // Forty upstreams are replaced within two seconds. Without the pause, each
    // change would end a watch of every watcher, and the store counts each
    // call.
    const {clock, store, view, callCount, stop} = startReflector();
    await clock.advance(10);
    for (let i = 0; i < 40; i++) {
      await store.create('k', `up-${i}`, i);
      await clock.advance(50);
    }
    await clock.advance(PAUSE_MS + 10);
    chai.expect(view.objects.size).equal(40);
    chai.expect(callCount()).below(15);
    await stop();
  });

  it('confirms the view as of the time of the call', async () => {
    const {clock, view, stop} = startReflector();
    await clock.advance(3_500);
    const age = clock.now() - view.confirmedAtMs;
    chai.expect(age).within(0, 2_000);
    await stop();
  });

  it('lists again when the store has dropped its history', async () => {
    // An upstream left while the history was dropped, so no watch returns its
    // deletion. Without a list, it would get requests for ever.
    const {clock, store, view, stop} = startReflector();
    await store.create('k', 'a', 1);
    await clock.advance(10);
    store.fault = operation => (operation === 'watch' ? 'down' : 'none');
    await clock.advance(1_100);
    const created = view.objects.get('a');
    await store.delete('k', 'a', created?.version ?? 0);
    store.compact();
    store.fault = () => 'none';
    await clock.advance(1_000);
    chai.expect(view.objects.size).equal(0);
    await stop();
  });

  it('backs off while the store is out, and recovers within 500 ms', async () => {
    const {clock, store, view, stop} = startReflector();
    await clock.advance(10);
    store.fault = () => 'down';
    await clock.advance(1_000);
    const before = store.calls.watch + store.calls.list;
    await clock.advance(10_000);
    chai.expect(store.calls.watch + store.calls.list - before).below(60);
    store.fault = () => 'none';
    await store.create('k', 'a', 1);
    await clock.advance(500);
    chai.expect(view.objects.size).equal(1);
    await stop();
  });
});
