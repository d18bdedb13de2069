import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
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

describe('start-cached.cjs', () => {
  it('survives SIGHUP while the program is still loading', async () => {
    // Settings can change while an instance restarts. SIGHUP that arrives
    // before the program has a handler would end the process, and the instance
    // would be missing for longer.
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'early-reload-'));
    const start = path.join(folder, 'start-cached.cjs');
    fs.copyFileSync(START, start);
    fs.writeFileSync(path.join(folder, 'amaranthknot.cjs'), SLOW_BUNDLE);
    const child = childProcess.spawn(process.execPath, [start]);
    let output = '';
    child.stdout.on('data', (chunk: Buffer) => {
      output += chunk.toString();
      if (output === 'loading\n') {
        child.kill('SIGHUP');
      }
    });
    const code = await new Promise(resolve => child.once('exit', resolve));
    fs.rmSync(folder, {recursive: true});
    chai.expect(output).equal('loading\nrunning\n');
    chai.expect(code).equal(0);
  });
});
