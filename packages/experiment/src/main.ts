/**
 * Compares policies by simulation on deployments that are drawn from seeds:
 * `npm run experiment -- --help`.
 */
import * as meow from 'meow';
import * as comparisons from './compare-policies.js';
import * as drawDeployment from './draw-deployment.js';
import * as simulation from './run-simulation.js';
import * as policies from './policy.js';

const [REFERENCE] = policies.POLICY_NAMES;

const cli = meow.default(
  `
  Compares the gateway's placement and cascade with simple baselines, on
  deployments drawn from seeds, in virtual time.

  Usage
    $ npm run experiment -- [--seeds N] [--first N] [--policy NAME ...] [--json]

  Options
    --seeds N      number of deployments (10)
    --first N      first seed (1)
    --held-out     evaluate on seeds from ${drawDeployment.FIRST_HELD_OUT_SEED} on; no policy may be
                   tuned on them
    --policy NAME  ${policies.POLICY_NAMES.join(', ')}; may be repeated (all)
    --json         print the comparison as JSON

  Example
    $ npm run experiment -- --seeds 20 --policy random
`,
  {
    importMeta: import.meta,
    flags: {
      seeds: {type: 'number', default: 10},
      first: {type: 'number', default: 1},
      heldOut: {type: 'boolean', default: false},
      policy: {type: 'string', isMultiple: true},
      json: {type: 'boolean', default: false},
    },
  },
);

/** Returns an error message for a wrong command line. */
const findProblem = (
  first: number,
  seeds: number,
  names: readonly string[],
): string | undefined => {
  const isPositiveInteger = (value: number) =>
    Number.isInteger(value) && value > 0;
  if (!isPositiveInteger(first) || !isPositiveInteger(seeds)) {
    return `--first and --seeds must be positive integers, got ${first}, ${seeds}`;
  }
  const last = first + seeds - 1;
  if (!cli.flags.heldOut && last >= drawDeployment.FIRST_HELD_OUT_SEED) {
    return `seeds from ${drawDeployment.FIRST_HELD_OUT_SEED} on are held out: pass --held-out`;
  }
  const known: readonly string[] = policies.POLICY_NAMES;
  const unknown = names.find(name => !known.includes(name));
  return unknown === undefined
    ? undefined
    : `unknown policy ${unknown}; expected one of ${known.join(', ')}`;
};

const formatRow = (cells: readonly string[]): string => {
  const widths = [16, 8, 22, 10, 24];
  return `${cells.map((cell, i) => cell.padEnd(widths[i] ?? 0)).join(' ')}\n`;
};

const format = (value: number): string => value.toFixed(3);

const printTable = (found: readonly comparisons.Comparison[]): void => {
  process.stdout.write(
    formatRow([
      'policy',
      'value',
      `${REFERENCE ?? ''} is better by`,
      'not worse',
      'worst seed',
    ]),
  );
  for (const row of found) {
    process.stdout.write(
      formatRow([
        row.policy,
        format(row.mean),
        `${format(row.difference)} +- ${format(row.halfInterval)}`,
        format(row.isBeatenPart),
        `${row.worst.seed}: ${format(row.worst.difference)}`,
      ]),
    );
  }
};

const run = async (): Promise<number> => {
  const {seeds, heldOut, json} = cli.flags;
  const first = heldOut
    ? Math.max(cli.flags.first, drawDeployment.FIRST_HELD_OUT_SEED)
    : cli.flags.first;
  const requested = cli.flags.policy ?? [];
  const problem = findProblem(first, seeds, requested);
  if (problem !== undefined || REFERENCE === undefined) {
    process.stderr.write(`${problem ?? 'no policy is defined'}\n`);
    return 2;
  }
  const names = policies.POLICY_NAMES.filter(
    name =>
      requested.length === 0 || name === REFERENCE || requested.includes(name),
  );
  const played: comparisons.SimulationResult[] = [];
  for (let seed = first; seed < first + seeds; seed++) {
    const deployment = drawDeployment.drawDeployment(seed);
    for (const policy of names) {
      const outcome = await simulation.runSimulation(deployment, policy);
      played.push({seed, policy, outcome});
    }
    process.stderr.write(
      `simulated ${seed - first + 1} of ${seeds} deployments\n`,
    );
  }
  const found = comparisons.comparePolicies(played, REFERENCE);
  if (json) {
    process.stdout.write(`${JSON.stringify({first, found, played})}\n`);
  } else {
    printTable(found);
  }
  return 0;
};

process.exitCode = await run();
