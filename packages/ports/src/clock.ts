/** Source of time; passed in, so that tests can use virtual time. */
export interface Clock {
  /**
   * Monotonic time in milliseconds, for ages and deadlines: a difference of two
   * readings is never much shorter than the time that has passed. It may be
   * longer.
   */
  now(): number;
  /**
   * Monotonic time in milliseconds, for waits that must be over and for times
   * that a peer may add to its own: a difference of two readings is never longer
   * than the time that has passed. It may be shorter.
   */
  steadyNow(): number;
  /** Wall time in milliseconds since the epoch; may jump either way. */
  wallTime(): number;
  /** Resolves after `ms` milliseconds, or at once when `signal` aborts. */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
}

/** The clock of this process. */
export const systemClock: Clock = {
  now: () => performance.now(),
  steadyNow: () => performance.now(),
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
 * By how much the wall clock must advance more than the monotonic clock, in
 * milliseconds, for the machine to count as suspended. It is larger than
 * what slewing adds within seconds, and ages may be too short by this time at
 * most.
 */
const SUSPENSION_MS = 100;

/**
 * Creates a clock whose `now` includes the time for which the machine was
 * suspended. The system's monotonic clock stops during a suspension, so that an
 * instance that resumes after ten seconds would take its old state for fresh.
 *
 * The wall clock shows the gap. If it is set forward, the gap looks the same, and
 * `now` runs ahead: ages become too long, and state is refreshed earlier than
 * necessary. `steadyNow` counts neither.
 */
export const createSuspendAwareClock = (clock: Clock): Clock => {
  let suspendedMs = 0;
  /**
   * Lead of the wall clock over the monotonic one when the last gap was counted,
   * or the lowest since. Short gaps therefore add up until they count.
   */
  let countedLeadMs = clock.wallTime() - clock.now();
  const readLeadMs = (monotonic: number): number =>
    clock.wallTime() - monotonic;
  const now = (): number => {
    const monotonic = clock.now();
    const leadMs = readLeadMs(monotonic);
    if (leadMs - countedLeadMs <= SUSPENSION_MS) {
      countedLeadMs = Math.min(countedLeadMs, leadMs);
      return monotonic + suspendedMs;
    }
    // The process may have been interrupted between the two readings, so the
    // gap counts only if a second pair of readings shows it too.
    const confirmedLeadMs = Math.min(leadMs, readLeadMs(clock.now()));
    if (confirmedLeadMs - countedLeadMs > SUSPENSION_MS) {
      suspendedMs += confirmedLeadMs - countedLeadMs;
      countedLeadMs = confirmedLeadMs;
    }
    return monotonic + suspendedMs;
  };
  return {
    now,
    steadyNow: () => clock.steadyNow(),
    wallTime: () => clock.wallTime(),
    sleep: (ms, signal) => clock.sleep(ms, signal),
  };
};
