/**
 * Keeps a background loop running after an error in one of its rounds.
 *
 * Guards against one object of the store, or one message of a peer, that no
 * instance can handle: if each left because of it, all would leave at once, and
 * if the loop ended alone, its instance would go on with what it last knew.
 */
import type * as clocks from './clock.js';

/** What keeps a loop running. */
export interface LoopOptions {
  readonly clock: Pick<clocks.Clock, 'sleep'>;
  readonly signal: AbortSignal;
  /** Called with each error. */
  readonly onError: (error: unknown) => void;
}

/**
 * Pause after an error, in milliseconds: an error that comes up in each round
 * costs little, and is logged five times a second.
 */
const PAUSE_MS = 200;

/** Runs a loop again after each error, until `signal` aborts. */
export const keepRunning = async (
  run: (signal: AbortSignal) => Promise<void>,
  {clock, signal, onError}: LoopOptions,
): Promise<void> => {
  while (!signal.aborted) {
    try {
      await run(signal);
      return;
    } catch (error) {
      onError(error);
    }
    await clock.sleep(PAUSE_MS, signal);
  }
};
