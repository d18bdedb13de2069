/** Plays seeds of real processes, one after the other, and prints the results. */
import * as fs from 'node:fs';
import * as runProcesses from './run-processes.js';

/** Which seeds are played. */
export interface ProcessPlay {
  readonly seed: number;
  readonly seeds: number;
  /** The same for all seeds; by seed, 6 or 7, if undefined. */
  readonly instances: number | undefined;
}

/** Period in which faults start, in milliseconds. */
const DURATION_MS = 15_000;

/** Sizes of the small deployments. */
const SIZES = [6, 7] as const;

const BYTES_PER_MB = 1_048_576;

/** Violations of one invariant that are printed; the others are counted. */
const MAX_PRINTED = 6;

const print = (result: runProcesses.ProcessRunResult): void => {
  const {seed, faults, requests, served, violations, folder} = result;
  const peakMb = Math.round(result.peakBytes / BYTES_PER_MB);
  process.stdout.write(
    `seed ${seed}: ${faults.length} faults, ${result.starts} starts, ` +
      `${requests} requests, ${served} served, ${violations.length} broken, ` +
      `${result.earlyHangups} ended by SIGHUP before their first line, ` +
      `at most ${peakMb} MB\n`,
  );
  const counts = new Map<string, number>();
  for (const {invariant, id, detail} of violations) {
    const count = (counts.get(invariant) ?? 0) + 1;
    counts.set(invariant, count);
    if (count <= MAX_PRINTED) {
      process.stdout.write(`  ${invariant}: ${id}, ${detail}\n`);
    }
  }
  for (const [invariant, count] of counts) {
    process.stdout.write(`  ${count} times: ${invariant}; logs ${folder}\n`);
  }
  if (violations.length === 0) {
    fs.rmSync(folder, {recursive: true});
  }
};

/** Resolves with the number of seeds that broke an invariant. */
export const playProcesses = async ({
  seed: first,
  seeds,
  instances,
}: ProcessPlay): Promise<number> => {
  let broken = 0;
  for (let seed = first; seed < first + seeds; seed++) {
    const size = instances ?? SIZES[seed % SIZES.length] ?? SIZES[0];
    const options = {seed, instances: size, durationMs: DURATION_MS};
    const result = await runProcesses.runProcesses(options);
    print(result);
    broken += result.violations.length > 0 ? 1 : 0;
  }
  return broken;
};
