/**
 * Case 5: one of four runners of a service answers some swaps with bytes that
 * are no answer, in chunks of one byte, without end. The stand-in for the
 * platform kills a process that uses more memory than it may. Drafts that sound
 * engines run are judged: their callers use kept channels.
 */
import * as deployment from './deployment.js';
import * as runCase from './run-case.js';

const ENGINES = 4;
const CORES = 4;

const HARM = {
  path: '/swap/',
  head: 'success',
  afterMs: 0,
  answers: 40,
  chunkBytes: 1,
  bytesPerS: 12_000_000,
};

/** Time for which the deployment runs before the load, in milliseconds. */
const SETTLE_MS = 3_500;

/** Time for which only drafts are sent: their channels are kept then. */
const WARM_UP_MS = 6_000;

const LOAD_MS = 20_000;

/** `KILL=0` shows how much memory is used if nothing ends the process. */
const KILLS = process.env['KILL'] !== '0';

/** Interval at which the platform reads the memory of its processes, in ms. */
const MEMORY_CHECK_MS = 20;

/** Answers that may be lost on kept channels. */
const MAX_LOST = 3;

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
  let peakMb = 0;
  let killedAtMb: number | undefined;
  const memoryTimer = setInterval(() => {
    const mb = Math.round(system.readGatewayMb());
    peakMb = Math.max(peakMb, mb);
    if (mb > deployment.MEMORY_MB && killedAtMb === undefined) {
      system.record({event: 'over_memory', mb});
      killedAtMb = KILLS ? mb : undefined;
      system.gateway?.kill(KILLS ? 'SIGKILL' : 'SIGCONT');
    }
  }, MEMORY_CHECK_MS);
  await deployment.sleep(SETTLE_MS);
  const stopDrafts = system.sendEvery(200, '/draft/', 25_000);
  await deployment.sleep(WARM_UP_MS);
  const beganAtMs = performance.now();
  const stopSwaps = system.sendEvery(50, '/swap/', 1_000);
  while (performance.now() < beganAtMs + LOAD_MS && killedAtMb === undefined) {
    await deployment.sleep(50);
  }
  stopDrafts();
  stopSwaps();
  await deployment.sleep(4_000);
  clearInterval(memoryTimer);
  // Their engines are sound, and each had begun to answer.
  const lost = system.sent.filter(
    ({target, isOnKeptChannel, status, isComplete, tookMs, error}) =>
      target.startsWith('/draft/') &&
      isOnKeptChannel &&
      status === 200 &&
      tookMs !== undefined &&
      !isComplete &&
      error !== 'time budget',
  ).length;
  const isBroken = killedAtMb !== undefined && lost > MAX_LOST;
  return {isBroken, details: {peakMb, killedAtMb, lost}};
});
