/**
 * `amaranthknot demo`: runs fakes and three entry instances in one process,
 * sends a few requests, and prints a table of their results and bills.
 */
import * as fs from 'node:fs';
import * as configuration from '@amaranthknot/configuration';
import * as fakes from '@amaranthknot/fakes';
import * as ledger from '@amaranthknot/ledger';
import * as ports from '@amaranthknot/ports';
import * as telemetry from '@amaranthknot/telemetry';
import type * as command from '../command.js';
import * as readFlags from '../read-flags.js';
import * as embeddedDeployment from '../embedded-deployment.js';
import type * as entryInstance from '../entry-instance.js';
import * as demoRatings from './demo-ratings.js';
import * as demoRequests from './demo-requests.js';

const HELP = `
  Runs stand-ins and three entry instances in this process, sends a few
  requests, and prints what ran where, its cost and its bills.

  Usage
    $ amaranthknot demo [--timeline]

  Options
    --document FILE   environment document, examples/meetups.toml by default
    --instances FILE  upstreams, examples/meetups-instances.toml by default
    --timeline        print the time line of the whole run too

  Example
    $ npm run demo

  Exit codes
    0 every request did what it must; 1 one did not
`;

const ZONES = ['akl-a', 'akl-b', 'akl-c'];
const ENVIRONMENT = 'trial';

/** Longest wait for the demo's bills to be written, in milliseconds. */
const BILLS_WAIT_MS = 5_000;

/** Waits until all bills are in the object API, and reads them from there. */
const readBills = async (
  running: fakes.FakeDeployment,
  instances: readonly entryInstance.EntryInstance[],
): Promise<ledger.BillSummary> => {
  const deadline = ports.systemClock.now() + BILLS_WAIT_MS;
  const flushAll = () =>
    Promise.all(instances.map(instance => instance.resolve('bills').flush()));
  while (
    (await flushAll()).includes(false) &&
    ports.systemClock.now() < deadline
  ) {
    await ports.systemClock.sleep(50);
  }
  return (await ledger.readBills(running.platform.store)).unsafeCoerce();
};

const printReport = (
  streams: command.CommandStreams,
  results: readonly demoRequests.DemoResult[],
  bills: ledger.BillSummary,
): boolean => {
  const row = (cells: readonly string[]) =>
    `${cells.map((cell, i) => cell.padEnd([42, 26, 12, 6][i] ?? 0)).join(' ')}\n`;
  streams.out(row(['request', 'ran on', 'held', '']));
  for (const result of results) {
    const held = result.passed ? 'yes' : 'NO';
    streams.out(row([result.name, result.ranOn, held, result.detail]));
  }
  streams.out('\n');
  streams.out(row(['bill', 'model', 'cost', 'tokens']));
  for (const bill of bills.bills) {
    const model = bill.version ? `${bill.model}@${bill.version}` : bill.model;
    const cost = bill.cost.toFixed(5);
    streams.out(row([bill.identity, model, cost, String(bill.tokens)]));
  }
  const billed = bills.bills.length;
  const expected = demoRequests.EXPECTED_BILLS;
  const isBilledOnce = billed === expected && bills.duplicates === 0;
  streams.out(
    `\n${billed} bills for ${expected} answered requests, ` +
      `${bills.duplicates} doubled, total cost ${bills.cost.toFixed(5)}\n`,
  );
  return isBilledOnce && results.every(result => result.passed);
};

const run = async (
  args: readonly string[],
  streams: command.CommandStreams,
): Promise<command.ExitCode> => {
  const read = readFlags.readFlags(args, {
    document: {type: 'string', default: 'examples/meetups.toml'},
    instances: {type: 'string', default: 'examples/meetups-instances.toml'},
    timeline: {type: 'boolean', default: false},
  });
  if (read.isLeft()) {
    streams.err(`${read.extract()}\n`);
    return 2;
  }
  const {flags} = read.unsafeCoerce();
  const text = fs.readFileSync(flags.document, 'utf8');
  const document = configuration
    .parseDocument(text, flags.document)
    .unsafeCoerce();
  const listed = fakes.parseInstances(fs.readFileSync(flags.instances, 'utf8'));
  const deployment = await embeddedDeployment.startEmbedded({
    environment: ENVIRONMENT,
    document,
    upstreams: listed,
    zones: ZONES,
    createRandom: demoRatings.createDemoRandom,
  });
  const {instances, addresses, fakes: running} = deployment;
  for (const instance of instances) {
    demoRatings.rateAnswers(instance.resolve('cascades'));
  }
  const results = await demoRequests.sendRequests(addresses, running);
  const bills = await readBills(running, instances);
  const passed = printReport(streams, results, bills);
  if (flags.timeline) {
    const rings = instances.map(instance => instance.resolve('events').read());
    for (const event of telemetry.mergeTimelines(rings)) {
      streams.out(`${telemetry.formatEvent(event)}\n`);
    }
  }
  await deployment.stop();
  return passed ? 0 : 1;
};

/** The command. */
export const demo: command.Command = {
  summary: 'run everything in one process and send a few requests',
  help: HELP,
  run,
};
