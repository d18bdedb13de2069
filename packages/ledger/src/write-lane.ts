/** Writes bills of one lane, each exactly once, whoever writes. */
import * as purify from 'purify-ts';
import type * as ports from '@amaranthknot/ports';
import * as billTypes from './bill.js';
import * as callWithTimeout from './util/call-with-timeout.js';

/** What writing a lane needs. */
export interface LaneWriterOptions {
  readonly store: ports.ObjectStore;
  readonly clock: ports.Clock;
  /** Time of one call to the object API, in milliseconds. */
  readonly callTimeoutMs: number;
  /** Most bills in one segment object. */
  readonly maxSegmentBills: number;
}

/** Calls spent on one lane before its writer gives up until the next time. */
const MAX_CALLS = 16;

/** Bills of a lane that are certainly in the object API now, by identity. */
export type WrittenBills = ReadonlySet<string>;

/**
 * Writes the bills of one lane that no segment of it holds yet.
 *
 * Guards against a bill written twice: by an owner whose create took effect
 * without an answer, by two instances which recover a dead owner's bills, and
 * by an owner that was only thought dead. Segments of a lane are created in
 * order and never changed, and a writer creates index `i` only after it has
 * read `0..i-1`; so a bill that one writer has put into a segment is seen by
 * each later one, also when their sets of bills differ.
 *
 * @returns Left when the platform fails; bills already written stay written
 *   and a later call finds them.
 */
export const writeLane = async (
  options: LaneWriterOptions,
  lane: string,
  bills: readonly billTypes.Bill[],
): Promise<purify.Either<ports.StoreError, WrittenBills>> => {
  const written = new Set<string>();
  let index = 0;
  for (let call = 0; call < MAX_CALLS; call++) {
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
    message: `${lane} needs more calls`,
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
      : purify.Left({code: 'unavailable', message: `${name} is no segment`});
  });
};
