/** Watches a silent upstream: first asks whether it is there, then gives up. */

/** A watch over one stream. */
export interface StallWatchdog {
  /** Bytes have come. */
  readonly reset: () => void;
  readonly stop: () => void;
}

/** What a watch does when, in milliseconds of silence. */
export interface StallWatchdogOptions {
  readonly probeAfterMs: number;
  readonly stallAfterMs: number;
  readonly isReachable: () => Promise<boolean>;
  /**
   * Leaves the upstream, if the request can go on elsewhere, and says whether
   * it did. Otherwise the watch goes on: an upstream that is only slow may
   * still bring the whole answer.
   */
  readonly failOver: () => boolean;
}

/** A watch that never ends anything. */
export const NO_WATCHDOG: StallWatchdog = {
  reset: () => undefined,
  stop: () => undefined,
};

/** Begins a watch. */
export const startStallWatchdog = (
  options: StallWatchdogOptions,
): StallWatchdog => {
  const {probeAfterMs, stallAfterMs, isReachable, failOver} = options;
  let resets = 0;
  let isOver = false;
  const stop = () => {
    isOver = true;
    clearTimeout(probing);
    clearTimeout(stalling);
  };
  const tryFailOver = (timer: NodeJS.Timeout) => {
    if (isOver) {
      return;
    }
    if (failOver()) {
      stop();
    } else {
      timer.refresh();
    }
  };
  const probe = async (): Promise<void> => {
    const resetsBefore = resets;
    const isThere = await isReachable();
    if (!isThere && resets === resetsBefore) {
      tryFailOver(probing);
    } else if (!isOver) {
      probing.refresh();
    }
  };
  const probing = setTimeout(() => void probe(), probeAfterMs);
  const stalling = setTimeout(() => {
    tryFailOver(stalling);
  }, stallAfterMs);
  return {
    reset: () => {
      resets++;
      probing.refresh();
      stalling.refresh();
    },
    stop,
  };
};
