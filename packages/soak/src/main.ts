/** `npm run soak`: runs soak tests by seed and prints the result of each. */
import * as fs from 'node:fs';
import * as meow from 'meow';
import * as playProcesses from './processes/play-processes.js';
import * as runSoak from './run-soak.js';

const HELP = `
  Usage
    $ npm run soak -- [--seeds N] [--seed S] [--minutes M]

  Options
    --seeds N      number of seeds to run (10)
    --seed S       the first seed (1)
    --minutes M    run new seeds for this time instead
    --at-once N    concurrent runs (3)
    --instances N  gateway processes per run (3)
    --links        inject only cuts of links and faults of upstreams
    --parts        inject only a prompt part under which upstreams end
    --cold         inject only upstreams that are away and back cold
    --kills        inject only upstreams that are killed while they answer
    --leaving      inject only pauses in which callers write and leave
    --repeats      inject only broken answers while callers move
    --processes    run the artefact as a whole system, 6 or 7 instances by
                   default, and harm its processes; one seed at a time

  Exit codes
    0 no invariant was violated; 1 some were, their logs are kept
`;

const FLAGS = {
  seeds: {type: 'number', default: 10},
  seed: {type: 'number', default: 1},
  minutes: {type: 'number'},
  atOnce: {type: 'number', default: 3},
  instances: {type: 'number'},
  links: {type: 'boolean', default: false},
  parts: {type: 'boolean', default: false},
  cold: {type: 'boolean', default: false},
  kills: {type: 'boolean', default: false},
  leaving: {type: 'boolean', default: false},
  repeats: {type: 'boolean', default: false},
  processes: {type: 'boolean', default: false},
} as const;

const MS_PER_MINUTE = 60_000;

/** Period in which faults start, in milliseconds. */
const DURATION_MS = 8_000;

/** The same with `--repeats`: half of it passes without faults. */
const REPEATS_DURATION_MS = 20_000;

const INSTANCES = 3;

const UPSTREAMS = 3;

/** The same with `--repeats`: a request is sent to another one each time. */
const REPEATS_UPSTREAMS = 8;

const print = (result: runSoak.SoakResult): void => {
  const {seed, requests, served, faults, violations, folder} = result;
  process.stdout.write(
    `seed ${seed}: ${faults.length} faults, ${requests} requests, ` +
      `${served} served, ${violations.length} broken, ` +
      `${result.earlyHangups} ended by SIGHUP before their first line\n`,
  );
  for (const {invariant, id, detail} of violations) {
    process.stdout.write(`  ${invariant}: ${id}, ${detail}; logs ${folder}\n`);
  }
  if (violations.length === 0) {
    fs.rmSync(folder, {recursive: true});
  }
};

/** The only kind of fault that the flags ask for; all without one. */
const findOnly = (flags: {
  readonly links: boolean;
  readonly parts: boolean;
  readonly cold: boolean;
  readonly kills: boolean;
  readonly leaving: boolean;
  readonly repeats: boolean;
}): runSoak.SoakOptions['only'] => {
  if (flags.repeats) {
    return 'repeats';
  }
  if (flags.leaving) {
    return 'leaving_callers';
  }
  if (flags.kills) {
    return 'kills';
  }
  if (flags.cold) {
    return 'cold';
  }
  if (flags.links) {
    return 'links';
  }
  return flags.parts ? 'fatal_part' : undefined;
};

const main = async (): Promise<void> => {
  const {flags} = meow.default(HELP, {importMeta: import.meta, flags: FLAGS});
  const {minutes, seed, seeds, instances = INSTANCES} = flags;
  if (flags.processes) {
    const play = {seed, seeds, instances: flags.instances};
    const broken = await playProcesses.playProcesses(play);
    process.stdout.write(`${broken} of ${seeds} seeds broken\n`);
    process.exit(broken > 0 ? 1 : 0);
  }
  const end =
    minutes === undefined ? Infinity : Date.now() + minutes * MS_PER_MINUTE;
  const last = minutes === undefined ? seed + seeds : Infinity;
  let next = seed;
  let failedSeeds = 0;
  const runSeeds = async (): Promise<void> => {
    while (next < last && Date.now() < end) {
      const result = await runSoak.runSoak({
        seed: next++,
        instances,
        upstreams: flags.repeats ? REPEATS_UPSTREAMS : UPSTREAMS,
        durationMs: flags.repeats ? REPEATS_DURATION_MS : DURATION_MS,
        only: findOnly(flags),
      });
      print(result);
      failedSeeds += result.violations.length > 0 ? 1 : 0;
    }
  };
  await Promise.all(Array.from({length: flags.atOnce}, runSeeds));
  process.stdout.write(`${failedSeeds} of ${next - seed} seeds broken\n`);
  // A finished run can leave the fakes busy; see docs/measurements.
  process.exit(failedSeeds > 0 ? 1 : 0);
};

await main();
