import * as chai from 'chai';
import * as fakes from '@amaranthknot/fakes';
import * as fleet from '@amaranthknot/fleet';

const KINDS: readonly string[] = ['a', 'b', 'c', 'd'];

/** Longest time after an outage in which all views are up to date, in ms. */
const MAX_RECOVERY_MS = 700;

interface Setup {
  readonly clock: fakes.VirtualClock;
  readonly store: fakes.MemoryObjectStore;
  readonly views: readonly fleet.KindView[];
  /** Number of failed calls until now. */
  readonly countFailures: () => number;
  readonly stop: () => Promise<void>;
}

/** The reflectors of one instance, which watches or lists all kinds. */
const startInstance = (
  mode: fleet.SyncMode,
  fault: fakes.StoreFault,
): Setup => {
  const clock = new fakes.VirtualClock();
  const store = new fakes.MemoryObjectStore({clock, fault: () => fault});
  const views = KINDS.map(kind => new fleet.KindView(kind));
  const backoff = new fleet.StoreBackoff(() => 0.5);
  const stopping = new AbortController();
  let failures = 0;
  const running = views.map(view =>
    new fleet.KindReflector({
      view,
      store,
      clock,
      backoff,
      findWatchTimeoutMs: () => 1_000,
      pauseAfterChangesMs: 200,
      // An instance that lists does so until its view is known.
      getSyncMode: () =>
        mode === 'ask' && view.version !== undefined ? 'none' : mode,
      onUpdate: () => undefined,
      onRelist: () => undefined,
      onCall: (_kind, error) => {
        failures += error ? 1 : 0;
      },
    }).run(stopping.signal),
  );
  return {
    clock,
    store,
    views,
    countFailures: () => failures,
    stop: async () => {
      stopping.abort();
      await clock.advance(3_000);
      await Promise.all(running);
    },
  };
};

describe('KindReflector in an outage of the store', () => {
  it('calls for all kinds together no more often than for one', async () => {
    // Guards against hundreds of instances that start while the store is down,
    // and call it for each kind on its own; it counts refused calls too.
    const {clock, store, views, countFailures, stop} = startInstance(
      'ask',
      'down',
    );
    await clock.advance(8_000);
    chai.expect(countFailures()).below(13);
    store.fault = () => 'none';
    await clock.advance(2_000 + MAX_RECOVERY_MS);
    chai.expect(views.map(({version}) => version)).not.include(undefined);
    await stop();
  });

  it('knows a change soon after the outage, in every kind', async () => {
    // Guards against a watcher that asks seldom, or whose first call after the
    // outage is held and keeps its other kinds waiting.
    const {clock, store, views, countFailures, stop} = startInstance(
      'watch',
      'none',
    );
    await clock.advance(100);
    store.fault = () => 'down';
    await clock.advance(6_000);
    chai.expect(countFailures()).below(30);
    store.fault = () => 'none';
    for (const kind of KINDS) {
      await store.create(kind, 'x', 1);
    }
    await clock.advance(MAX_RECOVERY_MS);
    chai.expect(views.map(({objects}) => objects.size)).eql([1, 1, 1, 1]);
    await stop();
  });
});
