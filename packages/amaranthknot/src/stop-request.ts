/** Waits for a signal or an error that asks this process to stop. */
import type * as processSignals from './process-signals.js';

/** Why an instance stops: a signal, an error, a taken address, or a test. */
export type StopReason = processSignals.Signal | 'error' | 'address' | 'call';

/** A stop that something may ask for; the first reason counts. */
export interface StopRequest {
  readonly request: (reason: StopReason) => void;
  /** Resolves with the first reason. */
  readonly requested: Promise<StopReason>;
}

/** Creates a stop that nothing has asked for yet. */
export const createStopRequest = (): StopRequest => {
  let request: StopRequest['request'] = () => undefined;
  const requested = new Promise<StopReason>(resolve => {
    request = resolve;
  });
  return {request, requested};
};
