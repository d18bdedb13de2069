/**
 * Checks that no process ends that nobody has ended. A process that ends by
 * itself takes all that it has accepted with it.
 */
import type * as invariants from './invariants.js';
import type * as processLife from './process-life.js';

/**
 * Whether SIGHUP met a process that had not run its first line, which nothing
 * in a program can prevent. It listened nowhere, so it had accepted nothing.
 */
export const isEarlyHangup = ({
  signals,
  end,
}: processLife.ProcessLife): boolean =>
  end?.signal === 'SIGHUP' &&
  signals.some(({name, wasListening}) => name === 'SIGHUP' && !wasListening) &&
  !signals.some(({name, wasListening}) => name === 'SIGHUP' && wasListening);

const isEndedByOthers = ({signals, end}: processLife.ProcessLife): boolean => {
  const wasSent = (signal: processLife.SignalName) =>
    signals.some(({name}) => name === signal);
  const signal = end?.signal;
  if (signal === 'SIGKILL' || signal === 'SIGTERM') {
    return wasSent(signal);
  }
  return signal === null && wasSent('SIGTERM') && end?.code === 0;
};

/** Finds processes that ended by themselves or held too much memory. */
export const findProcessEnds = (
  lives: readonly processLife.ProcessLife[],
): readonly invariants.Violation[] =>
  lives.flatMap(life => {
    const {instance, startedAtMs, signals, end} = life;
    const overLimit = signals.some(({cause}) => cause === 'memory');
    if (overLimit) {
      return [
        {
          holds: 'always' as const,
          invariant: 'no process holds more memory than its limit',
          id: instance,
          detail: 'killed as the platform does',
        },
      ];
    }
    if (!end || isEndedByOthers(life) || isEarlyHangup(life)) {
      return [];
    }
    const {code, signal, atMs, readLastLines} = end;
    const sent = signals.map(
      ({name, atMs: sentAtMs}) =>
        `${name} at ${Math.round(sentAtMs - startedAtMs)} ms`,
    );
    const age = Math.round(atMs - startedAtMs);
    return [
      {
        holds: 'always' as const,
        invariant: 'no process ends by itself',
        id: instance,
        detail: `code ${code}, signal ${signal} after ${age} ms, got [${sent.join()}]; ${readLastLines()}`,
      },
    ];
  });
