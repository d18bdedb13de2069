/** Pending bills, grouped by the lane whose segments will hold them. */
import * as billTypes from './bill.js';

/** A lane and its unwritten bills. */
interface Lane {
  readonly name: string;
  readonly bills: Map<string, billTypes.Bill>;
  /** Whether a write is in progress; new bills then go to another lane. */
  writing: boolean;
}

/** Options for naming and filling lanes. */
export interface BillLanesOptions {
  readonly incarnation: string;
  readonly wallTime: () => number;
  readonly maxSegmentBills: number;
}

/**
 * Assigns pending bills to lanes. A lane accepts bills until it is full or
 * being written, also after a failed write. A ten-minute outage at 15 bills/s
 * then leaves ten full segments to write instead of sixty small ones, so that
 * the platform is not overloaded when it recovers.
 */
export class BillLanes {
  private readonly lanes = new Map<string, Lane>();
  private readonly laneOf = new Map<string, string>();
  private sequence = 0;

  constructor(private readonly options: BillLanesOptions) {}

  /** Number of pending bills. */
  get size(): number {
    return this.laneOf.size;
  }

  get laneCount(): number {
    return this.lanes.size;
  }

  has(identity: string): boolean {
    return this.laneOf.has(identity);
  }

  add(bill: billTypes.Bill): billTypes.PendingBill {
    const lane = this.findOpen() ?? this.open();
    lane.bills.set(bill.identity, bill);
    this.laneOf.set(bill.identity, lane.name);
    return {lane: lane.name, bill};
  }

  all(): readonly billTypes.PendingBill[] {
    return [...this.lanes.values()].flatMap(lane =>
      [...lane.bills.values()].map(bill => ({lane: lane.name, bill})),
    );
  }

  /** Names of the lanes, oldest first. */
  names(): readonly string[] {
    return [...this.lanes.keys()];
  }

  /** Name of the lane of a pending bill. */
  find(identity: string): string | undefined {
    return this.laneOf.get(identity);
  }

  /**
   * Marks a lane as being written; the caller must call `settle` afterwards.
   */
  startWriting(name: string): readonly billTypes.Bill[] {
    const lane = this.lanes.get(name);
    if (!lane) {
      return [];
    }
    lane.writing = true;
    return [...lane.bills.values()];
  }

  /** Ends a write: removes the `written` identities; the rest stay pending. */
  settle(name: string, written: ReadonlySet<string>): void {
    const lane = this.lanes.get(name);
    if (!lane) {
      return;
    }
    lane.writing = false;
    for (const identity of written) {
      if (lane.bills.delete(identity)) {
        this.laneOf.delete(identity);
      }
    }
    if (lane.bills.size === 0) {
      this.lanes.delete(name);
    }
  }

  private findOpen(): Lane | undefined {
    const {maxSegmentBills} = this.options;
    return [...this.lanes.values()].find(
      lane => !lane.writing && lane.bills.size < maxSegmentBills,
    );
  }

  private open(): Lane {
    const {incarnation, wallTime} = this.options;
    const name = billTypes.nameLane(wallTime(), incarnation, this.sequence++);
    const lane: Lane = {name, bills: new Map(), writing: false};
    this.lanes.set(name, lane);
    return lane;
  }
}
