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
  // If the copies were dropped and their owner crashed before it noticed, its
  // bills would be lost.
  it('writes its own bills and the copies that it holds', async () => {
    const fixture = fixtures.createFixture();
    const {bills, holder, drain} = createLeavingInstance(fixture);
    const own = fixtures.createBill({identity: 'own'});
    await fixtures.settle(fixture, bills.record(own));
    holder.store(createCopyBatch());
    expect(await fixtures.settle(fixture, drain())).to.equal(true);
    expect(await fixtures.listBilled(fixture)).to.deep.equal(['held', 'own']);
    expect(holder.size).to.equal(0);
  });

  it('retries until the platform is back', async () => {
    const fixture = fixtures.createFixture();
    const {holder, drain} = createLeavingInstance(fixture);
    holder.store(createCopyBatch());
    fixture.store.fault = () => (fixture.clock.now() < 4_000 ? 'down' : 'none');
    expect(await fixtures.settle(fixture, drain())).to.equal(true);
    expect(await fixtures.listBilled(fixture)).to.deep.equal(['held']);
  });

  it('returns false, keeps the copies if the platform stays down', async () => {
    const fixture = fixtures.createFixture();
    const {holder, drain} = createLeavingInstance(fixture);
    holder.store(createCopyBatch());
    fixture.store.fault = () => 'down';
    expect(await fixtures.settle(fixture, drain())).to.equal(false);
    expect(holder.size).to.equal(1);
  });
});
