// Checks that two builds of the product are compatible, as an upgrade needs:
//
//   node tools/mixed-builds.js --old BINARY --new BINARY
//
// The new build runs the fakes of the platform and its upstreams. Each build
// reads settings, documents, claims, sessions and configuration history that
// the other one wrote; then instances of both run in one fleet. Prints one line
// per check, and exits with 1 if any fails.
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';
import * as util from 'node:util';

const ROOT = path.dirname(path.dirname(url.fileURLToPath(import.meta.url)));
const EXAMPLES = path.join(ROOT, 'examples');
const KEY = 'meetups-example-key-tamaki-newcomers';
const ZONES = ['akl-a', 'akl-b', 'akl-c'];
const FIRST_PORT = 8081;
const PLATFORM = 'http://127.0.0.1:7000';
/** Timeout of each wait, in milliseconds. */
const WAIT_MS = 30_000;

const {values} = util.parseArgs({
  options: {old: {type: 'string'}, new: {type: 'string'}},
});
if (!values.old || !values.new) {
  console.error('usage: mixed-builds.js --old BINARY --new BINARY');
  process.exit(2);
}
const BINARIES = {old: path.resolve(values.old), new: path.resolve(values.new)};
const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'amaranthknot-mixed-'));
const children = new Set();
let failures = 0;

const report = (name, isOk, detail = '') => {
  failures += isOk ? 0 : 1;
  console.log(`${isOk ? 'ok  ' : 'FAIL'} ${name}${isOk ? '' : `: ${detail}`}`);
};

const spawn = (build, args, logName) => {
  const log = fs.openSync(path.join(folder, `${logName}.log`), 'a');
  const child = childProcess.spawn(BINARIES[build], args, {
    stdio: ['ignore', log, log],
  });
  fs.closeSync(log);
  children.add(child);
  child.once('exit', () => children.delete(child));
  return child;
};

const waitFor = async (what, isDone) => {
  const deadline = Date.now() + WAIT_MS;
  while (!(await isDone())) {
    if (Date.now() > deadline) {
      throw new Error(`not seen within ${WAIT_MS} ms: ${what}`);
    }
    await new Promise(resolve => setTimeout(resolve, 100));
  }
};

const addressOf = index => `127.0.0.1:${FIRST_PORT + index}`;

const settingsOf = index => {
  const file = path.join(folder, `entry-${index + 1}.toml`);
  const text = fs
    .readFileSync(path.join(EXAMPLES, 'settings.toml'), 'utf8')
    .replace('id = "entry-1"', `id = "entry-${index + 1}"`)
    .replace('zone = "tunis"', `zone = "${ZONES[index]}"`)
    .replace('listen = "127.0.0.1:8081"', `listen = "${addressOf(index)}"`);
  fs.writeFileSync(file, text);
  return file;
};

const send = async (index, method, route, body, headers = {}) => {
  const answer = await fetch(`http://${addressOf(index)}${route}`, {
    method,
    headers: {
      authorization: `Bearer ${KEY}`,
      'content-type': 'application/json',
      ...headers,
    },
    ...(body === undefined ? {} : {body: JSON.stringify(body)}),
  });
  return {
    status: answer.status,
    text: await answer.text(),
    headers: answer.headers,
  };
};

const isReady = async index => {
  try {
    return (await send(index, 'GET', '/readyz')).status === 200;
  } catch {
    return false;
  }
};

const instances = new Map();

const startInstance = async (index, build) => {
  const args = ['serve', '--settings', settingsOf(index)];
  instances.set(index, spawn(build, args, `entry-${index + 1}-${build}`));
  await waitFor(`entry-${index + 1} (${build}) is ready`, () => isReady(index));
};

const stopInstance = async (index, signal = 'SIGTERM') => {
  const child = instances.get(index);
  const ended = new Promise(resolve => child.once('exit', resolve));
  child.kill(signal);
  return ended;
};

/**
 * Runs one command of a build. The event loop goes on meanwhile: it has to read
 * that an instance closed an idle connection before `fetch` uses it again.
 */
const run = async (build, ...args) => {
  const child = childProcess.spawn(BINARIES[build], args, {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const read = async output => {
    const chunks = await output.toArray();
    return Buffer.concat(chunks).toString();
  };
  const ended = new Promise(resolve => child.once('close', resolve));
  const [status, out, err] = await Promise.all([
    ended,
    read(child.stdout),
    read(child.stderr),
  ]);
  let json;
  try {
    json = JSON.parse(out);
  } catch {
    json = undefined;
  }
  return {status, json, text: out + err};
};

const runCli = (build, index, ...args) =>
  run(build, ...args, '--settings', settingsOf(index), '--json');

const TRIAL = ['--environment', 'trial'];

let answeredChats = 0;
const bookedKeys = new Set();

const chat = async (index, stream = false, headers = {}) => {
  const body = {
    model: 'welcome-pack',
    messages: [{role: 'user', content: 'hello'}],
    stream,
  };
  const answer = await send(
    index,
    'POST',
    '/v1/chat/completions',
    body,
    headers,
  );
  answeredChats += answer.status === 200 ? 1 : 0;
  return answer;
};

const book = async (index, key, seat) => {
  const headers = {'idempotency-key': key};
  const route = '/services/bookings/seats';
  const answer = await send(index, 'POST', route, {seat}, headers);
  if (answer.status === 200) {
    bookedKeys.add(key);
  }
  return answer;
};

const documentWith = (name, change) => {
  const file = path.join(folder, `${name}.toml`);
  const text = fs.readFileSync(path.join(EXAMPLES, 'meetups.toml'), 'utf8');
  fs.writeFileSync(file, change(text));
  return file;
};

const checkAnswers = async (name, index) => {
  const plain = await chat(index);
  report(`${name}: plain answer`, plain.status === 200, plain.text);
  const streamed = await chat(index, true);
  const isWhole = streamed.text.trimEnd().endsWith('data: [DONE]');
  report(
    `${name}: streamed answer is whole`,
    isWhole,
    streamed.text.slice(-99),
  );
};

/** Checks that build `to` can read what build `from` wrote. */
const checkHandover = async (from, to, key, quality) => {
  const document = documentWith(`document-${from}`, text =>
    text.replace(/quality_target = 0\.93/, `quality_target = ${quality}`),
  );
  // An instance is ready only once a document is active.
  const applied = await runCli(from, 0, 'apply', document, ...TRIAL);
  await startInstance(0, from);
  report(`${from} applies a document`, applied.status === 0, applied.text);
  await checkAnswers(`${from} alone`, 0);
  const first = await book(0, key, 1);
  report(`${from} books`, first.status === 200, first.text);
  const session = (await chat(0)).headers.get('x-session-token');
  const code = await stopInstance(0);
  report(`${from} stops gracefully`, code === 0, `exit code ${code}`);

  await startInstance(0, to);
  const status = await runCli(to, 0, 'status', ...TRIAL);
  report(
    `${to} has ${from}'s configuration in force`,
    status.status === 0 && status.json?.generation === applied.json?.generation,
    status.text,
  );
  const diff = await runCli(to, 0, 'diff', document, ...TRIAL);
  report(
    `${to} finds no change in ${from}'s document`,
    diff.json?.changes?.length === 0,
    diff.text,
  );
  await checkAnswers(`${to} after ${from}`, 0);
  const again = await book(0, key, 1);
  report(
    `${to} repeats ${from}'s booking`,
    again.status === 200 && again.text === first.text,
    again.text,
  );
  const other = await book(0, key, 2);
  report(
    `${to} refuses another request under ${from}'s key`,
    other.text.includes('idempotency_key_reused'),
    other.text,
  );
  const kept = await chat(
    0,
    false,
    session ? {'x-session-token': session} : {},
  );
  report(
    `${to} takes ${from}'s session token`,
    session !== null && kept.status === 200,
    `token ${session}: ${kept.text}`,
  );
  await stopInstance(0);
};

const listInstances = async index =>
  (await send(index, 'GET', '/v1/entry-instances')).text;

/** Checks a fleet with instances of both builds. */
const checkMixedFleet = async () => {
  const builds = ['old', 'new', 'old'];
  for (const [index, build] of builds.entries()) {
    await startInstance(index, build);
  }
  for (const [index, build] of builds.entries()) {
    await waitFor(`${build} lists all`, async () => {
      const text = await listInstances(index);
      return builds.every((_, other) => text.includes(addressOf(other)));
    });
    report(`entry-${index + 1} (${build}) lists all instances`, true);
  }
  for (const [build, quality] of [
    ['old', 0.9],
    ['new', 0.91],
  ]) {
    const document = documentWith(`mixed-${build}`, text =>
      text.replace(/quality_target = 0\.93/, `quality_target = ${quality}`),
    );
    const applied = await runCli(
      build,
      0,
      'apply',
      document,
      '--wait',
      ...TRIAL,
    );
    report(
      `a document applied by ${build} is in force on both builds`,
      applied.status === 0,
      applied.text,
    );
  }
  for (const index of [0, 1, 2]) {
    await checkAnswers(`entry-${index + 1} in a mixed fleet`, index);
  }
  const keys = Array.from({length: 20}, (_, i) => `mixed-${i}`);
  const pairs = await Promise.all(
    keys.map((key, i) =>
      Promise.all([book(i % 2, key, i), book(1 - (i % 2), key, i)]),
    ),
  );
  const repeats = [];
  for (const [i, key] of keys.entries()) {
    repeats.push(
      await Promise.all([0, 1, 2].map(index => book(index, key, i))),
    );
  }
  report(
    'bookings raced and repeated over both builds have one answer each',
    repeats.every(
      answers =>
        answers.every(({status}) => status === 200) &&
        new Set(answers.map(({text}) => text)).size === 1,
    ) && pairs.flat().every(({status}) => status === 200 || status === 409),
    JSON.stringify([pairs[0], repeats[0]]),
  );
  const session = (await chat(0)).headers.get('x-session-token');
  const kept = await chat(1, false, {'x-session-token': session ?? ''});
  report('a session of old goes on at new', kept.status === 200, kept.text);
  for (const build of ['old', 'new']) {
    const out = await runCli(
      build,
      0,
      'zone',
      'out',
      'akl-c',
      '--wait',
      ...TRIAL,
    );
    report(`${build} takes a zone out`, out.status === 0, out.text);
    const back = await runCli(
      build,
      0,
      'zone',
      'in',
      'akl-c',
      '--wait',
      ...TRIAL,
    );
    report(`${build} brings it back`, back.status === 0, back.text);
    const events = await runCli(build, 0, 'timeline', ...TRIAL);
    const seen = new Set(events.json?.events?.map(event => event.instance));
    report(
      `${build} collects the events of all instances`,
      events.status === 0 && seen.size === 3,
      events.text.slice(0, 400),
    );
  }
  await checkRollout();
  await checkStops(builds);
};

const checkRollout = async () => {
  const document = path.join(EXAMPLES, 'meetups.toml');
  const applied = await runCli('old', 0, 'apply', document, '--wait', ...TRIAL);
  report(
    'a roll-out applied by old is in force',
    applied.status === 0,
    applied.text,
  );
  const answers = [];
  for (let i = 0; i < 60; i++) {
    answers.push(await chat(i % 3));
  }
  report(
    'both builds answer during the roll-out',
    answers.every(({status}) => status === 200),
    answers.find(({status}) => status !== 200)?.text,
  );
  const paused = await runCli(
    'new',
    0,
    'rollout',
    'pause',
    'guide-small',
    '--wait',
    ...TRIAL,
  );
  report(
    'new pauses the roll-out everywhere',
    paused.status === 0,
    paused.text,
  );
  const withdrawn = await runCli(
    'old',
    0,
    'rollout',
    'withdraw',
    'guide-small',
    '--wait',
    ...TRIAL,
  );
  report('old withdraws it everywhere', withdrawn.status === 0, withdrawn.text);
};

const checkStops = async builds => {
  const streams = [1, 1, 1].map(index => chat(index, true));
  const code = await stopInstance(1);
  const texts = await Promise.all(streams);
  report(
    'a planned stop of new cuts no stream',
    code === 0 && texts.every(({text}) => text.trimEnd().endsWith('[DONE]')),
    `exit code ${code}`,
  );
  await waitFor('the others drop it', async () => {
    const lists = await Promise.all([0, 2].map(listInstances));
    return lists.every(text => !text.includes(addressOf(1)));
  });
  report('old instances no longer list the stopped one', true);
  await startInstance(1, 'new');
  const key = 'killed-owner';
  await book(0, key, 7);
  await stopInstance(0, 'SIGKILL');
  const repeat = await book(1, key, 7);
  report(
    'new repeats the booking of a killed old one',
    repeat.status === 200,
    repeat.text,
  );
  await startInstance(0, builds[0]);
  await checkAnswers('entry-1 after a kill', 0);
};

const readBills = async () => {
  const answer = await fetch(`${PLATFORM}/objects/bill-segment`);
  const {objects} = await answer.json();
  return objects.flatMap(({value}) => value.bills);
};

/** Waits for the bills of the killed instance, which its peers write. */
const checkBills = async () => {
  const expected = answeredChats + bookedKeys.size;
  let identities = [];
  const hasAll = async () => {
    identities = (await readBills()).map(({identity}) => identity);
    return new Set(identities).size >= expected;
  };
  await waitFor(`${expected} bills`, hasAll).catch(() => undefined);
  report(
    'each answer of both builds is billed once',
    new Set(identities).size === expected && identities.length === expected,
    `${expected} answers, ${identities.length} bills`,
  );
};

const REFUSED =
  /refused|malformed|unknown method|invalid (params|message)|internal_error/i;

const checkLogs = () => {
  for (const name of fs
    .readdirSync(folder)
    .filter(file => /^entry.*\.log$/.test(file))) {
    const lines = fs.readFileSync(path.join(folder, name), 'utf8').split('\n');
    const bad = lines.filter(
      line => REFUSED.test(line) && !line.includes('claim_refused'),
    );
    report(
      `${name}: no message refused`,
      bad.length === 0,
      bad.slice(0, 3).join('\n'),
    );
  }
};

const main = async () => {
  const entries = ZONES.flatMap((zone, index) => [
    '--entry',
    `entry-${index + 1}=${addressOf(index)}@${zone}`,
  ]);
  const listed = path.join(EXAMPLES, 'meetups-instances.toml');
  spawn(
    'new',
    ['fakes', '--instances', listed, '--token-ms', '5', ...entries],
    'fakes',
  );
  await new Promise(resolve => setTimeout(resolve, 2_000));
  await checkHandover('old', 'new', 'handover-1', 0.92);
  await checkHandover('new', 'old', 'handover-2', 0.94);
  await checkMixedFleet();
  await checkBills();
  checkLogs();
};

try {
  await main();
} catch (error) {
  report('the run ends', false, String(error.stack));
} finally {
  for (const child of children) {
    child.kill('SIGKILL');
  }
}
console.log(`${failures} failed; logs in ${folder}`);
process.exit(failures > 0 ? 1 : 0);
