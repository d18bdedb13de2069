/**
 * Entry point of the bundle that the users' platform starts. It holds the
 * `gateway` command alone, so that a restarted instance loads no more than it
 * needs before it takes callers.
 */
import type * as gatewayPackage from '@amaranthknot/gateway';
import * as gateway from './commands/gateway.js';
import * as flushStream from './flush-stream.js';
import * as keepOnStreamErrors from './keep-on-stream-errors.js';
import type * as processSignals from './process-signals.js';
import * as processStreams from './process-streams.js';

/**
 * Listens for callers already; a parameter of the function in which the
 * launcher runs this bundle.
 */
declare const callerListener: gatewayPackage.OpenedListener | undefined;

/** Signals that the launcher got before; a parameter as well. */
declare const receivedSignals: readonly processSignals.Signal[];

/** Longest time in which the reason of a refused start is written, in ms. */
const FLUSH_LIMIT_MS = 100;

/** The deploy file passes the command's name first, as to the binary. */
const args = process.argv.slice(3);

keepOnStreamErrors.keepOnStreamErrors();
void gateway
  .runGateway(args, processStreams.PROCESS_STREAMS, {
    callerListener,
    receivedSignals,
  })
  .then(async code => {
    // The launcher's address, which nothing took over, would keep the process
    // running: it would answer no caller and heed no signal.
    await flushStream.flushStream(process.stderr, FLUSH_LIMIT_MS);
    process.exit(code);
  });
