import * as chai from 'chai';
import * as ledger from '../src/index.js';
import * as fixtures from './support/fixtures.js';

const {expect} = chai;

const createLeavingInstance = (fixture: fixtures.Fixture) => {
  const bills = fixtures.createBillLedger(fixture, {incarnation: 'leaving'});
  const holder = new ledger.CopyStore(fixture);
  const drain = () =>
    ledger.drainLedger({
      ...fixture,
      random: () => 0.5,
      bills,
      holder,
      timeoutMs: 10_000,
    });
  return {bills, holder, drain};
};

const createCopyBatch = (): ledger.CopyBatch => {
  const lane = ledger.nameLane(1_700_000_000_000, 'instance-a', 0);
  const bill = fixtures.createBill({identity: 'held'});
  return {
    incarnation: 'instance-a',
    bills: [{lane, bill}],
    writtenLanes: [],
  };
};

describe('drainLedger', () => {
  // An instance is replaced in a planned stop. The owner of copies that it
  // held dies before it has noticed: its answered bill would be gone.
  it('writes its own bills and the copies it holds', async () => {
    const fixture = fixtures.createFixture();
    const {bills, holder, drain} = createLeavingInstance(fixture);
    const own = fixtures.createBill({identity: 'own'});
    await fixtures.settle(fixture, bills.record(own));
    holder.store(createCopyBatch());
    expect(await fixtures.settle(fixture, drain())).to.equal(true);
    expect(await fixtures.listBilled(fixture)).to.deep.equal(['held', 'own']);
    expect(holder.size).to.equal(0);
  });

  it('waits for the platform to come back', async () => {
    const fixture = fixtures.createFixture();
    const {holder, drain} = createLeavingInstance(fixture);
    holder.store(createCopyBatch());
    fixture.store.fault = () => (fixture.clock.now() < 4_000 ? 'down' : 'none');
    expect(await fixtures.settle(fixture, drain())).to.equal(true);
    expect(await fixtures.listBilled(fixture)).to.deep.equal(['held']);
  });

  it('says so when the platform stays out', async () => {
    const fixture = fixtures.createFixture();
    const {holder, drain} = createLeavingInstance(fixture);
    holder.store(createCopyBatch());
    fixture.store.fault = () => 'down';
    expect(await fixtures.settle(fixture, drain())).to.equal(false);
    expect(holder.size).to.equal(1);
  });
});
