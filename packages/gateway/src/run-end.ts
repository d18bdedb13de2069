/** Ends the run of a request at its deadline, or when its caller leaves. */
import type * as events from 'node:events';
import * as ports from '@amaranthknot/ports';
import type * as loopMonitor from './loop-monitor.js';
import type * as runContext from './run-context.js';

/** The end of one run. */
export interface RunEnd {
  /** Aborts, with an `AbortReason`, when no answer is awaited any longer. */
  readonly signal: AbortSignal;
  /**
   * Resolves to whether an answer is still awaited, by all that had arrived.
   *
   * Guards against requests that are sent for callers who have left: in a
   * process that is late, the end of a connection lies unread behind the
   * request, and the timer of the deadline behind what is handled first.
   */
  readonly isAwaited: () => Promise<boolean>;
  /** Stops to wait for the end. */
  readonly stop: () => void;
}

/** A run, and what shows its end. */
export interface AwaitedRun {
  /** Emits `close` when the caller leaves. */
  readonly response: events.EventEmitter;
  /** The caller's connection; emits `end` earlier, once its end is read. */
  readonly connection: events.EventEmitter;
  readonly clock: Pick<ports.Clock, 'now'>;
  readonly loop: loopMonitor.LoopState;
  /** Time at which it ends, by `clock.now`. */
  readonly endsAtMs: number;
  /** Longest time for which the request may have waited unread. */
  readonly waitedMs: number;
  /** Calls the listener when the instance ends; returns what takes it back. */
  readonly onInstanceEnd?: (listener: () => void) => () => void;
}

/**
 * Longest time between a reading of the connections and a send that relies on
 * it, in milliseconds.
 */
const MAX_UNREAD_MS = 200;

/**
 * Times that the connections are read for one send: what many requests do after
 * one reading may take longer than `MAX_UNREAD_MS`, and a saturated process has
 * to go on.
 */
const MAX_READINGS = 3;

/** Resolves once all that arrived a short time ago has been read. */
const whenRecentlyRead = async (
  loop: loopMonitor.LoopState,
  clock: Pick<ports.Clock, 'now'>,
): Promise<void> => {
  for (let readings = 0; readings < MAX_READINGS; readings++) {
    const readAtMs = await loop.whenRead();
    if (clock.now() - readAtMs <= MAX_UNREAD_MS) {
      return;
    }
  }
};

/** Waits for the end of a run. */
export const awaitRunEnd = ({
  response,
  connection,
  clock,
  loop,
  endsAtMs,
  waitedMs,
  onInstanceEnd,
}: AwaitedRun): RunEnd => {
  const abortController = new AbortController();
  const {signal} = abortController;
  const end = (reason: runContext.AbortReason) => {
    abortController.abort(reason);
  };
  const cancelTimeout = ports.startTimeout(() => {
    end('time_up');
  }, endsAtMs - clock.now());
  const onLeave = () => {
    end('caller_left');
  };
  response.once('close', onLeave);
  connection.once('end', onLeave);
  const cancelInstanceEnd = onInstanceEnd?.(() => {
    end('stopping');
  });
  let mustRead = waitedMs > 0;
  return {
    signal,
    isAwaited: async () => {
      if (mustRead || loop.maxWaitMs() > 0) {
        mustRead = false;
        await whenRecentlyRead(loop, clock);
      }
      if (clock.now() >= endsAtMs) {
        end('time_up');
      }
      return !signal.aborted;
    },
    stop: () => {
      cancelTimeout();
      cancelInstanceEnd?.();
      response.off('close', onLeave);
      connection.off('end', onLeave);
    },
  };
};
