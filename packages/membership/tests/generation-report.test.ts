import * as chai from 'chai';
import * as membership from '@amaranthknot/membership';
import * as protocol from '@amaranthknot/protocol';
import * as purify from 'purify-ts';
import * as fleets from './fleet.js';

/** The transport of an operator, who reaches all instances that are up. */
const connect =
  (fleet: fleets.Fleet): protocol.PeerTransport =>
  async (address, text) => {
    const member = fleet.members.find(each => each.peer.address === address);
    return member && !member.isDown
      ? purify.Right(
          await protocol
            .createPeerServer(member.follower.handlers())
            .handle(text),
        )
      : purify.Left({code: 'not_sent', message: 'refused'});
  };

const waitFor = async (fleet: fleets.Fleet, generation: number) => {
  let outcome: membership.WaitOutcome | undefined;
  const instances = fleet.members.map(({peer}) => peer);
  void membership
    .waitUntilActive(instances, {
      transport: connect(fleet),
      clock: fleet.clock,
      environment: fleets.ENVIRONMENT,
      generation,
      timeoutMs: 5_000,
    })
    .then(done => {
      outcome = done;
    });
  await fleet.clock.advanceUntil(() => outcome !== undefined, 10_000);
  return outcome!;
};

describe('waitUntilActive', () => {
  it('ends when a change is active on all instances', async () => {
    const fleet = await fleets.createFleet(1);
    await fleet.publish('v2');
    const outcome = await waitFor(fleet, 2);
    chai.expect(outcome.inForce.length).equal(7);
    chai.expect(outcome.missing).eql([]);
  });

  // Guards against a success reported to an operator while one instance is dead
  // and another one is cut off with the old document.
  it('lists the instances where a change is not active', async () => {
    const fleet = await fleets.createFleet(2);
    const [dead, cut] = fleet.members;
    fleet.kill(dead!);
    cut!.isCutFromPeers = true;
    cut!.isCutFromPlatform = true;
    await fleet.publish('v2');
    const {inForce, missing} = await waitFor(fleet, 2);
    chai.expect(inForce.length).equal(5);
    const reported = missing.map(({id, generation, standing, error}) => ({
      id,
      generation,
      standing,
      code: error?.code,
    }));
    chai.expect(reported).eql([
      {
        id: dead!.id,
        generation: undefined,
        standing: undefined,
        code: 'not_sent',
      },
      {id: cut!.id, generation: 1, standing: 'isolated', code: undefined},
    ]);
  });
});
