import * as chai from 'chai';
import * as gateway from '@amaranthknot/gateway';
import * as ports from '@amaranthknot/ports';
import * as telemetry from '@amaranthknot/telemetry';
import * as fleet from '@amaranthknot/fleet';
import * as platform from '@amaranthknot/platform';
import * as gatewayState from '../../src/gateway/gateway-state.js';
import * as fixture from './gateway-fixture.js';

interface Setup {
  readonly state: gatewayState.GatewayState;
  readonly catalog: gateway.UpstreamCatalog;
  readonly view: fleet.KindView;
  readonly now: () => number;
  /** Advances the time, in milliseconds. */
  readonly wait: (ms: number) => void;
}

/** State of an instance that knows one upstream, `i-1`. */
const createState = (): Setup => {
  let nowMs = 100_000;
  const now = () => nowMs;
  const views = fixture.createViews();
  const log = new telemetry.DecisionLog({instance: 'a', level: 'error', now});
  const catalog = new gateway.UpstreamCatalog({
    onChanges: () => undefined,
    decode: platform.decodeUpstream,
    lapseGraceMs: gatewayState.LAPSE_GRACE_MS,
  });
  const state = new gatewayState.GatewayState({
    now,
    views,
    catalog,
    rollouts: new gateway.RolloutTracker({
      clock: ports.systemClock,
      incarnation: 'a.1',
      sessionMs: 5_000,
      limit: {share: 0.15, slack: 30},
      report: () => Promise.resolve(false),
      reportRank: () => 0,
      onBad: () => undefined,
      log,
    }),
    log,
    onTable: () => undefined,
  });
  const view = views.upstreams;
  const entry = {
    kind: view.kind,
    name: 'i-1',
    version: 1,
    value: fixture.createEntry('127.0.0.1:1'),
  };
  view.replaceAll({objects: [entry], version: 1}, nowMs);
  state.applyView(view);
  return {
    state,
    catalog,
    view,
    now,
    wait: ms => {
      nowMs += ms;
    },
  };
};

const FAILURE: ports.StoreError = {code: 'unknown', message: 'reset'};

/** Applies a listing, as of now, without the entry. */
const removeEntry = ({state, view, now}: Setup): void => {
  view.replaceAll({objects: [], version: 2}, now());
  state.applyView(view);
};

/** Applies an answer, as of now, that nothing changed. */
const confirm = ({state, view, now}: Setup): void => {
  view.applyChanges({version: 1, events: []}, now());
  state.applyView(view);
};

describe('GatewayState: upstreams whose store entry is gone', () => {
  it('are dropped at once if only the watcher had lost the store', () => {
    // Guards against a request that runs on an upstream 10 ms after it had to
    // be drained: the watcher of the instance loses the store, the instance
    // takes that for an outage of the store, and keeps the upstream for the
    // grace time although another watcher has reported that it is leaving.
    const setup = createState();
    setup.state.recordStoreCall(FAILURE);
    setup.wait(1_300);
    confirm(setup);
    setup.wait(1_300);
    setup.state.recordStoreCall(FAILURE);
    removeEntry(setup);
    chai.expect(setup.catalog.find('i-1')).equal(undefined);
  });

  it('are kept for a while after an outage', () => {
    // Entries of live upstreams expire while the store is down; all of them
    // would be dropped when it is back.
    const setup = createState();
    setup.wait(fleet.MAX_ANSWER_GAP_MS + 100);
    removeEntry(setup);
    chai.expect(setup.catalog.find('i-1')).not.equal(undefined);
    setup.wait(gatewayState.LAPSE_GRACE_MS + 1);
    setup.state.expire();
    chai.expect(setup.catalog.find('i-1')).equal(undefined);
  });
});
