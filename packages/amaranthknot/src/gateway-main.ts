/**
 * Entry point of the bundle that the users' platform starts: one command
 * alone, so that an instance that is started again reads and runs no more
 * than it needs before it takes callers.
 */
import * as gateway from './commands/gateway.js';
import * as processStreams from './process-streams.js';

/** The command's name is kept in the deploy file, as for the binary. */
const args = process.argv.slice(3);

void gateway.gateway.run(args, processStreams.PROCESS_STREAMS).then(code => {
  process.exitCode = code;
});
