/** Runs one gateway instance as a child process, restarted when it exits. */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as ports from '@amaranthknot/ports';
import * as deployedArtefact from './artefact/deployed-artefact.js';
import * as residentMemory from './artefact/read-resident-bytes.js';
import * as listening from './is-listening.js';
import type * as processLife from './process-life.js';

/** Delay between the exit of a process and its restart, in milliseconds. */
const RESTART_DELAY_MS = 200;

/** Where one process writes. */
export interface ProcessOutput {
  /** Descriptors of its standard output and error. */
  readonly stdio: readonly [number, number];
  /** Closes the descriptors here, once the process has its own. */
  readonly release: () => void;
  /** The last lines that were read from it. */
  readonly readLastLines: () => string;
}

/** Options of one instance. */
export interface GatewayProcessOptions {
  readonly id: string;
  /** Address for callers, as IP:PORT. */
  readonly address: string;
  readonly command: deployedArtefact.ProcessCommand;
  /** Where the settings of the command are written. */
  readonly settingsFile: string;
  /** Opens the output of a process that is about to start. */
  readonly openOutput: () => ProcessOutput;
  /** A process has ended, and its successor has not started. */
  readonly onEnd?: () => void;
}

/** Opens a log file, which never breaks. */
export const openLogFile = (file: string): ProcessOutput => {
  const log = fs.openSync(file, 'a');
  return {
    stdio: [log, log],
    release: () => {
      fs.closeSync(log);
    },
    readLastLines: () => `log ${file}`,
  };
};

/** The built product as a process that is restarted until `terminate`. */
export class GatewayProcess {
  /** All its processes so far, the newest last. */
  readonly lives: processLife.ProcessLife[] = [];
  /** Most resident memory that was seen, in bytes. */
  peakBytes = 0;
  private child: childProcess.ChildProcess | undefined;
  private shouldRestart = true;

  constructor(private readonly options: GatewayProcessOptions) {
    this.changeSettings(options.command.settings);
  }

  get id(): string {
    return this.options.id;
  }

  /** The process that runs; undefined between two. */
  get life(): processLife.ProcessLife | undefined {
    return this.child ? this.lives.at(-1) : undefined;
  }

  /** Writes other settings, for the next reload or start. */
  changeSettings(settings: string): void {
    fs.writeFileSync(this.options.settingsFile, settings);
  }

  /** Starts the process. */
  start(): void {
    const {id, command, settingsFile} = this.options;
    const output = this.options.openOutput();
    const variable = {[deployedArtefact.SETTINGS_VARIABLE]: settingsFile};
    const child = childProcess.spawn(command.program, [...command.args], {
      cwd: command.cwd,
      env: {...command.env, ...variable},
      stdio: ['ignore', ...output.stdio],
    });
    output.release();
    const life: processLife.ProcessLife = {
      instance: id,
      startedAtMs: ports.systemClock.now(),
      signals: [],
      end: undefined,
    };
    this.lives.push(life);
    this.child = child;
    // The child must not outlive a soak that exits early.
    const killOnExit = () => child.kill('SIGKILL');
    process.once('exit', killOnExit);
    child.once('exit', (code, signal) => {
      const atMs = ports.systemClock.now();
      const {readLastLines} = output;
      life.end = {code, signal, atMs, readLastLines};
      process.off('exit', killOnExit);
      this.child = undefined;
      this.options.onEnd?.();
      setTimeout(() => {
        this.restart();
      }, RESTART_DELAY_MS);
    });
  }

  /** Sends a signal to the process, if it runs. */
  signal(
    name: processLife.SignalName,
    cause: processLife.SignalCause = 'fault',
  ): void {
    const {life} = this;
    if (!life) {
      return;
    }
    const wasListening = listening.isListening(this.options.address);
    const atMs = ports.systemClock.now();
    life.signals.push({name, cause, atMs, wasListening});
    this.child?.kill(name);
  }

  /** Sends SIGTERM, and SIGKILL if the process still runs after `graceMs`. */
  stop(graceMs: number): void {
    const {life} = this;
    this.signal('SIGTERM');
    setTimeout(() => {
      if (life && this.life === life) {
        this.signal('SIGKILL', 'grace');
      }
    }, graceMs);
  }

  /** Kills a process that holds more memory than `limitBytes`. */
  checkMemory(limitBytes: number): void {
    const bytes = residentMemory.readResidentBytes(this.child?.pid);
    this.peakBytes = Math.max(this.peakBytes, bytes);
    if (bytes > limitBytes) {
      this.signal('SIGKILL', 'memory');
    }
  }

  /** Kills the process, waits for its exit and does not restart it. */
  async terminate(): Promise<void> {
    this.shouldRestart = false;
    const {child} = this;
    if (child) {
      const ended = new Promise(resolve => child.once('exit', resolve));
      this.signal('SIGCONT', 'over');
      this.signal('SIGKILL', 'over');
      await ended;
    }
  }

  private restart(): void {
    if (this.shouldRestart && !this.child) {
      this.start();
    }
  }
}
