/**
 * Keeps the event loop of this process from reading anything for `ms`
 * milliseconds, as one is that waits for its processor.
 */
export const holdLoop = (ms: number): void => {
  const endMs = performance.now() + ms;
  let nowMs = performance.now();
  while (nowMs < endMs) {
    nowMs = performance.now();
  }
};
