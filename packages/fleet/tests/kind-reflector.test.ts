import * as chai from 'chai';
import * as fakes from '@amaranthknot/fakes';
import * as fleet from '@amaranthknot/fleet';

const PAUSE_MS = 200;

interface Setup {
  readonly clock: fakes.VirtualClock;
  readonly store: fakes.MemoryObjectStore;
  readonly view: fleet.KindView;
  /** Calls to the store until now. */
  readonly callCount: () => number;
  readonly stop: () => Promise<void>;
}

const follow = (): Setup => {
  const clock = new fakes.VirtualClock();
  const store = new fakes.MemoryObjectStore({clock});
  const view = new fleet.KindView('k');
  const ending = new AbortController();
  let calls = 0;
  const follower = new fleet.KindReflector({
    view,
    store,
    clock,
    random: () => 0.5,
    findWatchTimeoutMs: () => 1_000,
    pauseAfterChangesMs: PAUSE_MS,
    getSyncMode: () => 'watch',
    onUpdate: () => undefined,
    onRelist: () => undefined,
    onCall: () => {
      calls++;
    },
  });
  const running = follower.run(ending.signal);
  return {
    clock,
    store,
    view,
    callCount: () => calls,
    stop: async () => {
      ending.abort();
      await clock.advance(2_000);
      await running;
    },
  };
};

describe('follower of a kind', () => {
  it('brings changes while it watches', async () => {
    const {clock, store, view, stop} = follow();
    await clock.advance(10);
    await store.create('k', 'a', 1);
    await clock.advance(10);
    chai.expect([...view.objects.keys()]).eql(['a']);
    await stop();
  });

  it('takes changes in series together', async () => {
    // Forty upstreams are replaced within two seconds. Each entry ended a
    // watch of every watcher, and the store counts each call.
    const {clock, store, view, callCount, stop} = follow();
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

  it('confirms the view as of when it asked', async () => {
    const {clock, view, stop} = follow();
    await clock.advance(3_500);
    const age = clock.now() - view.confirmedAtMs;
    chai.expect(age).within(0, 2_000);
    await stop();
  });

  it('lists again when the store has forgotten its history', async () => {
    // An upstream that left while the history was dropped gets requests for
    // ever: no watch tells of it any more.
    const {clock, store, view, stop} = follow();
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

  it('asks seldom while the store is away, and at once again after', async () => {
    const {clock, store, view, stop} = follow();
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
