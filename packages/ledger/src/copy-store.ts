/** Stores copies of other instances' pending bills. */
import * as purify from 'purify-ts';
import type * as ports from '@amaranthknot/ports';
import type * as billTypes from './bill.js';
import type * as copyQueue from './copy-queue.js';

/** Dependencies and settings of a `CopyStore`. */
export interface CopyStoreOptions {
  readonly clock: ports.Clock;
  /** Maximum number of bills for all owners; further copies are refused. */
  readonly maxBills?: number;
}

/**
 * As many as an instance may have pending of its own; about 33 MB, because
 * received strings are not shared between bills. An owner whose copies are
 * refused finds another peer, or writes the bill before it ends the answer.
 */
export const DEFAULT_MAX_STORED_BILLS = 50_000;

/**
 * Time without a message from an owner after which its copies are recovered, in
 * milliseconds. Otherwise copies whose release was lost would stay for ever.
 * Recovery is safe while the owner is alive.
 */
export const MAX_UNRELEASED_MS = 3_600_000;

/** Writes an owner's bills to the object API, as `BillLedger.recover` does. */
export type BillRecovery = (
  incarnation: string,
  pending: readonly billTypes.PendingBill[],
) => Promise<purify.Either<ports.StoreError, number>>;

interface OwnerCopies {
  readonly bills: Map<string, billTypes.PendingBill>;
  lastContactMs: number;
}

/** Stores copies by owner until they are released or recovered. */
export class CopyStore {
  private readonly owners = new Map<string, OwnerCopies>();
  private count = 0;

  constructor(private readonly options: CopyStoreOptions) {}

  /** Number of bills stored for all owners. */
  get size(): number {
    return this.count;
  }

  /** Incarnations whose bills are stored here. */
  ownerIncarnations(): readonly string[] {
    return [...this.owners.keys()];
  }

  /**
   * Stores all bills of a batch, or none if they would exceed `maxBills`, and
   * deletes the copies of its written lanes.
   *
   * @returns whether the bills were stored
   */
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

  /** Copies stored for an owner. */
  listPending(incarnation: string): readonly billTypes.PendingBill[] {
    return [...(this.owners.get(incarnation)?.bills.values() ?? [])];
  }

  /**
   * Recovers the bills of owners for which `isDead` holds, or which have sent
   * nothing for `MAX_UNRELEASED_MS`. Call it every few seconds, with jitter. It
   * stops at the first failure and keeps the remaining copies for the next
   * call.
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

  /** Removes recovered bills; keeps those that arrived during the recovery. */
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
