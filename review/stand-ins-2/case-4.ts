/**
 * Case 4: one engine of eight sends one stream whose body is bytes that are no
 * event, in small chunks, without end. Swaps at another service are judged.
 */
import * as deployment from './deployment.js';
import * as judgeSwaps from './judge-swaps.js';
import * as runCase from './run-case.js';

const ENGINES = 8;
const CORES = 4;

/** Bytes in one chunk, and bytes a second on that channel: a hundredth of a link. */
const HARM = {
  path: '/draft/',
  head: 'success',
  afterMs: 0,
  answers: 1,
  chunkBytes: 4,
  bytesPerS: 1_250_000,
};

/** Time for which the deployment runs before the load, in milliseconds. */
const SETTLE_MS = 3_500;

const LOAD_MS = 20_000;

/** Time from which swaps are judged: streams have reached each engine. */
const JUDGED_FROM_MS = 4_000;

runCase.runCase(async (system, hasTrouble) => {
  await system.startStore();
  for (let i = 1; i <= ENGINES; i++) {
    const behaviour = hasTrouble && i === 1 ? {harm: HARM} : {};
    await system.startRunner(`i-pool-${i}`, 'amaranth-pool', behaviour);
  }
  for (let i = 1; i <= CORES; i++) {
    await system.startRunner(`i-core-${i}`, 'roster-core');
  }
  if (!(await system.startGateway())) {
    return undefined;
  }
  await deployment.sleep(SETTLE_MS);
  const beganAtMs = performance.now();
  const stopDrafts = system.sendEvery(250, '/draft/', 25_000);
  const stopSwaps = system.sendEvery(100, '/swap/', judgeSwaps.SWAP_BUDGET_MS);
  const ready: number[] = [];
  while (performance.now() < beganAtMs + LOAD_MS) {
    const askedAtMs = performance.now();
    ready.push(await system.askReadiness(1_000));
    await deployment.sleep(1_000 - (performance.now() - askedAtMs));
  }
  stopDrafts();
  stopSwaps();
  await deployment.sleep(judgeSwaps.SWAP_BUDGET_MS + 200);
  const {isBroken, ...counts} = judgeSwaps.judgeSwaps(
    system.sent,
    beganAtMs + JUDGED_FROM_MS,
    beganAtMs + LOAD_MS,
  );
  return {isBroken, details: {...counts, ready: ready.join(' ')}};
});
