import type * as ports from '@amaranthknot/ports';

/** Waits before round `attempt` (from 0): not at 0, then doubling, jittered. */
export const backOff = async (
  options: {readonly clock: ports.Clock; readonly random: () => number},
  backoffMs: number,
  attempt: number,
): Promise<void> => {
  if (attempt > 0) {
    const ms = backoffMs * 2 ** (attempt - 1);
    await options.clock.sleep(ms * (0.5 + options.random()));
  }
};
