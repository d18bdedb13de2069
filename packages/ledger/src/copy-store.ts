/** Copies of other instances' pending bills that this instance holds. */
import * as purify from 'purify-ts';
import type * as ports from '@amaranthknot/ports';
import type * as billTypes from './bill.js';
import type * as copyQueue from './copy-queue.js';

/** Bounds of the copies held. */
export interface CopyStoreOptions {
  readonly clock: ports.Clock;
  /** Bills held for all owners; past it new copies are not taken. */
  readonly maxBills?: number;
}

/**
 * As many as an instance keeps of its own, about 33 MB, as
 * received strings are not shared. Past it the owner
 * finds another peer, or writes the bill before the end of the answer.
 */
export const DEFAULT_MAX_STORED_BILLS = 50_000;

/**
 * How long an owner may leave copies unreleased before its holder writes them,
 * in milliseconds. It covers a release that was lost, whose copies would stay
 * for ever; recovery is safe while the owner lives.
 */
export const MAX_UNRELEASED_MS = 3_600_000;

/** Writes copies of an owner, see `BillLedger.recover`. */
export type BillRecovery = (
  incarnation: string,
  pending: readonly billTypes.PendingBill[],
) => Promise<purify.Either<ports.StoreError, number>>;

interface OwnerCopies {
  readonly bills: Map<string, billTypes.PendingBill>;
  lastContactMs: number;
}

/** Holds copies by owner until they are released or recovered. */
export class CopyStore {
  private readonly owners = new Map<string, OwnerCopies>();
  private count = 0;

  constructor(private readonly options: CopyStoreOptions) {}

  /** Bills held for all owners. */
  get size(): number {
    return this.count;
  }

  /** Incarnations whose bills are held. */
  ownerIncarnations(): readonly string[] {
    return [...this.owners.keys()];
  }

  /** Takes a batch whole or, past the bound, not at all. */
  store(batch: copyQueue.CopyBatch): boolean {
    this.release(batch.incarnation, new Set(batch.writtenLanes));
    const {maxBills = DEFAULT_MAX_STORED_BILLS} = this.options;
    if (this.count + batch.bills.length > maxBills) {
      return false;
    }
    const copies = this.owners.get(batch.incarnation) ?? {
      bills: new Map<string, billTypes.PendingBill>(),
      lastContactMs: 0,
    };
    copies.lastContactMs = this.options.clock.now();
    for (const pending of batch.bills) {
      this.count += copies.bills.has(pending.bill.identity) ? 0 : 1;
      copies.bills.set(pending.bill.identity, pending);
    }
    if (copies.bills.size > 0) {
      this.owners.set(batch.incarnation, copies);
    }
    return true;
  }

  /** Copies held for an owner. */
  listPending(incarnation: string): readonly billTypes.PendingBill[] {
    return [...(this.owners.get(incarnation)?.bills.values() ?? [])];
  }

  /**
   * Recovers the bills of owners that `isDead`, or that left copies
   * unreleased for long. Call it every few seconds, jittered; an owner whose
   * recovery fails is kept for the next time.
   *
   * @returns number of bills recovered
   */
  async recoverDead(
    isDead: (incarnation: string) => boolean,
    recover: BillRecovery,
  ): Promise<number> {
    let recovered = 0;
    for (const [incarnation, copies] of [...this.owners]) {
      if (!isDead(incarnation) && !this.isUnreleased(copies)) {
        continue;
      }
      const pending = [...copies.bills.values()];
      const result = await recover(incarnation, pending);
      if (result.isLeft()) {
        break;
      }
      this.remove(incarnation, pending);
      recovered += pending.length;
    }
    return recovered;
  }

  /** Bills that came while a recovery ran stay. */
  private remove(
    incarnation: string,
    recovered: readonly billTypes.PendingBill[],
  ): void {
    const copies = this.owners.get(incarnation);
    for (const {bill} of recovered) {
      this.count -= copies?.bills.delete(bill.identity) ? 1 : 0;
    }
    if (copies?.bills.size === 0) {
      this.owners.delete(incarnation);
    }
  }

  private release(incarnation: string, lanes: ReadonlySet<string>): void {
    const written = this.listPending(incarnation).filter(pending =>
      lanes.has(pending.lane),
    );
    this.remove(incarnation, written);
  }

  private isUnreleased(copies: OwnerCopies): boolean {
    return this.options.clock.now() - copies.lastContactMs >= MAX_UNRELEASED_MS;
  }
}
