/** Bills, and the segment objects that store them in the object API. */

/** Kind of segment objects in the object API. */
export const BILL_KIND = 'bill-segment';

/** Cost of one answered request; one per request identity. */
export interface Bill {
  /** Name of the request's identity. */
  readonly identity: string;
  readonly workspace: string;
  readonly model: string;
  readonly version: string;
  /** In the operators' accounting unit. */
  readonly cost: number;
  /** Generated tokens; 0 for a plain service. */
  readonly tokens: number;
  /** Wall time of the answer, in milliseconds since the epoch. */
  readonly atWallMs: number;
}

/** A bill and the only lane that it may be written to. */
export interface PendingBill {
  /** Name from `nameLane`. */
  readonly lane: string;
  readonly bill: Bill;
}

/** Value of a segment object. Segments are created once and never updated. */
export interface BillSegment {
  readonly bills: readonly Bill[];
}

const SEQUENCE_DIGITS = 8;

/**
 * Names a lane by the hour in which it was opened, the owner's incarnation and
 * a sequence number. The hour comes first so that readers can list one hour by
 * prefix.
 */
export const nameLane = (
  wallMs: number,
  incarnation: string,
  sequence: number,
): string => {
  const hour = new Date(wallMs).toISOString().slice(0, 13).toLowerCase();
  const digits = String(sequence).padStart(SEQUENCE_DIGITS, '0');
  return `${hour}.${incarnation}.${digits}`;
};

/** Names the segment at `index` of a lane. */
export const nameSegment = (lane: string, index: number): string =>
  `${lane}.${index}`;

/** Groups bills by lane; keeps their order. */
export const groupByLane = (
  pending: readonly PendingBill[],
): ReadonlyMap<string, readonly Bill[]> => {
  const lanes = new Map<string, Bill[]>();
  for (const {lane, bill} of pending) {
    lanes.set(lane, [...(lanes.get(lane) ?? []), bill]);
  }
  return lanes;
};

/** Parses the value of a segment object; undefined when it is malformed. */
export const readBillSegment = (value: unknown): BillSegment | undefined => {
  if (typeof value !== 'object' || value === null) {
    return undefined;
  }
  const {bills} = value as Partial<BillSegment>;
  return Array.isArray(bills) ? {bills} : undefined;
};
