import * as fakes from '@amaranthknot/fakes';
import * as ledger from '../../src/index.js';

/** The platform in memory, on a virtual clock. */
export interface World {
  readonly clock: fakes.VirtualClock;
  readonly store: fakes.MemoryObjectStore;
}

export const createWorld = (delayMs = () => 0): World => {
  const clock = new fakes.VirtualClock();
  return {clock, store: new fakes.MemoryObjectStore({clock, delayMs})};
};

/** Lets virtual time pass until a promise settles; its value. */
export const settle = async <T>(
  world: World,
  promise: Promise<T>,
  limitMs = 60_000,
): Promise<T> => {
  const state = {done: false};
  const finish = () => {
    state.done = true;
  };
  void promise.then(finish, finish);
  if (!(await world.clock.advanceUntil(() => state.done, limitMs))) {
    throw new Error(`not settled in ${limitMs} ms of virtual time`);
  }
  return promise;
};

/** Faults for the next calls of one operation, in order; then none. */
export const failNext = (
  world: World,
  operation: fakes.StoreOperation,
  ...faults: readonly fakes.StoreFault[]
): void => {
  const left = [...faults];
  world.store.fault = called =>
    called === operation ? (left.shift() ?? 'none') : 'none';
};

export const createClaimKeeper = (
  world: World,
  options: Partial<ledger.ClaimKeeperOptions> = {},
): ledger.ClaimKeeper => {
  const incarnation = options.incarnation ?? 'instance-a';
  let tokens = 0;
  return new ledger.ClaimKeeper({
    ...world,
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

export const createBillKeeper = (
  world: World,
  options: Partial<ledger.BillKeeperOptions> = {},
): ledger.BillKeeper =>
  new ledger.BillKeeper({
    ...world,
    random: () => 0.5,
    incarnation: 'instance-a',
    copyToPeers: () => Promise.resolve(2),
    ...options,
  });

/** Identities of all bills in the object API, doubled ones too. */
export const listBilled = async (world: World): Promise<readonly string[]> => {
  const listing = await settle(world, world.store.list(ledger.BILL_KIND));
  return listing
    .map(({objects}) => objects)
    .orDefault([])
    .flatMap(object => ledger.readBillSegment(object.value)?.bills ?? [])
    .map(bill => bill.identity)
    .sort();
};
