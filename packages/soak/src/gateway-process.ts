/** Runs one gateway instance as a child process, restarted when it exits. */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as url from 'node:url';

const MAIN = url.fileURLToPath(
  new URL('../../amaranthknot/src/main.ts', import.meta.url),
);

/**
 * Time after its start in which a process gets no SIGHUP, in milliseconds. A
 * SIGHUP ends a process that has not installed its handler, and the loader
 * takes a second, as the gateway runs from source here.
 */
const STARTUP_MS = 3_000;

/** Delay between the exit of a process and its restart, in milliseconds. */
const RESTART_DELAY_MS = 200;

/** A gateway process that is restarted until `terminate`. */
export class GatewayProcess {
  private child: childProcess.ChildProcess | undefined;
  private shouldRestart = true;
  /** Exits without a SIGKILL or SIGTERM of the soak, as id, code and signal. */
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
    // The child must not outlive a soak that exits early.
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

  /** Sends a signal to the process, if it runs. */
  signal(name: 'SIGKILL' | 'SIGTERM' | 'SIGSTOP' | 'SIGCONT' | 'SIGHUP'): void {
    this.isExitExpected ||= name === 'SIGKILL' || name === 'SIGTERM';
    this.child?.kill(name);
  }

  /** Sends SIGHUP (reload of settings), except shortly after the start. */
  reload(): void {
    if (Date.now() - this.startedAtMs >= STARTUP_MS) {
      this.signal('SIGHUP');
    }
  }

  /** Kills the process, waits for its exit and does not restart it. */
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
