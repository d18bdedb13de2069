import * as chai from 'chai';
import * as decisions from '@amaranthknot/decisions';

const SERVICE = 'svc';
const INSTANCES = ['i-1', 'i-2', 'i-3'];

const createUpstream = (
  id: string,
  startedAtMs = 1,
): decisions.SharedUpstream => ({id, startedAtMs, service: SERVICE, slots: 8});

interface Setup {
  readonly shares: readonly decisions.ConcurrencyShares[];
  readonly first: decisions.ConcurrencyShares;
  readonly wait: (ms: number) => void;
}

const setUp = (): Setup => {
  let nowMs = 0;
  const create = (self: string) =>
    new decisions.ConcurrencyShares({
      now: () => nowMs,
      self,
      findInstances: () => INSTANCES,
      findService: () => SERVICE,
      onChange: () => undefined,
    });
  const first = create('i-1');
  return {
    first,
    shares: [first, create('i-2'), create('i-3')],
    wait: ms => {
      nowMs += ms;
    },
  };
};

describe('ConcurrencyShares', () => {
  it('divides the slots of an upstream among instances, all of them', () => {
    const {shares} = setUp();
    const capacities = shares.map(share => {
      share.record(createUpstream('u'), 3);
      return share.findCapacity(createUpstream('u')) ?? 0;
    });
    chai.expect(capacities.reduce((a, b) => a + b)).equal(8);
    chai.expect(Math.min(...capacities)).equal(2);
  });

  it('divides nothing where an upstream names no limit', () => {
    const {first} = setUp();
    chai.expect(first.findCapacity(createUpstream('u'))).equal(undefined);
    first.record(createUpstream('u'), undefined);
    chai.expect(first.findCapacity(createUpstream('u'))).equal(undefined);
  });

  it('ends with the first answer that names no limit', () => {
    const {first} = setUp();
    first.record(createUpstream('u'), 3);
    first.record(createUpstream('u'), undefined);
    chai.expect(first.findCapacity(createUpstream('u'))).equal(undefined);
  });

  it('takes a new upstream of the service for limited until it answers', () => {
    // Guards against an upstream that comes back after a failure and is flooded.
    const {first} = setUp();
    first.record(createUpstream('old'), 3);
    const back = createUpstream('new', 2);
    chai.expect(first.findCapacity(back)).least(2);
    first.record(back, undefined);
    chai.expect(first.findCapacity(back)).equal(undefined);
  });

  it('keeps the limit while the entry of an upstream is missing', () => {
    const {first} = setUp();
    first.record(createUpstream('u'), 3);
    first.retain(new Set());
    chai.expect(first.findCapacity(createUpstream('u'))).least(2);
  });

  it('learns of a limit from another instance', () => {
    const {shares, first} = setUp();
    first.record(createUpstream('u'), 3);
    shares[1]?.merge(first.report());
    chai.expect(shares[1]?.findCapacity(createUpstream('u'))).least(2);
  });

  it('sends nothing for a time after a refusal', () => {
    // Guards against instances that find out together whether there is room.
    const {first, wait} = setUp();
    const upstream = createUpstream('u');
    first.record(upstream, 3);
    first.recordRefusal(upstream);
    chai.expect(first.findCapacity(upstream)).equal(0);
    chai.expect(first.findWaitMs(upstream)).equal(1_000);
    wait(1_000);
    chai.expect(first.findCapacity(upstream)).least(2);
  });

  it('pauses for no refusal of an upstream without a limit', () => {
    const {first} = setUp();
    first.recordRefusal(createUpstream('u'));
    chai.expect(first.findWaitMs(createUpstream('u'))).equal(0);
  });
});
