/** Writes each bill of a lane exactly once, also with several writers. */
import * as purify from 'purify-ts';
import type * as ports from '@amaranthknot/ports';
import * as billTypes from './bill.js';
import * as callWithTimeout from './util/call-with-timeout.js';

/** Dependencies and settings of `writeLane`. */
export interface LaneWriterOptions {
  readonly store: ports.ObjectStore;
  readonly clock: ports.Clock;
  /** Timeout of one call to the object API, in milliseconds. */
  readonly callTimeoutMs: number;
  /** Maximum number of bills in one segment object. */
  readonly maxSegmentBills: number;
}

/** Maximum number of segments tried in one call of `writeLane`. */
const MAX_SEGMENTS = 16;

/** Identities of the bills that are known to be in the object API. */
export type WrittenBills = ReadonlySet<string>;

/**
 * Writes those bills of a lane that none of its segments holds yet.
 *
 * Prevents writing a bill twice: by an owner whose create took effect although
 * its answer was lost, by two instances that recover the same owner's bills,
 * and by an owner that was wrongly considered dead. Segments of a lane are
 * created in order and never updated, and a writer creates segment `i` only
 * after it has read or created segments `0..i-1`. Each later writer therefore
 * sees every bill that an earlier one has written, also when their sets of
 * bills differ.
 *
 * @returns Left when the platform fails or `MAX_SEGMENTS` is reached; bills
 *   already written stay written, and a later call finds them
 */
export const writeLane = async (
  options: LaneWriterOptions,
  lane: string,
  bills: readonly billTypes.Bill[],
): Promise<purify.Either<ports.StoreError, WrittenBills>> => {
  const written = new Set<string>();
  let index = 0;
  for (let attempt = 0; attempt < MAX_SEGMENTS; attempt++) {
    const remaining = bills.filter(bill => !written.has(bill.identity));
    if (remaining.length === 0) {
      return purify.Right(written);
    }
    const batch = remaining.slice(0, options.maxSegmentBills);
    const name = billTypes.nameSegment(lane, index);
    const segmentBills = await createOrRead(options, name, batch);
    if (segmentBills.isLeft()) {
      return segmentBills;
    }
    for (const bill of segmentBills.orDefault([])) {
      written.add(bill.identity);
    }
    index++;
  }
  return purify.Left({
    code: 'unavailable',
    message: `lane ${lane}: bills left after ${MAX_SEGMENTS} segments`,
  });
};

/** Creates a segment, or reads the bills of the one already there. */
const createOrRead = async (
  options: LaneWriterOptions,
  name: string,
  bills: readonly billTypes.Bill[],
): Promise<purify.Either<ports.StoreError, readonly billTypes.Bill[]>> => {
  const {store, clock, callTimeoutMs} = options;
  const segment: billTypes.BillSegment = {bills};
  const created = await callWithTimeout.callWithTimeout(
    clock,
    callTimeoutMs,
    store.create(billTypes.BILL_KIND, name, segment),
  );
  const error = created.swap().toMaybe().extractNullable();
  if (!error) {
    return purify.Right(bills);
  }
  if (error.code !== 'conflict') {
    return purify.Left(error);
  }
  const found = await callWithTimeout.callWithTimeout(
    clock,
    callTimeoutMs,
    store.get(billTypes.BILL_KIND, name),
  );
  return found.chain(object => {
    const existing = billTypes.readBillSegment(object.value);
    return existing
      ? purify.Right(existing.bills)
      : purify.Left({
          code: 'unavailable',
          message: `object ${name} is not a bill segment`,
        });
  });
};
