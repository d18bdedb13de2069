/**
 * Entry point of the bundle that the users' platform starts. It holds the
 * `gateway` command alone, so that a restarted instance loads no more than it
 * needs before it takes callers.
 */
import * as gateway from './commands/gateway.js';
import * as processStreams from './process-streams.js';

/** The deploy file passes the command's name first, as to the binary. */
const args = process.argv.slice(3);

void gateway.gateway.run(args, processStreams.PROCESS_STREAMS).then(code => {
  process.exitCode = code;
});
