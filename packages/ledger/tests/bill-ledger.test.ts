import * as chai from 'chai';
import type * as fakes from '@amaranthknot/fakes';
import * as ledger from '../src/index.js';
import * as fixtures from './support/fixtures.js';

const {expect} = chai;

const identitiesOf = (bills: readonly ledger.Bill[]): readonly string[] =>
  bills.map(bill => bill.identity).sort();

/** Pending bills of one lane of an owner. */
const createPending = (
  bills: readonly ledger.Bill[],
  incarnation = 'instance-a',
): readonly ledger.PendingBill[] => {
  const lane = ledger.nameLane(1_700_000_000_000, incarnation, 0);
  return bills.map(bill => ({lane, bill}));
};

const recordAll = (
  fixture: fixtures.Fixture,
  billLedger: ledger.BillLedger,
  bills: readonly ledger.Bill[],
): Promise<readonly ledger.RecordResult[]> =>
  fixtures.settle(
    fixture,
    Promise.all(bills.map(bill => billLedger.record(bill))),
  );

describe('BillLedger', () => {
  it('writes nothing before the flush if enough peers hold copies', async () => {
    const fixture = fixtures.createFixture();
    const billLedger = fixtures.createBillLedger(fixture);
    const results = await recordAll(
      fixture,
      billLedger,
      fixtures.createBills(3),
    );
    expect(results).to.deep.equal(['copied', 'copied', 'copied']);
    expect(fixture.store.calls.create).to.equal(0);
    expect(await fixtures.settle(fixture, billLedger.flush())).to.equal(true);
    expect(fixture.store.calls.create).to.equal(1);
  });

  // Without copies, an instance that is killed after its answer and before its
  // next segment would lose the bill.
  it('writes a bill before the answer ends if too few peers hold it', async () => {
    const fixture = fixtures.createFixture();
    const billLedger = fixtures.createBillLedger(fixture, {
      copyToPeers: () => Promise.resolve(0),
    });
    const bills = fixtures.createBills(2);
    expect(await recordAll(fixture, billLedger, bills)).to.deep.equal([
      'written',
      'written',
    ]);
    const billed = await fixtures.listBilled(fixture);
    expect(billed).to.deep.equal(identitiesOf(bills));
    expect(fixture.store.calls.create).to.equal(1);
  });

  // With neither peers nor the platform available, the bill of an answer would
  // be lost with this instance. New requests are refused until one is back.
  it('refuses requests while only it holds a bill', async () => {
    const fixture = fixtures.createFixture();
    let copies = 0;
    const billLedger = fixtures.createBillLedger(fixture, {
      copyToPeers: () => Promise.resolve(copies),
    });
    fixture.store.fault = () => 'down';
    const stop = new AbortController();
    void billLedger.run(stop.signal);
    const [bill] = fixtures.createBills(1);
    expect(await recordAll(fixture, billLedger, [bill!])).to.deep.equal([
      'at_risk',
    ]);
    const refusal = billLedger.mayAccept().swap().extract();
    expect(refusal).to.include({ran: 'not_run'});
    copies = 2;
    await fixture.clock.advance(5_000);
    expect(billLedger.mayAccept().isRight()).to.equal(true);
    stop.abort();
  });

  it('refuses new requests while maxPending bills are pending', async () => {
    const fixture = fixtures.createFixture();
    const billLedger = fixtures.createBillLedger(fixture, {
      limits: {maxPending: 2},
    });
    await recordAll(fixture, billLedger, fixtures.createBills(1));
    expect(billLedger.mayAccept().isRight()).to.equal(true);
    await recordAll(fixture, billLedger, fixtures.createBills(2));
    expect(billLedger.mayAccept().isLeft()).to.equal(true);
    await fixtures.settle(fixture, billLedger.flush());
    expect(billLedger.mayAccept().isRight()).to.equal(true);
  });

  // The answer to a create is lost or refused, and the owner retries with more
  // bills than before: each bill must be stored once.
  const creates: readonly {
    readonly title: string;
    readonly fault: fakes.StoreFault;
  }[] = [
    {title: 'took effect without an answer', fault: 'lost_after'},
    {title: 'was lost before it took effect', fault: 'lost_before'},
    {title: 'was refused', fault: 'down'},
  ];
  for (const {title, fault} of creates) {
    it(`stores each bill once after a create that ${title}`, async () => {
      const fixture = fixtures.createFixture();
      const billLedger = fixtures.createBillLedger(fixture);
      const bills = fixtures.createBills(5);
      await recordAll(fixture, billLedger, bills.slice(0, 3));
      fixtures.failNext(fixture, 'create', fault);
      await fixtures.settle(fixture, billLedger.flush());
      await recordAll(fixture, billLedger, bills.slice(3));
      await fixtures.settle(fixture, billLedger.flush());
      const billed = await fixtures.listBilled(fixture);
      expect(billed).to.deep.equal(identitiesOf(bills));
    });
  }

  // Two peers with different copies recover the bills of an owner that was only
  // paused and writes as well. Treating a conflict as "already written" would
  // lose bills; separate segment names would store them twice.
  it('stores each bill once if two peers and the owner write a lane', async () => {
    const fixture = fixtures.createFixture(() => 3);
    const bills = fixtures.createBills(6);
    const owner = fixtures.createBillLedger(fixture);
    await recordAll(fixture, owner, bills);
    const held = createPending(bills);
    const recoveries = [held.slice(0, 4), held.slice(2, 5)].map((part, i) =>
      fixtures
        .createBillLedger(fixture, {incarnation: `peer-${i}`})
        .recover('instance-a', part),
    );
    const all = Promise.all([...recoveries, owner.flush()]);
    await fixtures.settle(fixture, all);
    const billed = await fixtures.listBilled(fixture);
    expect(billed).to.deep.equal(identitiesOf(bills));
  });

  it('does not recover copies of another owner', async () => {
    const fixture = fixtures.createFixture();
    const billLedger = fixtures.createBillLedger(fixture);
    const pending = createPending(fixtures.createBills(1), 'instance-z');
    await fixtures.settle(fixture, billLedger.recover('instance-a', pending));
    expect(await fixtures.listBilled(fixture)).to.deep.equal([]);
  });

  // After a ten-minute outage at 15 answers/s no bill may be lost or stored
  // twice. If a thousand instances wrote their backlogs at once, the platform
  // would fail again.
  it('drains the backlog of a long outage at a limited rate', async () => {
    const fixture = fixtures.createFixture(() => 3);
    const billLedger = fixtures.createBillLedger(fixture);
    const stop = new AbortController();
    void billLedger.run(stop.signal);
    fixture.store.fault = () => 'down';
    const bills = fixtures.createBills(9_000);
    for (let second = 0; second < 600; second++) {
      const part = bills.slice(second * 15, second * 15 + 15);
      await recordAll(fixture, billLedger, part);
      await fixture.clock.advance(1_000);
    }
    fixture.store.fault = () => 'none';
    const before = fixture.store.calls.create;
    await fixture.clock.advance(60_000);
    const inFirstMinute = fixture.store.calls.create - before;
    expect(inFirstMinute).to.be.within(6, 12);
    await fixture.clock.advance(60_000);
    stop.abort();
    const billed = await fixtures.listBilled(fixture);
    expect(billed).to.deep.equal(identitiesOf(bills));
  });
});

describe('CopyStore', () => {
  const createBatch = (
    bills: readonly ledger.Bill[],
    writtenLanes: readonly string[] = [],
  ): ledger.CopyBatch => ({
    incarnation: 'instance-a',
    bills: createPending(bills),
    writtenLanes,
  });

  it('deletes the copies of a written lane', () => {
    const {clock} = fixtures.createFixture();
    const copyStore = new ledger.CopyStore({clock});
    const bills = fixtures.createBills(2);
    copyStore.store(createBatch(bills));
    expect(copyStore.size).to.equal(2);
    const [pending] = createPending(bills);
    copyStore.store(createBatch([], [pending!.lane]));
    expect(copyStore.size).to.equal(0);
  });

  it('stores no bill of a batch that exceeds maxBills', () => {
    const {clock} = fixtures.createFixture();
    const copyStore = new ledger.CopyStore({clock, maxBills: 2});
    expect(copyStore.store(createBatch(fixtures.createBills(3)))).to.equal(
      false,
    );
    expect(copyStore.size).to.equal(0);
  });

  it('keeps copies whose recovery fails and recovers them later', async () => {
    const fixture = fixtures.createFixture();
    const copyStore = new ledger.CopyStore(fixture);
    const billLedger = fixtures.createBillLedger(fixture, {
      incarnation: 'peer',
    });
    copyStore.store(createBatch(fixtures.createBills(2)));
    const recover = () =>
      copyStore.recoverDead(
        () => true,
        (owner, pending) => billLedger.recover(owner, pending),
      );
    fixture.store.fault = () => 'down';
    expect(await fixtures.settle(fixture, recover())).to.equal(0);
    expect(copyStore.size).to.equal(2);
    fixture.store.fault = () => 'none';
    expect(await fixtures.settle(fixture, recover())).to.equal(2);
    expect(copyStore.size).to.equal(0);
  });
});

describe('readBills', () => {
  // A caller retries a chat request with the same key on a second instance,
  // which answers as well: there are two bills with one identity.
  it('counts the earliest bill of an identity, reports duplicates', async () => {
    const fixture = fixtures.createFixture();
    const late = fixtures.createBill({cost: 5, atWallMs: 2});
    const early = fixtures.createBill({cost: 3, atWallMs: 1});
    const other = fixtures.createBill({identity: 'b', workspace: 'meetups'});
    await fixture.store.create(ledger.BILL_KIND, 'h.a.0.0', {bills: [late]});
    await fixture.store.create(ledger.BILL_KIND, 'h.b.0.0', {
      bills: [early, other],
    });
    await fixture.store.create(ledger.BILL_KIND, 'h.c.0.0', 'no segment');
    const summary = (await ledger.readBills(fixture.store)).unsafeCoerce();
    expect(summary).to.include({cost: 5, duplicates: 1, unreadable: 1});
    expect([...summary.costByWorkspace]).to.deep.equal([
      ['rosters', 3],
      ['meetups', 2],
    ]);
  });
});
