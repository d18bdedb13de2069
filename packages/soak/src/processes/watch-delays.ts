/** Notes when the soak's own event loop is late, as its readings are then. */
import * as ports from '@amaranthknot/ports';
import type * as checkRequests from './check-requests.js';

const TICK_MS = 10;

/** A tick that is later than this counts, in milliseconds. */
const MIN_DELAY_MS = 10;

/** Notes delays in `delays` until the function that it returns is called. */
export const watchDelays = (delays: checkRequests.Span[]): (() => void) => {
  let lastMs = ports.systemClock.now();
  const timer = setInterval(() => {
    const now = ports.systemClock.now();
    const fromMs = lastMs + TICK_MS;
    if (now - fromMs > MIN_DELAY_MS) {
      delays.push({fromMs, toMs: now});
    }
    lastMs = now;
  }, TICK_MS);
  return () => {
    clearInterval(timer);
  };
};
