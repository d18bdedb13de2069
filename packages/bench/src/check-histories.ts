/**
 * Command that runs simulated histories of claims and bills and checks them:
 * `npm run check:histories -- [--seeds N] [--first SEED] [--show SEED]`.
 */
import * as meow from 'meow';
import * as checkHistory from './histories/check-history.js';
import type * as histories from './histories/history.js';
import * as runHistory from './histories/run-history.js';

const cli = meow.default(
  `
  Usage
    $ npm run check:histories -- [--seeds N] [--first SEED] [--show SEED]

  Exit codes: 0 all histories hold, 1 a history breaks a check.

  Example
    $ npm run check:histories -- --seeds 2000
    $ npm run check:histories -- --show 17
`,
  {
    importMeta: import.meta,
    flags: {
      seeds: {type: 'number', default: 100},
      first: {type: 'number', default: 1},
      show: {type: 'number'},
    },
  },
);

const print = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const show = async (seed: number): Promise<void> => {
  const history = await runHistory.runHistory(seed);
  for (const event of history.events) {
    print(JSON.stringify(event));
  }
  for (const violation of checkHistory.checkHistory(history)) {
    print(JSON.stringify(violation));
  }
};

const countEvents = (
  totals: Map<string, number>,
  history: histories.History,
): void => {
  for (const event of history.events) {
    const name = event.type === 'told' ? `told ${event.told}` : event.type;
    totals.set(name, (totals.get(name) ?? 0) + 1);
  }
};

const checkAll = async (first: number, seeds: number): Promise<void> => {
  const totals = new Map<string, number>();
  let broken = 0;
  for (let seed = first; seed < first + seeds; seed++) {
    const history = await runHistory.runHistory(seed);
    countEvents(totals, history);
    const violations = checkHistory.checkHistory(history);
    broken += violations.length > 0 ? 1 : 0;
    for (const {check, identity, message} of violations) {
      print(`seed ${seed}: ${check} ${identity.slice(0, 8)}: ${message}`);
    }
  }
  const seen = [...totals].sort().map(([name, n]) => `${name} ${n}`);
  print(`seeds ${first} to ${first + seeds - 1}: ${broken} broken`);
  print(`events: ${seen.join(', ')}`);
  process.exitCode = broken > 0 ? 1 : 0;
};

if (cli.flags.show === undefined) {
  await checkAll(cli.flags.first, cli.flags.seeds);
} else {
  await show(cli.flags.show);
}
