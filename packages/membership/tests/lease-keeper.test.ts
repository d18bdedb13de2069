import * as chai from 'chai';
import * as fakes from '@amaranthknot/fakes';
import * as membership from '@amaranthknot/membership';
import type * as ports from '@amaranthknot/ports';

const NAME = 'rollout/small';
const LEASE_MS = membership.LEASE_MS;

const createFixture = () => {
  const clock = new fakes.VirtualClock();
  const store = new fakes.MemoryObjectStore({clock});
  let keepers = 0;
  const createKeeper = (
    holder: string,
    seenStore: ports.ObjectStore = store,
  ): membership.LeaseKeeper =>
    new membership.LeaseKeeper({
      store: seenStore,
      clock,
      name: NAME,
      holder,
      token: `${holder}-${++keepers}`,
    });
  return {clock, store, createKeeper};
};

const codeOf = (
  result: Awaited<ReturnType<membership.LeaseKeeper['acquire']>>,
): string =>
  result
    .map(() => 'held here')
    .mapLeft(error => error.code)
    .extract();

describe('LeaseKeeper', () => {
  it('gives one of two racers the lease', async () => {
    const {createKeeper} = createFixture();
    const keepers = [createKeeper('a'), createKeeper('b')];
    const results = await Promise.all(keepers.map(each => each.acquire()));
    chai.expect(results.map(codeOf).sort()).eql(['held', 'held here']);
    chai.expect(keepers.filter(each => each.mayAct()).length).equal(1);
  });

  // Guards against a rollout that runs twice: its holder was paused past its
  // lease, resumes and sends commands beside its successor.
  it('stops a holder that was paused past its lease', async () => {
    const {clock, createKeeper} = createFixture();
    const [paused, successor] = [createKeeper('a'), createKeeper('b')];
    const first = (await paused.acquire()).unsafeCoerce();
    chai.expect(codeOf(await successor.acquire())).equal('held');
    await clock.advance(LEASE_MS);
    chai.expect(paused.mayAct()).equal(false);
    const second = (await successor.acquire()).unsafeCoerce();
    chai.expect(second.fencing).greaterThan(first.fencing);
    chai.expect(codeOf(await paused.renew())).equal('held');
    chai.expect(successor.mayAct()).equal(true);
  });

  // The lease expires and nobody takes it. Commands sent before may still be on
  // their way, so the next term needs its own fencing number.
  it('gives a holder a new term after its lease expired', async () => {
    const {clock, createKeeper} = createFixture();
    const keeper = createKeeper('a');
    const first = (await keeper.acquire()).unsafeCoerce();
    await clock.advance(LEASE_MS);
    chai.expect(codeOf(await keeper.renew())).equal('held');
    const second = (await keeper.acquire()).unsafeCoerce();
    chai.expect(second.fencing).greaterThan(first.fencing);
  });

  it('lasts as long as it is renewed, under one fencing number', async () => {
    const {clock, createKeeper} = createFixture();
    const [holder, other] = [createKeeper('a'), createKeeper('b')];
    const first = (await holder.acquire()).unsafeCoerce();
    for (let i = 0; i < 10; i++) {
      await clock.advance(LEASE_MS / 3);
      const term = (await holder.renew()).unsafeCoerce();
      chai.expect(term.fencing).equal(first.fencing);
      chai.expect(codeOf(await other.acquire())).equal('held');
    }
  });

  // Guards against a task that nobody runs until the lease expires, or a writer
  // that races itself, after a lost answer.
  const lost: readonly {
    readonly name: string;
    readonly operation: fakes.StoreOperation;
    readonly fault: fakes.StoreFault;
    readonly mayAct: boolean;
  }[] = [
    {
      name: 'the answer to a first write',
      operation: 'create',
      fault: 'lost_after',
      mayAct: true,
    },
    {
      name: 'a first write',
      operation: 'create',
      fault: 'lost_before',
      mayAct: false,
    },
    {
      name: 'a refused first write',
      operation: 'create',
      fault: 'down',
      mayAct: false,
    },
    {name: 'a read', operation: 'get', fault: 'lost_before', mayAct: false},
  ];
  for (const {name, operation, fault, mayAct} of lost) {
    it(`acts only on what took effect when it loses ${name}`, async () => {
      const {store, createKeeper} = createFixture();
      const keeper = createKeeper('a');
      store.fault = called => (called === operation ? fault : 'none');
      await keeper.acquire();
      chai.expect(keeper.mayAct()).equal(mayAct);
      store.fault = () => 'none';
      await keeper.acquire();
      chai.expect(keeper.mayAct()).equal(true);
    });
  }

  // Renewals are lost one after the other, before or after they took effect.
  // The holder must neither stop early nor act for too long.
  it('acts no longer than the last renewal that it sent', async () => {
    const {clock, store, createKeeper} = createFixture();
    const keeper = createKeeper('a');
    await keeper.acquire();
    await clock.advance(3_000);
    store.fault = operation => (operation === 'update' ? 'lost_after' : 'none');
    chai.expect(codeOf(await keeper.renew())).equal('held here');
    await clock.advance(3_000);
    store.fault = operation => (operation === 'update' ? 'lost_after' : 'down');
    chai.expect(codeOf(await keeper.renew())).equal('unavailable');
    store.fault = () => 'none';
    chai.expect(codeOf(await keeper.renew())).equal('held here');
    store.fault = () => 'down';
    await clock.advance(LEASE_MS * 0.9 - 1);
    chai.expect(keeper.mayAct()).equal(true);
    await clock.advance(1);
    chai.expect(keeper.mayAct()).equal(false);
  });

  it('frees the lease at once on release after a lost answer', async () => {
    const {store, createKeeper} = createFixture();
    const [holder, next] = [createKeeper('a'), createKeeper('b')];
    await holder.acquire();
    store.fault = operation => {
      store.fault = () => (operation === 'update' ? 'down' : 'none');
      return 'lost_after';
    };
    await holder.renew();
    store.fault = () => 'none';
    await holder.release();
    chai.expect(holder.mayAct()).equal(false);
    chai.expect(codeOf(await next.acquire())).equal('held here');
  });
});
