import * as childProcess from 'node:child_process';
import * as readline from 'node:readline';
import * as url from 'node:url';
import * as chai from 'chai';
import * as fakes from '@amaranthknot/fakes';
import * as fixture from './gateway-fixture.js';
import type * as impatientCallers from './impatient-callers.js';

const CALLERS = url.fileURLToPath(
  new URL('impatient-callers.ts', import.meta.url),
);

/** Work in each turn of the event loop, in milliseconds. */
const TURN_MS = 20;

const WAIT_MS = 400;

/** Time in which a close may cross a request, as the users' rule has it, in ms. */
const CROSSING_MS = 500;

/** Starts the process of the callers. */
const startCallers = () => {
  const child = childProcess.spawn(
    process.execPath,
    ['--import', 'tsx', CALLERS],
    {stdio: ['pipe', 'pipe', 'inherit']},
  );
  const output = readline.createInterface({input: child.stdout});
  const lines = output[Symbol.asyncIterator]();
  const readLine = async (): Promise<string> => {
    const line = await lines.next();
    return String(line.value);
  };
  return {
    readLine,
    send: async (burst: impatientCallers.Burst) => {
      child.stdin.write(`${JSON.stringify(burst)}\n`);
      return JSON.parse(await readLine()) as impatientCallers.BurstResult;
    },
    stop: () => child.kill(),
  };
};

/** Fills each turn of the event loop with work until it is stopped. */
const startWork = () => {
  let isStopped = false;
  const work = () => {
    fakes.holdLoop(TURN_MS);
    if (!isStopped) {
      setImmediate(work);
    }
  };
  work();
  return () => {
    isStopped = true;
  };
};

describe('an instance on which many callers open connections at once', () => {
  it('sends nothing on for those that left while they waited to be accepted', async () => {
    // Guards against work for nobody: Node.js accepts one connection a turn.
    const gateway = await fixture.startGateway();
    const callers = startCallers();
    await gateway.register('u-1', {address: await callers.readLine()});
    const port = gateway.settings[0]?.listen.callers.port ?? 0;
    const stopWork = startWork();
    const result = await callers.send({
      callers: 60,
      port,
      waitMs: WAIT_MS,
      resultAfterMs: 4_000,
    });
    stopWork();
    callers.stop();
    await gateway.stop();
    chai.expect(result.arrived, 'some are served').greaterThan(0);
    const late = result.goneForMs.filter(forMs => forMs > CROSSING_MS);
    chai.expect(late).deep.equal([]);
  });
});
