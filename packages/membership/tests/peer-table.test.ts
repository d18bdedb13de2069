import * as chai from 'chai';
import * as membership from '@amaranthknot/membership';
import type * as protocol from '@amaranthknot/protocol';
import * as fleets from './fleet.js';

const createPeer = (
  id: string,
  change: Partial<protocol.Peer> = {},
): protocol.Peer => ({
  id,
  address: `${id}:80`,
  zone: 'a',
  state: 'live',
  incarnation: 5,
  ...change,
});

const createPeers = (...rows: readonly protocol.Peer[]) => {
  const peers = new membership.PeerTable(createPeer('self'));
  peers.applyNews(rows, 0);
  return peers;
};

const stateOf = (peers: membership.PeerTable, id: string) =>
  peers.all().find(peer => peer.id === id)?.state;

describe('PeerTable', () => {
  const cases: readonly {
    readonly name: string;
    readonly news: Partial<protocol.Peer>;
    readonly state: protocol.PeerState;
  }[] = [
    {name: 'suspicion', news: {state: 'suspect'}, state: 'suspect'},
    {
      name: 'old suspicion',
      news: {state: 'suspect', incarnation: 4},
      state: 'live',
    },
    {name: 'death', news: {state: 'dead'}, state: 'dead'},
    {
      name: 'leaving',
      news: {state: 'leaving', incarnation: 6},
      state: 'leaving',
    },
  ];
  for (const {name, news, state} of cases) {
    it(`merges news of ${name}`, () => {
      const peers = createPeers(createPeer('b'));
      peers.applyNews([createPeer('b', news)], 0);
      chai.expect(stateOf(peers, 'b')).equal(state);
    });
  }

  // Guards against a healthy instance that is no longer offered to callers
  // after one lost message: it must learn of the suspicion and refute it.
  it('refutes news that it is suspect', () => {
    const peers = createPeers();
    peers.applyNews([createPeer('self', {state: 'suspect'})], 0);
    const other = new membership.PeerTable(createPeer('other'));
    other.applyNews([createPeer('self', {state: 'suspect'})], 0);
    other.applyNews([peers.self()], 0);
    chai.expect(stateOf(other, 'self')).equal('live');
  });

  it('sends a suspect the suspicion of it before other news', () => {
    const peers = createPeers(createPeer('b'), createPeer('c'));
    peers.recordFailure('b', 0);
    chai.expect(peers.selectNews('b', 1)[0]?.state).equal('suspect');
  });

  it('declares a suspect dead after a while, and a leaving instance at the first failure', () => {
    const leaver = createPeer('c', {state: 'leaving'});
    const peers = createPeers(createPeer('b'), leaver);
    peers.recordFailure('b', 0);
    peers.recordFailure('c', 0);
    peers.expire(1_000);
    chai
      .expect([stateOf(peers, 'b'), stateOf(peers, 'c')])
      .eql(['suspect', 'dead']);
    peers.expire(10_000);
    chai.expect(stateOf(peers, 'b')).equal('dead');
  });

  // The platform's list lags: it lists a dead instance as live, and lacks one
  // that just started.
  it('prefers signs of life to the list', () => {
    const peers = createPeers(
      createPeer('new'),
      createPeer('dead', {state: 'dead'}),
    );
    const listed = ['dead', 'b'].map(id => ({
      id,
      role: 'entry' as const,
      state: 'live' as const,
      address: `${id}:80`,
      zone: 'a',
      serves: [],
    }));
    peers.applyList(listed, 0);
    chai
      .expect(['new', 'dead', 'b'].map(id => stateOf(peers, id)))
      .eql(['live', 'dead', 'live']);
    peers.applyList([], 0);
    chai
      .expect(['new', 'b'].map(id => stateOf(peers, id)))
      .eql(['live', undefined]);
  });

  it('draws each live peer once a round', () => {
    const ids = ['b', 'c', 'd', 'e'];
    const peers = createPeers(...ids.map(id => createPeer(id)));
    const random = fleets.createRandom(1);
    for (let round = 0; round < 5; round++) {
      const drawn = ids.map(() => peers.draw(random)?.id);
      chai.expect(drawn.sort()).eql(ids);
    }
  });
});

describe('membership of a fleet', () => {
  // Guards against callers that are sent to a killed instance until they time
  // out.
  it('stops offering a killed instance', async () => {
    const fleet = await fleets.createFleet(1);
    const [killed] = fleet.members;
    fleet.kill(killed!);
    const isGone = await fleet.clock.advanceUntil(
      () =>
        fleet.members.every(
          ({id, peers}) =>
            id === killed!.id || stateOf(peers, killed!.id) === 'dead',
        ),
      15_000,
      100,
    );
    chai.expect(isGone).equal(true);
  });

  // In a planned stop, callers must not be sent to an instance that leaves.
  it('stops offering a leaving instance within 3 s', async () => {
    const fleet = await fleets.createFleet(2, 12);
    const [leaver] = fleet.members;
    void leaver!.follower.announceLeaving();
    await fleet.clock.advance(3_000);
    for (const {peers} of fleet.members) {
      const {addresses} = membership.orderAddresses(
        'a',
        [peers.self(), ...peers.all()],
        fleets.createRandom(3),
      );
      chai.expect(addresses).not.include(leaver!.peer.address);
    }
  });

  // After the network lost messages for a while, no healthy instance may count
  // as dead for long.
  it('counts all as live again after an instance was cut off', async () => {
    const fleet = await fleets.createFleet(3);
    const [cut] = fleet.members;
    cut!.isCutFromPeers = true;
    await fleet.clock.advance(60_000);
    cut!.isCutFromPeers = false;
    const areAllLive = await fleet.clock.advanceUntil(
      () =>
        fleet.members.every(({peers}) =>
          peers.all().every(({state}) => state === 'live'),
        ),
      60_000,
      100,
    );
    chai.expect(areAllLive).equal(true);
  });
});

describe('orderAddresses', () => {
  const peers = [
    createPeer('far', {zone: 'b'}),
    createPeer('doubtful', {state: 'suspect'}),
    createPeer('near'),
    createPeer('leaving', {state: 'leaving'}),
    createPeer('dead', {state: 'dead'}),
  ];
  const cases = [
    {zone: 'a', addresses: ['near:80', 'far:80', 'doubtful:80']},
    {zone: 'b', addresses: ['far:80', 'near:80', 'doubtful:80']},
  ];
  for (const {zone, addresses} of cases) {
    it(`orders for a caller in zone ${zone}`, () => {
      const directory = membership.orderAddresses(zone, peers, () => 0);
      chai.expect(directory.addresses).eql(addresses);
      chai.expect(directory.maxAgeMs).equal(membership.DIRECTORY_MAX_AGE_MS);
    });
  }
});
