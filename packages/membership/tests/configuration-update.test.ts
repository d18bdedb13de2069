import * as chai from 'chai';
import type * as configuration from '@amaranthknot/configuration';
import * as fakes from '@amaranthknot/fakes';
import * as membership from '@amaranthknot/membership';
import * as protocol from '@amaranthknot/protocol';
import * as purify from 'purify-ts';
import * as fleets from './fleet.js';

const refuse: protocol.PeerTransport = () =>
  Promise.resolve(purify.Left({code: 'not_sent', message: 'none'}));

/**
 * Relays that read heads from a store; they have no peers unless a transport is
 * given.
 */
const createFixture = () => {
  const clock = new fakes.VirtualClock();
  const store = new fakes.MemoryObjectStore({clock});
  const createRelay = (transport: protocol.PeerTransport = refuse) =>
    new membership.ConfigurationRelay({
      environment: fleets.ENVIRONMENT,
      store,
      transport,
      peers: new membership.PeerTable({
        id: 'a',
        address: 'a:80',
        zone: 'a',
        state: 'live',
        incarnation: 1,
      }),
      clock,
      onChange: () => undefined,
    });
  const publish = async (document: configuration.Document) => {
    await membership.publishDocument(store, fleets.ENVIRONMENT, document);
  };
  const adoptLatest = async (relay: membership.ConfigurationRelay) => {
    const read = await membership.readHead(store, fleets.ENVIRONMENT);
    const stored = read.unsafeCoerce();
    await relay.adoptHead(stored!.head);
    return relay.activeConfiguration()!;
  };
  return {clock, createRelay, publish, adoptLatest};
};

const withZone = (state: configuration.ZoneState): configuration.Document => ({
  ...fleets.createDocument('v1'),
  zones: [{name: 'a', state}],
});

const withoutZone = (): configuration.Document => ({
  ...fleets.createDocument('v1'),
  zones: [],
});

describe('configuration changes', () => {
  const paths: readonly {
    readonly name: string;
    readonly documents: readonly configuration.Document[];
  }[] = [
    {name: 'changed', documents: [withZone('in'), withZone('out')]},
    {
      name: 'changed and changed back',
      documents: [withZone('in'), withZone('out'), withZone('in')],
    },
    {name: 'removed', documents: [withZone('in'), withoutZone()]},
    {
      name: 'removed and added again',
      documents: [withZone('in'), withoutZone(), withZone('out')],
    },
    {name: 'added', documents: [withoutZone(), withZone('in')]},
  ];

  // A zone is taken out and in again. An instance with the middle generation
  // gets a change from one that skipped it. It must not miss the last change,
  // nor become unable to follow.
  for (const {name, documents} of paths) {
    it(`lead from each generation to the last when a section is ${name}`, async () => {
      const {createRelay, publish, adoptLatest} = createFixture();
      const skipping = createRelay();
      const stages: membership.ActiveConfiguration[] = [];
      for (const [index, document] of documents.entries()) {
        await publish(document);
        stages.push(await adoptLatest(createRelay()));
        if (index === 0) {
          await adoptLatest(skipping);
        }
      }
      const last = await adoptLatest(skipping);
      for (const stage of stages.slice(0, -1)) {
        const change = membership.createChange(stage.generation, last);
        const updated = membership
          .parseChange(stage, change)
          .chain(step => membership.applyUpdate(stage, step));
        chai.expect(updated.unsafeCoerce().document).eql(last.document);
        chai.expect(change.baseGeneration).equal(stage.generation);
      }
    });
  }

  it('are refused when they are old, altered or from another base', async () => {
    const {createRelay, publish, adoptLatest} = createFixture();
    await publish(withZone('in'));
    const first = await adoptLatest(createRelay());
    await publish(withZone('out'));
    const last = await adoptLatest(createRelay());
    const change = membership.createChange(1, last);
    const altered = {
      ...change,
      sections: change.sections.map(each => ({...each, content: {name: 'b'}})),
    };
    const cases = [
      {current: last, change, code: 'other_base'},
      {
        current: last,
        change: membership.createChange(0, last),
        code: 'not_newer',
      },
      {
        current: last,
        change: membership.createChange(0, first),
        code: 'not_newer',
      },
      {current: first, change: altered, code: 'corrupt'},
    ];
    for (const {current, change: given, code} of cases) {
      const error = membership
        .parseChange(current, given)
        .chain(step => membership.applyUpdate(current, step))
        .swap()
        .unsafeCoerce();
      chai.expect(error.code).equal(code);
    }
  });

  it('contain the whole configuration for a generation before the history', async () => {
    const {createRelay, publish, adoptLatest} = createFixture();
    for (let i = 0; i < 5; i++) {
      await publish(withZone(i % 2 === 0 ? 'in' : 'out'));
    }
    const late = await adoptLatest(createRelay());
    const change = membership.createChange(1, late);
    chai.expect(change.baseGeneration).equal(undefined);
    const updated = membership
      .parseChange(undefined, change)
      .chain(step => membership.applyUpdate(undefined, step));
    chai.expect(updated.unsafeCoerce().document).eql(late.document);
  });
});

describe('ConfigurationRelay', () => {
  // The platform answers a watch with a head that is older than the active one.
  // That must not count as a confirmation of the active one.
  it('is not confirmed by an older head', async () => {
    const {createRelay, publish, adoptLatest} = createFixture();
    await publish(withZone('in'));
    const relay = createRelay();
    const {digest} = await adoptLatest(relay);
    await publish(withZone('out'));
    await adoptLatest(relay);
    const old = {generation: 1, digest, steps: [], publications: []};
    chai.expect(await relay.adoptHead(old)).equal(false);
    chai.expect(relay.generation()).equal(2);
  });

  // Guards against an instance that hears of a newer generation, can't fetch
  // it, and takes over the confirmation of its peer.
  const answers = [
    {name: 'lost', isLost: true, generation: 1, isConfirmed: false},
    {name: 'given', isLost: false, generation: 2, isConfirmed: true},
  ];
  for (const {name, isLost, generation, isConfirmed} of answers) {
    it(`is confirmed by a newer peer only with sections ${name}`, async () => {
      const {clock, createRelay, publish, adoptLatest} = createFixture();
      const ahead = createRelay();
      const exchangeGenerations = (
        params: protocol.Params<'exchange_generations'>,
      ) => {
        const {change, ...answer} = ahead.handleExchange(params);
        return isLost || !change ? answer : {...answer, change};
      };
      const server = protocol.createPeerServer({
        exchange_generations: exchangeGenerations,
      });
      const behind = createRelay(async (_address, text) =>
        purify.Right(await server.handle(text)),
      );
      await publish(withZone('in'));
      await adoptLatest(behind);
      await adoptLatest(ahead);
      await publish(withZone('out'));
      await adoptLatest(ahead);
      ahead.freshness.confirm(clock.now());
      await behind.exchangeWith({
        id: 'b',
        address: 'b:80',
        zone: 'a',
        state: 'live',
        incarnation: 1,
      });
      chai.expect(behind.generation()).equal(generation);
      const age = behind.freshness.confirmedAgeMs(clock.now());
      chai.expect(age !== undefined).equal(isConfirmed);
    });
  }
});
