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
  /** Moves time on, in milliseconds. */
  readonly wait: (ms: number) => void;
}

/** An instance that knows one upstream, `i-1`. */
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

/** The entry is gone in what is known as of now. */
const removeEntry = ({state, view, now}: Setup): void => {
  view.replaceAll({objects: [], version: 2}, now());
  state.applyView(view);
};

/** Nothing changed as of now. */
const confirm = ({state, view, now}: Setup): void => {
  view.applyChanges({version: 1, events: []}, now());
  state.applyView(view);
};

describe('upstreams whose entry went, and the store', () => {
  it('are left at once although the watcher had been cut off alone', () => {
    // A swap runs at an upstream 10 ms after it had to be left: the instance
    // had been told by a watcher that lost the store, took its word for an
    // outage, and kept the upstream for the grace time after another one had
    // told of its leaving.
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
    // Entries of upstreams that live lapse while the store is away, and all
    // of them would be dropped at its return.
    const setup = createState();
    setup.wait(fleet.MAX_ANSWER_GAP_MS + 100);
    removeEntry(setup);
    chai.expect(setup.catalog.find('i-1')).not.equal(undefined);
    setup.wait(gatewayState.LAPSE_GRACE_MS + 1);
    setup.state.expire();
    chai.expect(setup.catalog.find('i-1')).equal(undefined);
  });
});
