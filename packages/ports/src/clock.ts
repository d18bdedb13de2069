/** Source of time; passed in, so that tests can use virtual time. */
export interface Clock {
  /** Monotonic time in milliseconds. */
  now(): number;
  /** Wall time in milliseconds since the epoch; may jump either way. */
  wallTime(): number;
  /** Resolves after `ms` milliseconds, or at once when `signal` aborts. */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
}

/** The clock of this process. */
export const systemClock: Clock = {
  now: () => performance.now(),
  wallTime: () => Date.now(),
  sleep: (ms, signal) =>
    new Promise(resolve => {
      if (signal?.aborted) {
        resolve();
        return;
      }
      const finish = () => {
        clearTimeout(timer);
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      const timer = setTimeout(finish, ms);
      signal?.addEventListener('abort', finish);
    }),
};

/**
 * By how much the wall clock must advance more than the monotonic clock between
 * two readings, in milliseconds, for the machine to count as suspended. It is
 * larger than the drift and slewing of a wall clock between two readings.
 */
const SUSPENSION_MS = 500;

/**
 * Creates a monotonic clock that includes the time for which the machine was
 * suspended. The system's monotonic clock stops during a suspension, so that an
 * instance that resumes after ten seconds would take its old state for fresh.
 * The wall clock shows the gap. If the wall clock is set forward, state is only
 * refreshed earlier than necessary.
 */
export const createSuspendAwareClock = (clock: Clock): Clock => {
  let suspendedMs = 0;
  let lastNow = clock.now();
  let lastWall = clock.wallTime();
  const now = (): number => {
    const monotonic = clock.now();
    const wall = clock.wallTime();
    const gapMs = wall - lastWall - (monotonic - lastNow);
    if (gapMs > SUSPENSION_MS) {
      suspendedMs += gapMs;
    }
    lastNow = monotonic;
    lastWall = wall;
    return monotonic + suspendedMs;
  };
  return {
    now,
    wallTime: () => clock.wallTime(),
    sleep: (ms, signal) => clock.sleep(ms, signal),
  };
};
