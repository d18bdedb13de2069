/** `npm run soak`: plays seeds and prints what each came to. */
import * as fs from 'node:fs';
import * as meow from 'meow';
import * as runSoak from './run-soak.js';

const HELP = `
  Usage
    $ npm run soak -- [--seeds N] [--seed S] [--minutes M]

  Options
    --seeds N      how many seeds are played (10)
    --seed S       the first one (1)
    --minutes M    plays fresh seeds for so long instead
    --at-once N    runs at the same time (3)
    --instances N  processes of each run (3)

  Exit codes
    0 no promise was broken; 1 some were, their logs are kept
`;

const FLAGS = {
  seeds: {type: 'number', default: 10},
  seed: {type: 'number', default: 1},
  minutes: {type: 'number'},
  atOnce: {type: 'number', default: 3},
  instances: {type: 'number', default: 3},
} as const;

const MS_PER_MINUTE = 60_000;

/** Time in which faults begin, in milliseconds. */
const DURATION_MS = 8_000;

const UPSTREAMS = 3;

const print = (result: runSoak.SoakResult): void => {
  const {seed, requests, served, faults, violations, folder} = result;
  process.stdout.write(
    `seed ${seed}: ${faults.length} faults, ${requests} requests, ` +
      `${served} served, ${violations.length} broken\n`,
  );
  for (const {invariant, id, detail} of violations) {
    process.stdout.write(`  ${invariant}: ${id}, ${detail}; logs ${folder}\n`);
  }
  if (violations.length === 0) {
    fs.rmSync(folder, {recursive: true});
  }
};

const main = async (): Promise<void> => {
  const {flags} = meow.default(HELP, {importMeta: import.meta, flags: FLAGS});
  const {minutes, instances} = flags;
  const end =
    minutes === undefined ? Infinity : Date.now() + minutes * MS_PER_MINUTE;
  const last = minutes === undefined ? flags.seed + flags.seeds : Infinity;
  let next = flags.seed;
  let broken = 0;
  const runSeeds = async (): Promise<void> => {
    while (next < last && Date.now() < end) {
      const result = await runSoak.runSoak({
        seed: next++,
        instances,
        upstreams: UPSTREAMS,
        durationMs: DURATION_MS,
      });
      print(result);
      broken += result.violations.length > 0 ? 1 : 0;
    }
  };
  await Promise.all(Array.from({length: flags.atOnce}, runSeeds));
  process.stdout.write(`${broken} of ${next - flags.seed} seeds broken\n`);
  // A run that ended can leave the stand-ins busy; see docs/measurements.
  process.exit(broken > 0 ? 1 : 0);
};

await main();
