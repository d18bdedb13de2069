/**
 * Calls of claims and bills to the object API: for each kind of request, and
 * when the platform returns after an outage of ten minutes.
 */
import * as fakes from '@amaranthknot/fakes';
import * as ledger from '@amaranthknot/ledger';
import type * as figures from '../figure.js';
import * as seededRandom from '@amaranthknot/fakes';

const INSTANCES = 300;
const SECOND_MS = 1_000;
const STEADY_MS = 300_000;
const OUTAGE_MS = 600_000;
const DRAIN_MS = 300_000;
/** One bill per second represents 15; segments are smaller in proportion. */
const BILL_INTERVAL_MS = SECOND_MS;
const SEGMENT_BILLS = Math.round(
  ledger.DEFAULT_BILL_LIMITS.maxSegmentBills / 15,
);
const REQUESTS = 500;

const ANSWER: ledger.ClaimOutcome = {kind: 'answer', status: 200, body: 'ok'};

/** Advances the virtual clock until a promise is settled. */
const settle = async <T>(
  clock: fakes.VirtualClock,
  promise: Promise<T>,
): Promise<T> => {
  const state = {done: false};
  void promise.then(() => {
    state.done = true;
  });
  await clock.advanceUntil(() => state.done, 60_000, 1);
  return promise;
};

const countWrites = (store: fakes.MemoryObjectStore): number =>
  store.calls.create + store.calls.update + store.calls.delete;

const countReads = (store: fakes.MemoryObjectStore): number =>
  store.calls.get + store.calls.list;

/** A kind of request, and the fault that its claim meets. */
interface ClaimCase {
  readonly name: string;
  readonly fault?: fakes.StoreFault;
  readonly isRetry?: boolean;
  readonly isAbandoned?: boolean;
}

const CLAIM_CASES: readonly ClaimCase[] = [
  {name: 'claim'},
  {name: 'retry', isRetry: true},
  {name: 'lost_answer', fault: 'lost_after'},
  {name: 'abandoned', isAbandoned: true},
];

const runClaim = async (
  claims: ledger.ClaimLedger,
  key: string,
  isAbandoned: boolean,
): Promise<void> => {
  const identity = ledger.identifyRequest('rosters', key, '');
  const result = await claims.claim(identity, 'body');
  if (result.kind !== 'granted') {
    return;
  }
  if (isAbandoned) {
    await claims.abandon(result.claim);
  } else {
    await claims.finish(result.claim, ANSWER);
  }
};

const measureClaims = async (
  random: () => number,
  claimCase: ClaimCase,
): Promise<readonly figures.Figure[]> => {
  const clock = new fakes.VirtualClock();
  const store = new fakes.MemoryObjectStore({clock});
  let tokens = 0;
  const claims = new ledger.ClaimLedger({
    store,
    clock,
    random,
    newToken: () => `token-${tokens++}`,
    incarnation: 'instance-0',
  });
  const runAll = async () => {
    for (let i = 0; i < REQUESTS; i++) {
      let faults = claimCase.fault ? 1 : 0;
      store.fault = operation =>
        operation === 'create' && faults-- > 0
          ? (claimCase.fault ?? 'none')
          : 'none';
      const isAbandoned = claimCase.isAbandoned ?? false;
      await settle(clock, runClaim(claims, `key-${i}`, isAbandoned));
    }
  };
  await runAll();
  const before = {writes: countWrites(store), reads: countReads(store)};
  if (claimCase.isRetry) {
    await runAll();
  }
  const base = claimCase.isRetry ? before : {writes: 0, reads: 0};
  return [
    {
      figure: `${claimCase.name}_writes`,
      value: (countWrites(store) - base.writes) / REQUESTS,
      unit: 'calls/request',
    },
    {
      figure: `${claimCase.name}_reads`,
      value: (countReads(store) - base.reads) / REQUESTS,
      unit: 'calls/request',
    },
  ];
};

/** Counts the creates of all instances by second. */
class CreateCounter {
  readonly bySecond: number[] = [];

  constructor(private readonly clock: fakes.VirtualClock) {}

  record(operation: fakes.StoreOperation): void {
    if (operation === 'create') {
      const second = Math.floor(this.clock.now() / SECOND_MS);
      this.bySecond[second] = (this.bySecond[second] ?? 0) + 1;
    }
  }

  /** Counts of each second from `fromMs` up to, but not including, `toMs`. */
  countsBetween(fromMs: number, toMs: number): readonly number[] {
    return Array.from(
      {length: (toMs - fromMs) / SECOND_MS},
      (_, i) => this.bySecond[fromMs / SECOND_MS + i] ?? 0,
    );
  }
}

const mean = (values: readonly number[]): number =>
  values.reduce((total, value) => total + value, 0) / values.length;

const startInstance = (
  dependencies: {
    readonly clock: fakes.VirtualClock;
    readonly store: fakes.MemoryObjectStore;
    readonly random: () => number;
  },
  index: number,
  stops: AbortController[],
): ledger.BillLedger => {
  const bills = new ledger.BillLedger({
    ...dependencies,
    incarnation: `instance-${index}`,
    copyToPeers: () => Promise.resolve(2),
    limits: {maxSegmentBills: SEGMENT_BILLS},
  });
  const stop = new AbortController();
  stops.push(stop);
  void bills.run(stop.signal);
  return bills;
};

const recordBills = async (
  clock: fakes.VirtualClock,
  ledgers: readonly ledger.BillLedger[],
  ms: number,
): Promise<number> => {
  let recorded = 0;
  for (let at = 0; at < ms; at += BILL_INTERVAL_MS) {
    for (const [i, bills] of ledgers.entries()) {
      recorded++;
      void bills.record({
        identity: `${i}-${clock.now()}`,
        workspace: 'rosters',
        model: 'capable',
        version: 'v1',
        cost: 1,
        tokens: 260,
        atWallMs: clock.wallTime(),
      });
    }
    await clock.advance(BILL_INTERVAL_MS);
  }
  return recorded;
};

const measureOutage = async (
  random: () => number,
): Promise<readonly figures.Figure[]> => {
  const clock = new fakes.VirtualClock();
  const creates = new CreateCounter(clock);
  let isOut = false;
  const store = new fakes.MemoryObjectStore({
    clock,
    delayMs: () => 3,
    fault: operation => {
      creates.record(operation);
      return isOut ? 'down' : 'none';
    },
  });
  const stops: AbortController[] = [];
  const ledgers = Array.from({length: INSTANCES}, (_, i) =>
    startInstance({clock, store, random}, i, stops),
  );
  let recorded = await recordBills(clock, ledgers, STEADY_MS);
  isOut = true;
  recorded += await recordBills(clock, ledgers, OUTAGE_MS);
  isOut = false;
  recorded += await recordBills(clock, ledgers, DRAIN_MS);
  await clock.advance(60_000);
  stops.forEach(stop => stop.abort());
  const returned = STEADY_MS + OUTAGE_MS;
  // Leaves out the first half minute, because all instances start at once.
  const steady = mean(creates.countsBetween(30_000, STEADY_MS));
  const after = creates.countsBetween(returned, returned + DRAIN_MS);
  const summary = await settle(clock, ledger.readBills(store));
  const billed = summary.map(({bills}) => bills.length).orDefault(0);
  const duplicates = summary.map(found => found.duplicates).orDefault(-1);
  return [
    {
      figure: 'bill_writes_per_instance',
      value: steady / INSTANCES,
      unit: 'calls/s',
    },
    {
      figure: 'peak_after_outage',
      value: Math.max(...after) / steady,
      baseline: Math.max(...creates.countsBetween(30_000, STEADY_MS)) / steady,
      unit: 'x steady',
      target: 2,
      direction: 'at_most',
    },
    {
      figure: 'bills_lost',
      value: recorded - billed,
      unit: 'bills',
      target: 0,
      direction: 'at_most',
    },
    {
      figure: 'bills_doubled',
      value: duplicates,
      unit: 'bills',
      target: 0,
      direction: 'at_most',
    },
  ];
};

/** Measures calls for claims and bills, and bills lost or duplicated. */
export const bench: figures.Bench = {
  summary: 'calls of claims and bills to the object API, also after an outage',
  run: async seed => {
    const random = seededRandom.createRandom(seed);
    const results: figures.Figure[] = [];
    for (const claimCase of CLAIM_CASES) {
      results.push(...(await measureClaims(random, claimCase)));
    }
    return [...results, ...(await measureOutage(random))];
  },
};
