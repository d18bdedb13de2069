/** One gateway instance as a process of its own, started again when it ends. */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as url from 'node:url';

const MAIN = url.fileURLToPath(
  new URL('../../amaranthknot/src/main.ts', import.meta.url),
);

/**
 * Time after its start in which a process is not told to reload, in
 * milliseconds. It runs from source here, and a signal that comes before the
 * program's first line ends any process; the loader takes a second.
 */
const STARTUP_MS = 3_000;

/** Pause before an ended process is started again, in milliseconds. */
const RESTART_DELAY_MS = 200;

/** A process that is kept running. */
export class GatewayProcess {
  private child: childProcess.ChildProcess | undefined;
  private shouldRestart = true;
  /** Ends that no signal of the soak explains. */
  readonly unexpectedExits: string[] = [];
  private isExitExpected = false;
  private startedAtMs = 0;

  constructor(
    readonly id: string,
    private readonly settingsFile: string,
    private readonly logFile: string,
  ) {}

  /** Starts the process. */
  start(): void {
    const log = fs.openSync(this.logFile, 'a');
    const args = ['--import', 'tsx', MAIN, 'gateway', '--settings'];
    const child = childProcess.spawn(
      process.execPath,
      [...args, this.settingsFile],
      {stdio: ['ignore', log, log], cwd: path.dirname(MAIN)},
    );
    fs.closeSync(log);
    this.isExitExpected = false;
    this.startedAtMs = Date.now();
    this.child = child;
    // Where the soak itself ends early, its processes end with it.
    const killOnExit = () => child.kill('SIGKILL');
    process.once('exit', killOnExit);
    child.once('exit', (code, signal) => {
      if (!this.isExitExpected) {
        this.unexpectedExits.push(`${this.id}: code ${code}, signal ${signal}`);
      }
      process.off('exit', killOnExit);
      this.child = undefined;
      if (this.shouldRestart) {
        setTimeout(() => {
          this.restart();
        }, RESTART_DELAY_MS);
      }
    });
  }

  /** Sends a signal to this process, by its id. */
  signal(name: 'SIGKILL' | 'SIGTERM' | 'SIGSTOP' | 'SIGCONT' | 'SIGHUP'): void {
    this.isExitExpected ||= name === 'SIGKILL' || name === 'SIGTERM';
    this.child?.kill(name);
  }

  /** Tells the process that its settings may have changed. */
  reload(): void {
    if (Date.now() - this.startedAtMs >= STARTUP_MS) {
      this.signal('SIGHUP');
    }
  }

  /** Ends the process for good. */
  async terminate(): Promise<void> {
    this.shouldRestart = false;
    const {child} = this;
    if (child) {
      const ended = new Promise(resolve => child.once('exit', resolve));
      this.signal('SIGCONT');
      this.signal('SIGKILL');
      await ended;
    }
  }

  private restart(): void {
    if (this.shouldRestart && !this.child) {
      this.start();
    }
  }
}
