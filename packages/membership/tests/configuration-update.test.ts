import * as chai from 'chai';
import type * as configuration from '@amaranthknot/configuration';
import * as fakes from '@amaranthknot/fakes';
import * as membership from '@amaranthknot/membership';
import * as protocol from '@amaranthknot/protocol';
import * as purify from 'purify-ts';
import * as fleets from './fleet.js';

const refuse: protocol.PeerTransport = () =>
  Promise.resolve(purify.Left({code: 'not_sent', message: 'none'}));

/** Relays, without peers unless given, fed with heads straight from a store. */
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
  const follow = async (relay: membership.ConfigurationRelay) => {
    const read = await membership.readHead(store, fleets.ENVIRONMENT);
    const stored = read.unsafeCoerce();
    await relay.adoptHead(stored!.head);
    return relay.activeConfiguration()!;
  };
  return {clock, createRelay, publish, follow};
};

const zoned = (state: configuration.ZoneState): configuration.Document => ({
  ...fleets.createDocument('v1'),
  zones: [{name: 'a', state}],
});

const without = (): configuration.Document => ({
  ...fleets.createDocument('v1'),
  zones: [],
});

describe('configuration steps', () => {
  const paths: readonly {
    readonly name: string;
    readonly documents: readonly configuration.Document[];
  }[] = [
    {name: 'changed', documents: [zoned('in'), zoned('out')]},
    {
      name: 'changed and changed back',
      documents: [zoned('in'), zoned('out'), zoned('in')],
    },
    {name: 'removed', documents: [zoned('in'), without()]},
    {
      name: 'removed and added again',
      documents: [zoned('in'), without(), zoned('out')],
    },
    {name: 'added', documents: [without(), zoned('in')]},
  ];

  // A zone is taken out and in again. An instance that has the middle
  // generation gets a step from one that skipped it, and goes on without the
  // last change, or can not follow any more.
  for (const {name, documents} of paths) {
    it(`lead from each generation to the last when a part is ${name}`, async () => {
      const {createRelay, publish, follow} = createFixture();
      const skipping = createRelay();
      const stages: membership.ActiveConfiguration[] = [];
      for (const [index, document] of documents.entries()) {
        await publish(document);
        stages.push(await follow(createRelay()));
        if (index === 0) {
          await follow(skipping);
        }
      }
      const last = await follow(skipping);
      for (const stage of stages.slice(0, -1)) {
        const change = membership.createChange(stage.generation, last);
        const taken = membership
          .parseChange(stage, change)
          .chain(step => membership.applyUpdate(stage, step));
        chai.expect(taken.unsafeCoerce().document).eql(last.document);
        chai.expect(change.baseGeneration).equal(stage.generation);
      }
    });
  }

  it('are refused when they are old, altered or of another base', async () => {
    const {createRelay, publish, follow} = createFixture();
    await publish(zoned('in'));
    const first = await follow(createRelay());
    await publish(zoned('out'));
    const last = await follow(createRelay());
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

  it('give the whole to one behind the history', async () => {
    const {createRelay, publish, follow} = createFixture();
    for (let i = 0; i < 5; i++) {
      await publish(zoned(i % 2 === 0 ? 'in' : 'out'));
    }
    const late = await follow(createRelay());
    const change = membership.createChange(1, late);
    chai.expect(change.baseGeneration).equal(undefined);
    const taken = membership
      .parseChange(undefined, change)
      .chain(step => membership.applyUpdate(undefined, step));
    chai.expect(taken.unsafeCoerce().document).eql(late.document);
  });
});

describe('ConfigurationRelay', () => {
  // The platform answers a watch with an older head than is in force. It must
  // not count as a word of the platform on what is in force now.
  it('does not take an older head for a confirmation', async () => {
    const {createRelay, publish, follow} = createFixture();
    await publish(zoned('in'));
    const relay = createRelay();
    const {digest} = await follow(relay);
    await publish(zoned('out'));
    await follow(relay);
    const old = {generation: 1, digest, steps: [], publications: []};
    chai.expect(await relay.adoptHead(old)).equal(false);
    chai.expect(relay.generation()).equal(2);
  });

  // A zone is taken out. One instance hears that there is something newer,
  // can not fetch it, and goes on as confirmed, as its peer is.
  const answers = [
    {name: 'lost', isLost: true, generation: 1, isConfirmed: false},
    {name: 'given', isLost: false, generation: 2, isConfirmed: true},
  ];
  for (const {name, isLost, generation, isConfirmed} of answers) {
    it(`is confirmed by a newer peer only with sections ${name}`, async () => {
      const {clock, createRelay, publish, follow} = createFixture();
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
      await publish(zoned('in'));
      await follow(behind);
      await follow(ahead);
      await publish(zoned('out'));
      await follow(ahead);
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
