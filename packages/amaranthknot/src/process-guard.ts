/**
 * Handles the errors of this process that nothing else handles: logs each, and
 * lets the process leave as by SIGTERM, so that accepted requests get their
 * answers. Going on is not safer, as the state after an unexpected error is
 * unknown.
 *
 * Errors of single connections don't belong here: they are handled where the
 * connection is made.
 */
import type * as events from 'node:events';
import * as describeFailure from './describe-failure.js';

/** Exit code of a process that left because of an error: EX_SOFTWARE. */
export const FAILURE_EXIT_CODE = 70;

/**
 * Errors that are all logged. Of later ones only every power of two is, as a
 * process that leaves may fail at each of its requests.
 */
const MAX_LOGGED_FAILURES = 20;

/** What a process does about its errors. */
export interface ProcessGuardOptions {
  /** Logs an error. */
  readonly log: (failure: describeFailure.Failure) => void;
  /** Lets the process leave; called at the first error only. */
  readonly onFailure: () => void;
  /** Longest time from the first error to the exit, in milliseconds. */
  readonly maxStopMs: () => number;
  /** Ends the process at once; by default `process.exit`. */
  readonly exit?: (code: number) => void;
  /** Emits the errors that nothing handles; by default this process. */
  readonly source?: events.EventEmitter;
}

/** The errors of this process so far. */
export interface ProcessGuard {
  /** Handles an error that was caught in the start or the stop. */
  readonly report: (error: unknown, kind: 'start' | 'stop') => void;
  /** Exit code of this process: 0 without an error. */
  readonly exitCode: () => number;
}

const isLogged = (count: number): boolean =>
  count <= MAX_LOGGED_FAILURES || Number.isInteger(Math.log2(count));

/** Handles the errors of this process from now on. */
export const installProcessGuard = ({
  log,
  onFailure,
  maxStopMs,
  exit = code => process.exit(code),
  source = process,
}: ProcessGuardOptions): ProcessGuard => {
  let count = 0;
  const record = (error: unknown, kind: describeFailure.FailureKind) => {
    count++;
    if (!isLogged(count)) {
      return;
    }
    try {
      log(describeFailure.describeFailure(error, kind, count));
    } catch {
      // No place is left to write to. An error that is thrown while one is
      // handled ends the process at once, with what it has accepted.
    }
  };
  const cutStop = (limitMs: number) => {
    record(new Error(`not stopped after ${limitMs} ms`), 'stop_timeout');
    exit(FAILURE_EXIT_CODE);
  };
  const handle = (error: unknown, kind: describeFailure.FailureKind) => {
    const isFirst = count === 0;
    if (isFirst) {
      const limitMs = maxStopMs();
      setTimeout(cutStop, limitMs, limitMs);
      onFailure();
    }
    record(error, kind);
  };
  source.on('uncaughtException', error => {
    handle(error, 'exception');
  });
  source.on('unhandledRejection', error => {
    handle(error, 'rejection');
  });
  return {
    report: handle,
    exitCode: () => (count === 0 ? 0 : FAILURE_EXIT_CODE),
  };
};
