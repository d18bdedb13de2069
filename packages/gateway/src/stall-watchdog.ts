/**
 * Stall watchdog of a stream: probes a silent upstream first, and fails over
 * when it is unreachable or has been silent for too long.
 */

/** A running watchdog of one stream. */
export interface StallWatchdog {
  /** Restarts the timers; call it when bytes arrive. */
  readonly reset: () => void;
  /** Counts no silence until the next reset: the upstream isn't read. */
  readonly hold: () => void;
  readonly stop: () => void;
}

/** Settings of a watchdog; times are in milliseconds of silence. */
export interface StallWatchdogOptions {
  readonly probeAfterMs: number;
  readonly stallAfterMs: number;
  readonly isReachable: () => Promise<boolean>;
  /**
   * Fails over if the request can go on elsewhere, and returns whether it did.
   * Otherwise the watchdog goes on: an upstream that is only slow may still
   * complete the answer.
   */
  readonly failOver: () => boolean;
}

/** A watchdog that does nothing. */
export const NO_WATCHDOG: StallWatchdog = {
  reset: () => undefined,
  hold: () => undefined,
  stop: () => undefined,
};

/** Starts a watchdog. */
export const startStallWatchdog = (
  options: StallWatchdogOptions,
): StallWatchdog => {
  const {probeAfterMs, stallAfterMs, isReachable, failOver} = options;
  let resets = 0;
  let isOver = false;
  let isHeld = false;
  const stop = () => {
    isOver = true;
    clearTimeout(probeTimer);
    clearTimeout(stallTimer);
  };
  const tryFailOver = (timer: NodeJS.Timeout) => {
    if (isOver) {
      return;
    }
    if (!isHeld && failOver()) {
      stop();
    } else {
      timer.refresh();
    }
  };
  const probe = async (): Promise<void> => {
    const resetsBefore = resets;
    const stillReachable = await isReachable();
    if (!stillReachable && resets === resetsBefore) {
      tryFailOver(probeTimer);
    } else if (!isOver) {
      probeTimer.refresh();
    }
  };
  /** Acts once this process has read what came in time, if nothing did. */
  const actIfSilent = (act: () => void) => {
    const resetsBefore = resets;
    setImmediate(() => {
      if (!isOver && resets === resetsBefore) {
        act();
      }
    });
  };
  const probeTimer = setTimeout(() => {
    actIfSilent(() => void probe());
  }, probeAfterMs);
  const stallTimer = setTimeout(() => {
    actIfSilent(() => {
      tryFailOver(stallTimer);
    });
  }, stallAfterMs);
  return {
    reset: () => {
      isHeld = false;
      resets++;
      probeTimer.refresh();
      stallTimer.refresh();
    },
    hold: () => {
      isHeld = true;
    },
    stop,
  };
};
