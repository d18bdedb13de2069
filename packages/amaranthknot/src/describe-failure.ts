/** Describes an error that nothing handled, within bounds, for one log line. */
import * as util from 'node:util';

/**
 * Where an error came up: thrown with no handler, in a promise with no handler,
 * in the start or the stop of the instance, or in a stop that took too long.
 */
export type FailureKind =
  'exception' | 'rejection' | 'start' | 'stop' | 'stop_timeout';

/** An error that nothing handled. */
export interface Failure {
  readonly kind: FailureKind;
  readonly name: string;
  readonly reason: string;
  readonly stack: string;
  /** How many such errors this process has had, this one included. */
  readonly count: number;
}

/** Longest message and stack in a log line, in characters. */
const MAX_REASON_LENGTH = 500;
const MAX_STACK_LENGTH = 4_000;

/** Describes `error`, which may be of any type. */
export const describeFailure = (
  error: unknown,
  kind: FailureKind,
  count: number,
): Failure => {
  const isError = util.types.isNativeError(error);
  const text = isError ? error.message : util.inspect(error);
  const stack = isError ? String(error.stack) : '';
  return {
    kind,
    name: isError ? error.name : typeof error,
    reason: text.slice(0, MAX_REASON_LENGTH),
    stack: stack.slice(0, MAX_STACK_LENGTH),
    count,
  };
};
