/** Timeouts of what a process waits to read. */

/** Cancels a timeout; has no effect once it has passed. */
export type CancelTimeout = () => void;

/**
 * Calls `act` after `delayMs`, and after the event loop has read what has
 * arrived: a process that was busy for longer than a timeout has not yet seen
 * what came in time.
 */
export const startTimeout = (
  act: () => void,
  delayMs: number,
): CancelTimeout => {
  let isCancelled = false;
  const timer = setTimeout(() => {
    setImmediate(() => {
      if (!isCancelled) {
        act();
      }
    });
  }, delayMs);
  return () => {
    isCancelled = true;
    clearTimeout(timer);
  };
};

/** Resolves once the event loop has read what has arrived. */
export const whenTurnRead = (): Promise<void> =>
  new Promise(resolve => {
    setImmediate(resolve);
  });
