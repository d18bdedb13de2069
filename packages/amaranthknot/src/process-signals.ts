/**
 * Signals that ask this process to stop or to reload its settings.
 *
 * Guards against a signal that ends the process at once, with the requests that
 * it has accepted: one that comes before the program is ready for it, or once
 * more while it stops.
 */

/** The signals that never end a process which listens for them. */
export const SIGNALS = ['SIGTERM', 'SIGINT', 'SIGHUP'] as const;

/** One of these signals. */
export type Signal = (typeof SIGNALS)[number];

/** What emits an event for each signal; `process`, except in tests. */
export interface SignalSource {
  on(name: Signal, listener: () => void): unknown;
}

/** Listens for signals, and keeps them until there is a handler. */
export class ProcessSignals {
  private kept: Signal[];
  private handler: ((signal: Signal) => void) | undefined;

  /** @param received signals that came before, in order. */
  constructor(source: SignalSource, received: readonly Signal[] = []) {
    this.kept = [...received];
    SIGNALS.forEach(signal => {
      source.on(signal, () => {
        this.deliver(signal);
      });
    });
  }

  /** Calls `handler` for each signal, also for those that came already. */
  handle(handler: (signal: Signal) => void): void {
    this.handler = handler;
    const kept = this.kept;
    this.kept = [];
    kept.forEach(handler);
  }

  private deliver(signal: Signal): void {
    if (this.handler) {
      this.handler(signal);
    } else {
      this.kept.push(signal);
    }
  }
}

let ofThisProcess: ProcessSignals | undefined;

/**
 * Listens for the signals of this process from the first call on.
 *
 * @param received signals that came before the first call.
 */
export const listenForSignals = (
  received?: readonly Signal[],
): ProcessSignals => {
  ofThisProcess ??= new ProcessSignals(process, received);
  return ofThisProcess;
};
