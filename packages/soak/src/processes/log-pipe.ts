/**
 * The log of one process through a pipe, as on the users' machines. Its reader
 * can stop, and it can go away; a process must not end by either.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as net from 'node:net';
import type * as gatewayProcess from '../gateway-process.js';

/** Characters kept of what was read last. */
const KEPT_LENGTH = 600;

/** The pipe of one process, for both its standard output and error. */
export class LogPipe implements gatewayProcess.ProcessOutput {
  readonly stdio: readonly [number, number];
  private readonly reader: net.Socket;
  private last = '';

  /** Creates a pipe; what is read from it is appended to `logFile`. */
  constructor(logFile: string) {
    const file = `${logFile}.pipe`;
    childProcess.execFileSync('mkfifo', [file]);
    const {O_RDONLY, O_NONBLOCK} = fs.constants;
    const from = fs.openSync(file, O_RDONLY | O_NONBLOCK);
    const to = fs.openSync(file, 'w');
    fs.rmSync(file);
    this.stdio = [to, to];
    this.reader = new net.Socket({fd: from, readable: true, writable: false});
    this.reader.on('error', () => undefined);
    this.reader.on('data', (text: Buffer) => {
      fs.appendFileSync(logFile, text);
      this.last = (this.last + text.toString()).slice(-KEPT_LENGTH);
    });
  }

  release(): void {
    fs.closeSync(this.stdio[0]);
  }

  readonly readLastLines = (): string =>
    (this.reader.destroyed ? '(its log was closed) ' : '') + this.last.trim();

  /** Stops reading until `resume`. */
  pause(): void {
    this.reader.pause();
  }

  resume(): void {
    this.reader.resume();
  }

  /** Closes the reader's end for good. */
  close(): void {
    this.reader.destroy();
  }
}
