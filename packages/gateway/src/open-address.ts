/**
 * Opens an address of an instance, and tries again while it isn't available.
 *
 * Guards against a process that ends at its start because its predecessor on the
 * same address still stops, or because the machine gets its address late.
 */
import type * as ports from '@amaranthknot/ports';

/** Pause between two tries, in milliseconds. */
const TRY_INTERVAL_MS = 100;

/** Interval at which an unchanged reason is logged again, in milliseconds. */
const REPORT_INTERVAL_MS = 2_000;

/**
 * Errors that no wait ends: the process has no right to the address, or the
 * address isn't one.
 */
const LASTING_ERRORS: ReadonlySet<string> = new Set([
  'EACCES',
  'EPERM',
  'EINVAL',
  'EAFNOSUPPORT',
  'ERR_SOCKET_BAD_PORT',
]);

/** How opening an address ended. */
export type OpeningOutcome =
  | {readonly kind: 'open'}
  | {readonly kind: 'unavailable'; readonly reason: string}
  /** The signal was aborted first. */
  | {readonly kind: 'stopped'};

/** When and how to try. */
export interface OpeningOptions {
  readonly clock: ports.Clock;
  readonly signal: AbortSignal;
  /**
   * Time of the last try, by `steadyNow`. With `Infinity` it tries until it is
   * stopped, also after a reason that lasts.
   */
  readonly untilMs: number;
  /** Called with a reason that is new, or is still the same after a while. */
  readonly onUnavailable: (reason: string) => void;
  readonly intervalMs?: number;
}

/** The code of an error of the system; its text if it has none. */
export const describeError = (error: unknown): string => {
  const {code, message} = error as {code?: string; message?: string};
  return code ?? message ?? String(error);
};

/** Whether another try may succeed. Errors that aren't known may end. */
export const mayBecomeAvailable = (reason: string): boolean =>
  !LASTING_ERRORS.has(reason);

/**
 * Calls `open`, which rejects if the address isn't available, until it succeeds,
 * the time is up or the reason is one that lasts.
 */
export const openAddress = async (
  open: () => Promise<void>,
  {
    clock,
    signal,
    untilMs,
    onUnavailable,
    intervalMs = TRY_INTERVAL_MS,
  }: OpeningOptions,
): Promise<OpeningOutcome> => {
  let reported: {reason: string; atMs: number} | undefined;
  while (!signal.aborted) {
    const reason = await open().then(() => undefined, describeError);
    if (reason === undefined) {
      return {kind: 'open'};
    }
    const nowMs = clock.steadyNow();
    const isOver = nowMs >= untilMs || !mayBecomeAvailable(reason);
    if (isOver && untilMs !== Infinity) {
      return {kind: 'unavailable', reason};
    }
    if (
      reported?.reason !== reason ||
      nowMs - reported.atMs >= REPORT_INTERVAL_MS
    ) {
      reported = {reason, atMs: nowMs};
      onUnavailable(reason);
    }
    await clock.sleep(intervalMs, signal);
  }
  return {kind: 'stopped'};
};
