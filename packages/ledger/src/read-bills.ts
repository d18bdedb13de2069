/** Reads the bills of a period and computes their totals. */
import type * as purify from 'purify-ts';
import type * as ports from '@amaranthknot/ports';
import * as billTypes from './bill.js';

/** Bills of a period, one per request identity. */
export interface BillSummary {
  readonly bills: readonly billTypes.Bill[];
  readonly cost: number;
  readonly tokens: number;
  readonly costByWorkspace: ReadonlyMap<string, number>;
  /** Number of bills left out because their identity has an earlier bill. */
  readonly duplicates: number;
  /** Number of malformed segment objects; their bills are not in the totals. */
  readonly unreadable: number;
}

/**
 * Reads all bills whose lane starts with `prefix`, an hour such as
 * `2026-12-02t23`; all bills by default.
 *
 * A caller may retry an idempotent request on another instance, and each of the
 * two writes a bill to a lane of its own. Only the earliest bill of an identity
 * counts, by time and then by position in the listing, so that all readers
 * agree; the others are reported as duplicates.
 */
export const readBills = async (
  store: ports.ObjectStore,
  prefix = '',
): Promise<purify.Either<ports.StoreError, BillSummary>> => {
  const listing = await store.list(billTypes.BILL_KIND, prefix);
  return listing.map(({objects}) => summarize(objects));
};

const summarize = (objects: readonly ports.StoredObject[]): BillSummary => {
  const segments = objects.map(object =>
    billTypes.readBillSegment(object.value),
  );
  const all = segments.flatMap(segment => segment?.bills ?? []);
  const byTime = all.toSorted((a, b) => a.atWallMs - b.atWallMs);
  const bills = new Map<string, billTypes.Bill>();
  for (const bill of byTime) {
    if (!bills.has(bill.identity)) {
      bills.set(bill.identity, bill);
    }
  }
  const kept = [...bills.values()];
  return {
    bills: kept,
    cost: sum(kept, bill => bill.cost),
    tokens: sum(kept, bill => bill.tokens),
    costByWorkspace: sumByWorkspace(kept),
    duplicates: all.length - kept.length,
    unreadable: segments.filter(segment => !segment).length,
  };
};

const sum = (
  bills: readonly billTypes.Bill[],
  value: (bill: billTypes.Bill) => number,
): number => bills.reduce((total, bill) => total + value(bill), 0);

const sumByWorkspace = (
  bills: readonly billTypes.Bill[],
): ReadonlyMap<string, number> => {
  const costs = new Map<string, number>();
  for (const {workspace, cost} of bills) {
    costs.set(workspace, (costs.get(workspace) ?? 0) + cost);
  }
  return costs;
};
