/** Writes all bills and copies during a graceful shutdown. */
import type * as ports from '@amaranthknot/ports';
import type * as billLedger from './bill-ledger.js';
import type * as copyStore from './copy-store.js';

/** Dependencies and settings of `drainLedger`. */
export interface DrainLedgerOptions {
  readonly clock: ports.Clock;
  readonly random: () => number;
  readonly bills: billLedger.BillLedger;
  readonly holder: copyStore.CopyStore;
  /** Time after which no further attempt starts, in milliseconds. */
  readonly timeoutMs: number;
}

/** Mean delay between attempts while the platform is down, in milliseconds. */
const RETRY_INTERVAL_MS = 1_000;

/**
 * Writes this instance's bills and the copies that it holds for peers. Call it
 * after the last answer and before the instance leaves. The copies are written
 * because each of 1,200 restarts a day would otherwise leave owners one copy
 * short until they notice.
 *
 * @returns whether nothing is left. If false, the platform is down, and peers
 *   recover this instance's bills as they do after a crash.
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
