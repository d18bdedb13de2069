import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';
import * as chai from 'chai';

const START = url.fileURLToPath(
  new URL('../../../../tools/start-cached.cjs', import.meta.url),
);

/** A program that loads slowly, then prints that it is running. */
const SLOW_BUNDLE = `
process.stdout.write('loading\\n');
const end = Date.now() + 300;
while (Date.now() < end);
setTimeout(() => process.stdout.write('running\\n'), 100);
`;

/** As `SLOW_BUNDLE`, and answers each connection to the opened address. */
const SLOW_SERVER_BUNDLE = `
process.stdout.write('loading\\n');
const end = Date.now() + 300;
while (Date.now() < end);
const server = require('node:net').createServer(socket => {
  socket.end('running');
  server.close();
});
server.listen(callerListener.server);
`;

/** A launcher of `bundle` in a folder of its own. */
const createLauncher = (bundle: string): string => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'early-start-'));
  const start = path.join(folder, 'start-cached.cjs');
  fs.copyFileSync(START, start);
  fs.writeFileSync(path.join(folder, 'amaranthknot.cjs'), bundle);
  return start;
};

/** A port that was free a moment ago. */
const findFreePort = async (): Promise<number> => {
  const server = net.createServer();
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as net.AddressInfo;
  await new Promise(resolve => server.close(resolve));
  return port;
};

/** Everything that a connection receives; the error code if it is refused. */
const readConnection = (port: number): Promise<string> =>
  new Promise(resolve => {
    let text = '';
    net
      .connect(port, '127.0.0.1')
      .on('data', (chunk: Buffer) => (text += chunk.toString()))
      .on('error', ({code}: NodeJS.ErrnoException) => (text = String(code)))
      .on('close', () => {
        resolve(text);
      });
  });

describe('start-cached.cjs', () => {
  it('accepts callers while the program is still loading', async () => {
    // Guards against callers that are refused, and spend their retries, while
    // all instances load after a loss of power.
    const start = createLauncher(SLOW_SERVER_BUNDLE);
    const port = await findFreePort();
    const child = childProcess.spawn(process.execPath, [start], {
      env: {...process.env, AMARANTHKNOT_CALLERS: `127.0.0.1:${port}`},
    });
    const exit = new Promise(resolve => child.once('exit', resolve));
    const received = await new Promise(resolve => {
      child.stdout.once('data', () => {
        resolve(readConnection(port));
      });
    });
    chai.expect(received).equal('running');
    chai.expect(await exit).equal(0);
    fs.rmSync(path.dirname(start), {recursive: true});
  });

  it('survives SIGHUP while the program is still loading', async () => {
    // Settings can change while an instance restarts. SIGHUP that arrives
    // before the program has a handler would end the process, and the instance
    // would be missing for longer.
    const start = createLauncher(SLOW_BUNDLE);
    const child = childProcess.spawn(process.execPath, [start]);
    let output = '';
    child.stdout.on('data', (chunk: Buffer) => {
      output += chunk.toString();
      if (output === 'loading\n') {
        child.kill('SIGHUP');
      }
    });
    const code = await new Promise(resolve => child.once('exit', resolve));
    fs.rmSync(path.dirname(start), {recursive: true});
    chai.expect(output).equal('loading\nrunning\n');
    chai.expect(code).equal(0);
  });
});
