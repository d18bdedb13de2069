/**
 * Case 6: one of four runners of a service refuses some swaps, truthfully, with
 * answers whose body has no end. Swaps are judged, which three sound runners
 * could serve.
 */
import * as deployment from './deployment.js';
import * as judgeSwaps from './judge-swaps.js';
import * as runCase from './run-case.js';

const ENGINES = 2;
const CORES = 4;

/** Refusals without end; the bytes a second are those of one machine's link. */
const HARM = {
  path: '/swap/',
  head: 'refusal',
  afterMs: 0,
  answers: 25,
  chunkBytes: 1,
  bytesPerS: 12_000_000,
};

/** Time for which the deployment runs before the load, in milliseconds. */
const SETTLE_MS = 3_500;

const LOAD_MS = 20_000;

/** Time between two swaps: one machine has the swaps of the whole small site. */
const SWAP_INTERVAL_MS = 80;

/** Time from which swaps are judged: the runner has refused some. */
const JUDGED_FROM_MS = 4_000;

runCase.runCase(async (system, hasTrouble) => {
  await system.startStore();
  for (let i = 1; i <= ENGINES; i++) {
    await system.startRunner(`i-pool-${i}`, 'amaranth-pool');
  }
  for (let i = 1; i <= CORES; i++) {
    const behaviour = hasTrouble && i === 1 ? {harm: HARM} : {};
    await system.startRunner(`i-core-${i}`, 'roster-core', behaviour);
  }
  if (!(await system.startGateway())) {
    return undefined;
  }
  await deployment.sleep(SETTLE_MS);
  const beganAtMs = performance.now();
  const stopSwaps = system.sendEvery(
    SWAP_INTERVAL_MS,
    '/swap/',
    judgeSwaps.SWAP_BUDGET_MS,
    'new',
  );
  await deployment.sleep(LOAD_MS);
  stopSwaps();
  await deployment.sleep(judgeSwaps.SWAP_BUDGET_MS + 200);
  const {isBroken, ...counts} = judgeSwaps.judgeSwaps(
    system.sent,
    beganAtMs + JUDGED_FROM_MS,
    beganAtMs + LOAD_MS,
  );
  return {isBroken, details: counts};
});
