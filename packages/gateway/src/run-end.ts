/** Ends the run of a request at its deadline, or when its caller leaves. */
import type * as events from 'node:events';
import type * as ports from '@amaranthknot/ports';
import type * as runContext from './run-context.js';

/** The end of one run. */
export interface RunEnd {
  /** Aborts, with an `AbortReason`, when no answer is awaited any longer. */
  readonly signal: AbortSignal;
  /**
   * Whether no answer is awaited any longer.
   *
   * Guards against requests that a busy process sends after their deadline: its
   * timers are late, so the clock is read too.
   */
  readonly isOver: () => boolean;
  /** Stops to wait for the end. */
  readonly stop: () => void;
}

/**
 * Waits for the end of a run.
 *
 * @param response emits `close` when the caller leaves.
 * @param endsAtMs time at which it ends, by `clock.now`.
 */
export const awaitRunEnd = (
  response: events.EventEmitter,
  clock: Pick<ports.Clock, 'now'>,
  endsAtMs: number,
): RunEnd => {
  const abortController = new AbortController();
  const {signal} = abortController;
  const end = (reason: runContext.AbortReason) => {
    abortController.abort(reason);
  };
  const timer = setTimeout(() => {
    end('time_up');
  }, endsAtMs - clock.now());
  const onClose = () => {
    end('caller_left');
  };
  response.once('close', onClose);
  return {
    signal,
    isOver: () => {
      if (clock.now() >= endsAtMs) {
        end('time_up');
      }
      return signal.aborted;
    },
    stop: () => {
      clearTimeout(timer);
      response.off('close', onClose);
    },
  };
};
