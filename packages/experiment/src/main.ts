/**
 * Plays policies against each other on deployments drawn from seeds:
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
  Plays the gateway's placement and cascade against plain baselines, on
  deployments drawn from seeds, in virtual time.

  Usage
    $ npm run experiment -- [--seeds N] [--first N] [--policy NAME ...] [--json]

  Options
    --seeds N      deployments to play (10)
    --first N      seed of the first one (1)
    --held-out     judge on seeds from ${drawDeployment.FIRST_HELD_OUT_SEED} on; what is seen there must
                   not shape a policy
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

/** What is wrong with the command line, if anything. */
const findProblem = (
  first: number,
  seeds: number,
  names: readonly string[],
): string | undefined => {
  const isPositiveInteger = (value: number) =>
    Number.isInteger(value) && value > 0;
  if (!isPositiveInteger(first) || !isPositiveInteger(seeds)) {
    return '--first and --seeds take whole numbers above 0';
  }
  const last = first + seeds - 1;
  if (!cli.flags.heldOut && last >= drawDeployment.FIRST_HELD_OUT_SEED) {
    return `seeds from ${drawDeployment.FIRST_HELD_OUT_SEED} on are for judging: say --held-out`;
  }
  const known: readonly string[] = policies.POLICY_NAMES;
  const unknown = names.find(name => !known.includes(name));
  return unknown === undefined
    ? undefined
    : `unknown policy ${unknown}; there are ${known.join(', ')}`;
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
  const asked = cli.flags.policy ?? [];
  const problem = findProblem(first, seeds, asked);
  if (problem !== undefined || REFERENCE === undefined) {
    process.stderr.write(`${problem ?? 'there is no policy'}\n`);
    return 2;
  }
  const names = policies.POLICY_NAMES.filter(
    name => asked.length === 0 || name === REFERENCE || asked.includes(name),
  );
  const played: comparisons.SimulationResult[] = [];
  for (let seed = first; seed < first + seeds; seed++) {
    const deployment = drawDeployment.drawDeployment(seed);
    for (const policy of names) {
      const outcome = await simulation.runSimulation(deployment, policy);
      played.push({seed, policy, outcome});
    }
    process.stderr.write(`played ${seed - first + 1} of ${seeds}\n`);
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
