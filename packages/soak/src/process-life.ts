/** What happened to one process of an instance, from its start to its end. */

/** Signals that a soak sends. */
export type SignalName =
  'SIGKILL' | 'SIGTERM' | 'SIGSTOP' | 'SIGCONT' | 'SIGHUP';

/** Why a signal was sent; `grace` and `memory` are the platform's own. */
export type SignalCause = 'fault' | 'grace' | 'memory' | 'over';

/** A signal; times are on the soak's clock. */
export interface SentSignal {
  readonly name: SignalName;
  readonly cause: SignalCause;
  readonly atMs: number;
  /** Whether something listened at the callers' address just before. */
  readonly wasListening: boolean;
}

/** How and when a process has ended. */
export interface LifeEnd {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
  readonly atMs: number;
  /** Last lines of its log and of its standard error. */
  readonly readLastLines: () => string;
}

/** One process of an instance. */
export interface ProcessLife {
  readonly instance: string;
  readonly startedAtMs: number;
  readonly signals: SentSignal[];
  /** Undefined while it runs. */
  end: LifeEnd | undefined;
}

/** Times in which the process did not run, as it was paused. */
export const findPauses = ({
  signals,
}: ProcessLife): readonly {readonly fromMs: number; readonly toMs: number}[] =>
  signals
    .filter(({name}) => name === 'SIGSTOP')
    .map(({atMs: fromMs}) => {
      const resumed = signals.find(
        ({name, atMs}) => name === 'SIGCONT' && atMs >= fromMs,
      );
      return {fromMs, toMs: resumed?.atMs ?? Infinity};
    });
