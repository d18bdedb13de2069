/**
 * `amaranthknot demo`: stand-ins and three entry instances in one process, an
 * environment document, a few requests, and a table of what came of them.
 */
import * as crypto from 'node:crypto';
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as configuration from '@amaranthknot/configuration';
import * as standIns from '@amaranthknot/fakes';
import * as ledger from '@amaranthknot/ledger';
import * as membership from '@amaranthknot/membership';
import * as platform from '@amaranthknot/platform';
import * as telemetry from '@amaranthknot/telemetry';
import * as meow from 'meow';
import type * as command from '../command.js';
import * as entryInstance from '../entry-instance.js';
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

/** Finds a free port; the demo's instances must know theirs at the start. */
const findFreePort = (): Promise<number> =>
  new Promise(resolve => {
    const probe = net.createServer();
    probe.listen(0, '127.0.0.1', () => {
      const address = probe.address() as net.AddressInfo;
      probe.close(() => resolve(address.port));
    });
  });

const createSettings = (
  id: string,
  zone: string,
  port: number,
  platformUrl: string,
): configuration.Settings => ({
  instance: {
    id,
    zone,
    region: 'akl',
    environment: ENVIRONMENT,
    listen: {host: '127.0.0.1', port},
  },
  platform: {objectApi: platformUrl, instanceList: platformUrl},
  keys: {
    operatorDigest: '00',
    innerKey: {kind: 'text', text: ''},
    sessionKey: {kind: 'text', text: ''},
  },
  limits: {
    maxBodyBytes: configuration.DEFAULT_MAX_BODY_BYTES,
    maxHeaderBytes: configuration.DEFAULT_MAX_HEADER_BYTES,
    headerTimeoutMs: configuration.DEFAULT_HEADER_TIMEOUT_MS,
    requestTimeoutMs: configuration.DEFAULT_REQUEST_TIMEOUT_MS,
    stopGraceMs: 1_000,
    addressMaxAgeMs: 100,
    maxInFlight: configuration.DEFAULT_MAX_IN_FLIGHT,
    maxPendingBills: configuration.DEFAULT_MAX_PENDING_BILLS,
    maxPendingClaims: configuration.DEFAULT_MAX_PENDING_CLAIMS,
    maxTimelineEvents: configuration.DEFAULT_MAX_TIMELINE_EVENTS,
  },
  log: {level: 'error'},
});

/** Starts one entry instance in each zone. */
const startInstances = async (
  running: standIns.StandIns,
): Promise<readonly entryInstance.EntryInstance[]> => {
  const ports = await Promise.all(ZONES.map(findFreePort));
  const secret = () => crypto.randomBytes(32).toString('hex');
  const secrets = {innerKey: secret(), sessionKey: secret()};
  const instances = ZONES.map((zone, i) => {
    const port = ports[i] ?? 0;
    const id = `entry-${i + 1}`;
    const advertise = `127.0.0.1:${port}`;
    running.platform.register({
      id,
      role: 'entry',
      state: 'live',
      address: advertise,
      zone,
      serves: [],
    });
    return new entryInstance.EntryInstance({
      settings: createSettings(id, zone, port, running.platform.url),
      secrets,
      clock: platform.systemClock,
      advertise,
    });
  });
  await Promise.all(instances.map(instance => instance.start()));
  return instances;
};

/** Waits until every bill is in the object API. */
const readBills = async (
  running: standIns.StandIns,
  instances: readonly entryInstance.EntryInstance[],
): Promise<ledger.BillSummary> => {
  const deadline = platform.systemClock.now() + BILLS_WAIT_MS;
  const flushAll = () =>
    Promise.all(instances.map(instance => instance.parts('bills').flush()));
  while (
    (await flushAll()).includes(false) &&
    platform.systemClock.now() < deadline
  ) {
    await platform.systemClock.sleep(50);
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
    const held = result.held ? 'yes' : 'NO';
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
  const expected = demoRequests.BILLS_EXPECTED;
  const isBilledOnce = billed === expected && bills.duplicates === 0;
  streams.out(
    `\n${billed} bills for ${expected} answered requests, ` +
      `${bills.duplicates} doubled, total cost ${bills.cost.toFixed(5)}\n`,
  );
  return isBilledOnce && results.every(result => result.held);
};

const run = async (
  args: readonly string[],
  streams: command.CommandStreams,
): Promise<command.ExitCode> => {
  const cli = meow.default(HELP, {
    importMeta: import.meta,
    argv: args,
    flags: {
      document: {type: 'string', default: 'examples/meetups.toml'},
      instances: {type: 'string', default: 'examples/meetups-instances.toml'},
      timeline: {type: 'boolean', default: false},
    },
  });
  const text = fs.readFileSync(cli.flags.document, 'utf8');
  const document = configuration
    .parseDocument(text, cli.flags.document)
    .unsafeCoerce();
  const listed = standIns.parseInstances(
    fs.readFileSync(cli.flags.instances, 'utf8'),
  );
  const running = await standIns.startStandIns({
    clock: platform.systemClock,
    instances: listed,
    freePorts: true,
  });
  await membership.publishDocument(
    running.platform.store,
    ENVIRONMENT,
    document,
  );
  const instances = await startInstances(running);
  const addresses = instances.map(
    instance => instance.parts('peers').self().address,
  );
  const results = await demoRequests.sendRequests(addresses, running);
  const bills = await readBills(running, instances);
  const holds = printReport(streams, results, bills);
  if (cli.flags.timeline) {
    const rings = instances.map(instance => instance.parts('events').read());
    for (const event of telemetry.mergeTimelines(rings)) {
      streams.out(`${telemetry.formatEvent(event)}\n`);
    }
  }
  await Promise.all(instances.map(instance => instance.stop()));
  await running.stop();
  return holds ? 0 : 1;
};

/** The command. */
export const demo: command.Command = {
  summary: 'run everything in one process and send a few requests',
  help: HELP,
  run,
};
