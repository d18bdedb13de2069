/** Runs one process of the built product, as the users' platform starts it. */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import type * as stream from 'node:stream';
import * as deployedArtefact from './deployed-artefact.js';
import * as residentMemory from './read-resident-bytes.js';

/** How a process has ended. */
export interface ProcessEnd {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** A running process and what it has written. */
export class ArtefactProcess {
  /** The process; its standard output and error are pipes. */
  readonly child: childProcess.ChildProcessByStdio<
    null,
    stream.Readable,
    stream.Readable
  >;
  /** Resolves when the process has ended. */
  readonly ended: Promise<ProcessEnd>;
  /** How it has ended; undefined while it runs. */
  end: ProcessEnd | undefined;
  /** What was read from its standard output and error. */
  out = '';
  err = '';

  constructor(command: deployedArtefact.ProcessCommand) {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'amaranthknot-run-'));
    const settings = path.join(folder, 'settings.toml');
    fs.writeFileSync(settings, command.settings);
    const child = childProcess.spawn(command.program, [...command.args], {
      cwd: command.cwd,
      env: {...command.env, [deployedArtefact.SETTINGS_VARIABLE]: settings},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child = child;
    child.stdout.on('data', (text: Buffer) => {
      this.out += text.toString();
    });
    child.stderr.on('data', (text: Buffer) => {
      this.err += text.toString();
    });
    // The process must not outlive a test run that exits early.
    const killOnExit = () => child.kill('SIGKILL');
    process.once('exit', killOnExit);
    this.ended = new Promise(resolve => {
      child.once('exit', (code, signal) => {
        process.off('exit', killOnExit);
        fs.rmSync(folder, {recursive: true});
        this.end = {code, signal};
        resolve(this.end);
      });
    });
  }

  /** Resident memory in bytes; 0 once it has ended. */
  get residentBytes(): number {
    return residentMemory.readResidentBytes(this.child.pid);
  }

  /** The complete lines of its log that it wrote with `event`. */
  findLines(event: string): readonly Readonly<Record<string, unknown>>[] {
    return this.out
      .split('\n')
      .slice(0, -1)
      .map(line => JSON.parse(line) as Readonly<Record<string, unknown>>)
      .filter(({message}) => message === event);
  }

  /** Kills the process and waits for its end. */
  async kill(): Promise<void> {
    this.child.kill('SIGKILL');
    await this.ended;
  }
}
