import * as chai from 'chai';
import * as ledger from '../src/index.js';
import * as fixtures from './support/fixtures.js';

const {expect} = chai;

const createLeaving = (world: fixtures.World) => {
  const bills = fixtures.createBillKeeper(world, {incarnation: 'leaving'});
  const holder = new ledger.CopyHolder(world);
  const drain = () =>
    ledger.drainLedger({
      ...world,
      random: () => 0.5,
      bills,
      holder,
      timeoutMs: 10_000,
    });
  return {bills, holder, drain};
};

const createHeld = (): ledger.CopyBatch => {
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
    const world = fixtures.createWorld();
    const {bills, holder, drain} = createLeaving(world);
    const own = fixtures.createBill({identity: 'own'});
    await fixtures.settle(world, bills.record(own));
    holder.hold(createHeld());
    expect(await fixtures.settle(world, drain())).to.equal(true);
    expect(await fixtures.listBilled(world)).to.deep.equal(['held', 'own']);
    expect(holder.size).to.equal(0);
  });

  it('waits for the platform to come back', async () => {
    const world = fixtures.createWorld();
    const {holder, drain} = createLeaving(world);
    holder.hold(createHeld());
    world.store.fault = () => (world.clock.now() < 4_000 ? 'down' : 'none');
    expect(await fixtures.settle(world, drain())).to.equal(true);
    expect(await fixtures.listBilled(world)).to.deep.equal(['held']);
  });

  it('says so when the platform stays out', async () => {
    const world = fixtures.createWorld();
    const {holder, drain} = createLeaving(world);
    holder.hold(createHeld());
    world.store.fault = () => 'down';
    expect(await fixtures.settle(world, drain())).to.equal(false);
    expect(holder.size).to.equal(1);
  });
});
