/** `CommandStreams` of this process, for the binary. */
import * as fs from 'node:fs';
import type * as command from './command.js';

/** Standard output and error, and the file system. */
export const PROCESS_STREAMS: command.CommandStreams = {
  out: text => process.stdout.write(text),
  err: text => process.stderr.write(text),
  isTerminal: process.stderr.isTTY,
  readFile: path => fs.readFileSync(path, 'utf8'),
};
