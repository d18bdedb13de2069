/** The ledger's part of a graceful shutdown. */
import type * as ports from '@amaranthknot/ports';
import type * as billLedger from './bill-ledger.js';
import type * as copyStore from './copy-store.js';

/** What a shutdown of the ledger works with. */
export interface DrainLedgerOptions {
  readonly clock: ports.Clock;
  readonly random: () => number;
  readonly bills: billLedger.BillLedger;
  readonly holder: copyStore.CopyStore;
  /** Longest time for it, in milliseconds. */
  readonly timeoutMs: number;
}

/** Mean wait before another try while the platform is out. */
const RETRY_INTERVAL_MS = 1_000;

/**
 * Writes this instance's bills and those it holds for peers; call it after the
 * last answer and before leaving. The copies held are written, not handed on:
 * 1,200 restarts a day would otherwise each leave owners short of a copy until
 * they notice.
 *
 * @returns whether nothing is left. If not, the platform is out, and peers
 *   recover what this instance leaves as after a failure.
 */
export const drainLedger = async (
  options: DrainLedgerOptions,
): Promise<boolean> => {
  const {clock, holder, timeoutMs} = options;
  const deadline = clock.now() + timeoutMs;
  for (;;) {
    const written = await options.bills.flush();
    await holder.recoverDead(
      () => true,
      (incarnation, pending) => options.bills.recover(incarnation, pending),
    );
    if (written && holder.size === 0) {
      return true;
    }
    if (clock.now() >= deadline) {
      return false;
    }
    await clock.sleep(RETRY_INTERVAL_MS * (0.5 + options.random()));
  }
};
