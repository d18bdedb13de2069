import * as fakes from '@amaranthknot/fakes';
import * as ledger from '../../src/index.js';

/** An object store in memory, on a virtual clock. */
export interface Fixture {
  readonly clock: fakes.VirtualClock;
  readonly store: fakes.MemoryObjectStore;
}

export const createFixture = (delayMs = () => 0): Fixture => {
  const clock = new fakes.VirtualClock();
  return {clock, store: new fakes.MemoryObjectStore({clock, delayMs})};
};

/** Advances virtual time until a promise settles; returns its value. */
export const settle = async <T>(
  fixture: Fixture,
  promise: Promise<T>,
  limitMs = 60_000,
): Promise<T> => {
  const state = {done: false};
  const finish = () => {
    state.done = true;
  };
  void promise.then(finish, finish);
  if (!(await fixture.clock.advanceUntil(() => state.done, limitMs))) {
    throw new Error(`promise not settled within ${limitMs} ms of virtual time`);
  }
  return promise;
};

/** Injects faults into the next calls of one operation, in order; then none. */
export const failNext = (
  fixture: Fixture,
  operation: fakes.StoreOperation,
  ...faults: readonly fakes.StoreFault[]
): void => {
  const left = [...faults];
  fixture.store.fault = called =>
    called === operation ? (left.shift() ?? 'none') : 'none';
};

export const createClaimLedger = (
  fixture: Fixture,
  options: Partial<ledger.ClaimLedgerOptions> = {},
): ledger.ClaimLedger => {
  const incarnation = options.incarnation ?? 'instance-a';
  let tokens = 0;
  return new ledger.ClaimLedger({
    ...fixture,
    random: () => 0.5,
    newToken: () => `${incarnation}#${tokens++}`,
    incarnation,
    ...options,
  });
};

export const createIdentity = (key = 'key-1'): ledger.RequestIdentity =>
  ledger.identifyRequest('rosters', key, 'unused');

export const createBill = (
  options: Partial<ledger.Bill> = {},
): ledger.Bill => ({
  identity: 'identity-1',
  workspace: 'rosters',
  model: 'booking',
  version: 'v1',
  cost: 2,
  tokens: 10,
  atWallMs: 1_700_000_000_000,
  ...options,
});

export const createBills = (count: number): readonly ledger.Bill[] =>
  Array.from({length: count}, (_, i) =>
    createBill({identity: `identity-${i}`}),
  );

export const createBillLedger = (
  fixture: Fixture,
  options: Partial<ledger.BillLedgerOptions> = {},
): ledger.BillLedger =>
  new ledger.BillLedger({
    ...fixture,
    random: () => 0.5,
    incarnation: 'instance-a',
    copyToPeers: () => Promise.resolve(2),
    ...options,
  });

/** Identities of all bills in the object API, sorted, with duplicates. */
export const listBilled = async (
  fixture: Fixture,
): Promise<readonly string[]> => {
  const listing = await settle(fixture, fixture.store.list(ledger.BILL_KIND));
  return listing
    .map(({objects}) => objects)
    .orDefault([])
    .flatMap(object => ledger.readBillSegment(object.value)?.bills ?? [])
    .map(bill => bill.identity)
    .sort();
};
