import * as chai from 'chai';
import type * as fakes from '@amaranthknot/fakes';
import * as ledger from '../src/index.js';
import * as fixtures from './support/fixtures.js';

const {expect} = chai;

const identitiesOf = (bills: readonly ledger.Bill[]): readonly string[] =>
  bills.map(bill => bill.identity).sort();

/** Bills of one lane, as an owner copies them. */
const createPending = (
  bills: readonly ledger.Bill[],
  incarnation = 'instance-a',
): readonly ledger.PendingBill[] => {
  const lane = ledger.nameLane(1_700_000_000_000, incarnation, 0);
  return bills.map(bill => ({lane, bill}));
};

const recordAll = (
  world: fixtures.World,
  keeper: ledger.BillKeeper,
  bills: readonly ledger.Bill[],
): Promise<readonly ledger.RecordResult[]> =>
  fixtures.settle(world, Promise.all(bills.map(bill => keeper.record(bill))));

describe('BillKeeper', () => {
  it('writes nothing before the flush when peers hold copies', async () => {
    const world = fixtures.createWorld();
    const keeper = fixtures.createBillKeeper(world);
    const results = await recordAll(world, keeper, fixtures.createBills(3));
    expect(results).to.deep.equal(['copied', 'copied', 'copied']);
    expect(world.store.calls.create).to.equal(0);
    expect(await fixtures.settle(world, keeper.flush())).to.equal(true);
    expect(world.store.calls.create).to.equal(1);
  });

  // An instance without peers answers and is killed before its next segment:
  // the caller has the answer, and no one else has the bill.
  it('writes before the answer ends when too few peers hold it', async () => {
    const world = fixtures.createWorld();
    const keeper = fixtures.createBillKeeper(world, {
      copyToPeers: () => Promise.resolve(0),
    });
    const bills = fixtures.createBills(2);
    expect(await recordAll(world, keeper, bills)).to.deep.equal([
      'written',
      'written',
    ]);
    const billed = await fixtures.listBilled(world);
    expect(billed).to.deep.equal(identitiesOf(bills));
    expect(world.store.calls.create).to.equal(1);
  });

  // Neither peers nor platform: an answer ended now could lose its bill with
  // this instance. It is withheld, and new requests are refused until one of
  // the two is back.
  it('withholds an answer that only it could bill', async () => {
    const world = fixtures.createWorld();
    let copies = 0;
    const keeper = fixtures.createBillKeeper(world, {
      copyToPeers: () => Promise.resolve(copies),
    });
    world.store.fault = () => 'down';
    const stop = new AbortController();
    void keeper.run(stop.signal);
    const [bill] = fixtures.createBills(1);
    expect(await recordAll(world, keeper, [bill!])).to.deep.equal(['at_risk']);
    const refusal = keeper.mayAccept().swap().extract();
    expect(refusal).to.include({ran: 'not_run'});
    copies = 2;
    await world.clock.advance(5_000);
    expect(keeper.mayAccept().isRight()).to.equal(true);
    stop.abort();
  });

  it('refuses new requests past the bound of pending bills', async () => {
    const world = fixtures.createWorld();
    const keeper = fixtures.createBillKeeper(world, {limits: {maxPending: 2}});
    await recordAll(world, keeper, fixtures.createBills(1));
    expect(keeper.mayAccept().isRight()).to.equal(true);
    await recordAll(world, keeper, fixtures.createBills(2));
    expect(keeper.mayAccept().isLeft()).to.equal(true);
    await fixtures.settle(world, keeper.flush());
    expect(keeper.mayAccept().isRight()).to.equal(true);
  });

  // A segment's create takes effect, its answer is lost, and the owner writes
  // again, by then with more bills: each must stand once.
  const creates: readonly {
    readonly title: string;
    readonly fault: fakes.StoreFault;
  }[] = [
    {title: 'took effect without an answer', fault: 'lost_after'},
    {title: 'was lost on its way', fault: 'lost_before'},
    {title: 'was refused', fault: 'down'},
  ];
  for (const {title, fault} of creates) {
    it(`bills once after a create that ${title}`, async () => {
      const world = fixtures.createWorld();
      const keeper = fixtures.createBillKeeper(world);
      const bills = fixtures.createBills(5);
      await recordAll(world, keeper, bills.slice(0, 3));
      fixtures.failNext(world, 'create', fault);
      await fixtures.settle(world, keeper.flush());
      await recordAll(world, keeper, bills.slice(3));
      await fixtures.settle(world, keeper.flush());
      const billed = await fixtures.listBilled(world);
      expect(billed).to.deep.equal(identitiesOf(bills));
    });
  }

  // Two peers recover one owner's bills, each with copies the other lacks,
  // while the owner was only paused and writes as well. Taking a conflict for
  // "already written" would lose what the first writer did not have; names of
  // their own would bill twice.
  it('bills once when two peers and the owner write one lane', async () => {
    const world = fixtures.createWorld(() => 3);
    const bills = fixtures.createBills(6);
    const owner = fixtures.createBillKeeper(world);
    await recordAll(world, owner, bills);
    const held = createPending(bills);
    const recoveries = [held.slice(0, 4), held.slice(2, 5)].map((part, i) =>
      fixtures
        .createBillKeeper(world, {incarnation: `peer-${i}`})
        .recover('instance-a', part),
    );
    const all = Promise.all([...recoveries, owner.flush()]);
    await fixtures.settle(world, all);
    const billed = await fixtures.listBilled(world);
    expect(billed).to.deep.equal(identitiesOf(bills));
  });

  it('does not write copies of another owner', async () => {
    const world = fixtures.createWorld();
    const keeper = fixtures.createBillKeeper(world);
    const pending = createPending(fixtures.createBills(1), 'instance-z');
    await fixtures.settle(world, keeper.recover('instance-a', pending));
    expect(await fixtures.listBilled(world)).to.deep.equal([]);
  });

  // The platform is out for ten minutes at 15 answers a second and comes back.
  // No bill is lost or doubled, and the instance does not write its backlog at
  // once: with a thousand instances doing so, the platform would fall again.
  it('drains ten minutes of outage at its usual pace', async () => {
    const world = fixtures.createWorld(() => 3);
    const keeper = fixtures.createBillKeeper(world);
    const stop = new AbortController();
    void keeper.run(stop.signal);
    world.store.fault = () => 'down';
    const bills = fixtures.createBills(9_000);
    for (let second = 0; second < 600; second++) {
      const part = bills.slice(second * 15, second * 15 + 15);
      await recordAll(world, keeper, part);
      await world.clock.advance(1_000);
    }
    world.store.fault = () => 'none';
    const before = world.store.calls.create;
    await world.clock.advance(60_000);
    const inFirstMinute = world.store.calls.create - before;
    expect(inFirstMinute).to.be.within(6, 12);
    await world.clock.advance(60_000);
    stop.abort();
    const billed = await fixtures.listBilled(world);
    expect(billed).to.deep.equal(identitiesOf(bills));
  });
});

describe('CopyHolder', () => {
  const createBatch = (
    bills: readonly ledger.Bill[],
    writtenLanes: readonly string[] = [],
  ): ledger.CopyBatch => ({
    incarnation: 'instance-a',
    bills: createPending(bills),
    writtenLanes,
  });

  it('forgets the copies of a written lane', () => {
    const {clock} = fixtures.createWorld();
    const holder = new ledger.CopyHolder({clock});
    const bills = fixtures.createBills(2);
    holder.hold(createBatch(bills));
    expect(holder.size).to.equal(2);
    const [pending] = createPending(bills);
    holder.hold(createBatch([], [pending!.lane]));
    expect(holder.size).to.equal(0);
  });

  it('takes a batch whole or not at all', () => {
    const {clock} = fixtures.createWorld();
    const holder = new ledger.CopyHolder({clock, maxBills: 2});
    expect(holder.hold(createBatch(fixtures.createBills(3)))).to.equal(false);
    expect(holder.size).to.equal(0);
  });

  it('keeps copies whose recovery fails, for the next time', async () => {
    const world = fixtures.createWorld();
    const holder = new ledger.CopyHolder(world);
    const keeper = fixtures.createBillKeeper(world, {incarnation: 'peer'});
    holder.hold(createBatch(fixtures.createBills(2)));
    const recover = () =>
      holder.recoverDead(
        () => true,
        (owner, pending) => keeper.recover(owner, pending),
      );
    world.store.fault = () => 'down';
    expect(await fixtures.settle(world, recover())).to.equal(0);
    expect(holder.size).to.equal(2);
    world.store.fault = () => 'none';
    expect(await fixtures.settle(world, recover())).to.equal(2);
    expect(holder.size).to.equal(0);
  });
});

describe('readBills', () => {
  // A caller retries a chat request under one key on a second instance, which
  // answers too: two bills under one identity, of which one may count.
  it('counts an identity once and shows the others', async () => {
    const world = fixtures.createWorld();
    const late = fixtures.createBill({cost: 5, atWallMs: 2});
    const early = fixtures.createBill({cost: 3, atWallMs: 1});
    const other = fixtures.createBill({identity: 'b', workspace: 'meetups'});
    await world.store.create(ledger.BILL_KIND, 'h.a.0.0', {bills: [late]});
    await world.store.create(ledger.BILL_KIND, 'h.b.0.0', {
      bills: [early, other],
    });
    await world.store.create(ledger.BILL_KIND, 'h.c.0.0', 'no segment');
    const summary = (await ledger.readBills(world.store)).unsafeCoerce();
    expect(summary).to.include({cost: 5, duplicates: 1, unreadable: 1});
    expect([...summary.costByWorkspace]).to.deep.equal([
      ['rosters', 3],
      ['meetups', 2],
    ]);
  });
});
