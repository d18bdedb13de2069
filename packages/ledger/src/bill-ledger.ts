/**
 * Records exactly one bill per answered request: none is lost or written twice
 * when an instance crashes or the platform is down. See
 * `docs/design/08-bills.md`.
 */
import * as purify from 'purify-ts';
import type * as ports from '@amaranthknot/ports';
import * as billLanes from './bill-lanes.js';
import * as billLimits from './bill-limits.js';
import * as billTypes from './bill.js';
import * as copyQueue from './copy-queue.js';
import type * as circuitBreaker from './circuit-breaker.js';
import * as writeLane from './write-lane.js';

/**
 * How a bill was made durable before its answer ends.
 *
 * - `copied`: enough peers in other zones hold a copy.
 * - `written`: it is in the object API.
 * - `at_risk`: only this process holds it after `durabilityTimeoutMs`. The
 *   answer must not be ended as complete.
 */
export type RecordResult = 'copied' | 'written' | 'at_risk';

/** Dependencies and settings of a `BillLedger`. */
export interface BillLedgerOptions {
  readonly store: ports.ObjectStore;
  readonly clock: ports.Clock;
  /** Uniform in [0, 1), for jitter. */
  readonly random: () => number;
  /** Id of this instance and a random part that is new at each start. */
  readonly incarnation: string;
  /** Copies bills to peers in other zones; resolves with how many hold them. */
  readonly copyToPeers: (batch: copyQueue.CopyBatch) => Promise<number>;
  readonly limits?: Partial<billLimits.BillLimits>;
}

/** Fraction of the flush interval between two writes of a backlog. */
const DRAIN_INTERVAL_FRACTION = 0.75;

/** Time between two attempts to make bills at risk durable, in milliseconds. */
const AT_RISK_INTERVAL_MS = 1_000;

/**
 * Write attempts before a single copy is accepted as durable. One refused call
 * is no outage; after three consecutive failures, waiting only delays the
 * answer.
 */
const MAX_ATTEMPTS_WITH_COPY = 3;

/**
 * Holds the pending bills of one instance and writes them to the object API.
 */
export class BillLedger {
  private readonly limits: billLimits.BillLimits;
  private readonly lanes: billLanes.BillLanes;
  private readonly notDurable = new Set<string>();
  private readonly recording = new Map<string, Promise<RecordResult>>();
  private readonly copies: copyQueue.CopyQueue;
  private writing: Promise<boolean> | undefined;
  private isPlatformOut = false;
  private wake = new AbortController();
  /** Number of bills whose answers were withheld, for metrics. */
  atRiskCount = 0;

  constructor(private readonly options: BillLedgerOptions) {
    this.limits = {...billLimits.DEFAULT_BILL_LIMITS, ...options.limits};
    this.lanes = new billLanes.BillLanes({
      incarnation: options.incarnation,
      wallTime: () => options.clock.wallTime(),
      maxSegmentBills: this.limits.maxSegmentBills,
    });
    this.copies = new copyQueue.CopyQueue({
      ...options,
      timeoutMs: this.limits.copyTimeoutMs,
    });
  }

  /**
   * Whether a new request may be accepted. Call it before anything is sent.
   *
   * Refuses when an outage has filled the memory for bills, and while a bill
   * exists only in this process: in both cases bills could be lost.
   */
  mayAccept(): purify.Either<circuitBreaker.Refusal, true> {
    const full = this.lanes.size >= this.limits.maxPending;
    if (!full && !this.isAtRisk()) {
      return purify.Right(true);
    }
    const retryAfterMs = Math.ceil(
      AT_RISK_INTERVAL_MS * (1 + this.options.random()),
    );
    return purify.Left({ran: 'not_run', retryAfterMs});
  }

  /** Bills not yet in the object API, which a new replica must receive. */
  pending(): readonly billTypes.PendingBill[] {
    return this.lanes.all();
  }

  /**
   * Makes a bill durable; await it before ending the answer. A second call with
   * the same identity returns the result of the first.
   */
  record(bill: billTypes.Bill): Promise<RecordResult> {
    const earlier = this.recording.get(bill.identity);
    if (earlier) {
      return earlier;
    }
    if (this.lanes.has(bill.identity) && !this.notDurable.has(bill.identity)) {
      return Promise.resolve('copied');
    }
    const result = this.makeDurable(bill).finally(() =>
      this.recording.delete(bill.identity),
    );
    this.recording.set(bill.identity, result);
    return result;
  }

  /**
   * Writes all pending bills, oldest lane first, and stops at the first
   * failure. Call it during a graceful shutdown, after the last answer.
   *
   * @returns whether nothing is pending
   */
  async flush(): Promise<boolean> {
    for (const name of this.lanes.names()) {
      if (!(await this.write(name))) {
        return false;
      }
    }
    await this.sendReleases();
    return this.lanes.size === 0;
  }

  /** Writes one lane per flush interval until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    signal.addEventListener('abort', () => this.wake.abort(), {once: true});
    while (!signal.aborted) {
      const {clock} = this.options;
      await clock.sleep(this.nextIntervalMs(), this.wake.signal);
      this.wake = new AbortController();
      await this.flushOldest();
    }
  }

  /**
   * Writes bills of a dead owner of which this instance holds copies. Safe to
   * run on several instances at once, and while the owner is still alive.
   *
   * @returns the number of bills, or Left when the platform fails: the caller
   *   must then keep the copies and retry
   */
  async recover(
    ownerIncarnation: string,
    pending: readonly billTypes.PendingBill[],
  ): Promise<purify.Either<ports.StoreError, number>> {
    const byLane = billTypes.groupByLane(pending);
    let recovered = 0;
    for (const [lane, bills] of byLane) {
      if (!lane.includes(`.${ownerIncarnation}.`)) {
        continue;
      }
      const written = await writeLane.writeLane(
        this.getWriterOptions(),
        lane,
        bills,
      );
      if (written.isLeft()) {
        return written;
      }
      recovered += bills.length;
    }
    return purify.Right(recovered);
  }

  private async makeDurable(bill: billTypes.Bill): Promise<RecordResult> {
    const {identity} = bill;
    const lane = this.lanes.find(identity);
    const pending = lane ? {lane, bill} : this.lanes.add(bill);
    this.notDurable.add(identity);
    const copies = await this.copies.copy(pending);
    if (copies >= this.limits.copyQuorum) {
      this.notDurable.delete(identity);
      return 'copied';
    }
    return this.writeThrough(identity, copies);
  }

  /**
   * Writes a bill to the object API because too few peers hold it. During an
   * outage a single copy is accepted, as the answer would otherwise be
   * withheld.
   */
  private async writeThrough(
    identity: string,
    copies: number,
  ): Promise<RecordResult> {
    const {clock} = this.options;
    const deadline = clock.now() + this.limits.durabilityTimeoutMs;
    for (let attempts = 0; clock.now() < deadline; attempts++) {
      if (copies > 0 && attempts >= MAX_ATTEMPTS_WITH_COPY) {
        this.notDurable.delete(identity);
        return 'copied';
      }
      await clock.sleep(this.limits.batchDelayMs);
      const lane = this.lanes.find(identity);
      if (lane === undefined || (await this.write(lane))) {
        return 'written';
      }
    }
    if (!this.lanes.has(identity)) {
      return 'written';
    }
    this.atRiskCount++;
    this.wake.abort();
    return 'at_risk';
  }

  /** Writes a lane, one write at a time; true also if an earlier write did. */
  private async write(name: string): Promise<boolean> {
    while (this.writing) {
      await this.writing;
    }
    if (!this.lanes.names().includes(name)) {
      return true;
    }
    this.writing = this.writeNow(name);
    const written = await this.writing;
    return written;
  }

  private async writeNow(name: string): Promise<boolean> {
    const bills = this.lanes.startWriting(name);
    const result = await writeLane.writeLane(
      this.getWriterOptions(),
      name,
      bills,
    );
    const written = result.orDefault(new Set());
    this.lanes.settle(name, written);
    for (const identity of written) {
      this.notDurable.delete(identity);
    }
    this.isPlatformOut = result.isLeft();
    this.writing = undefined;
    if (result.isRight()) {
      this.copies.release(name);
    }
    return result.isRight();
  }

  private async flushOldest(): Promise<void> {
    await this.retryCopies();
    const [oldest] = this.lanes.names();
    if (oldest !== undefined && (await this.write(oldest))) {
      await this.sendReleases();
    }
  }

  /** Sends the bills that are not durable yet to peers again. */
  private async retryCopies(): Promise<void> {
    if (!this.isAtRisk()) {
      return;
    }
    const bills = this.lanes
      .all()
      .filter(entry => this.notDurable.has(entry.bill.identity));
    const copies = await this.copies.send(bills);
    if (copies >= this.limits.copyQuorum) {
      for (const entry of bills) {
        this.notDurable.delete(entry.bill.identity);
      }
    }
  }

  /** Tells peers which copies they can delete. */
  private async sendReleases(): Promise<void> {
    if (this.copies.hasReleases()) {
      await this.copies.send([]);
    }
  }

  /** Whether a bill exists only in this process and `record` has given up. */
  private isAtRisk(): boolean {
    return [...this.notDurable].some(identity => !this.recording.has(identity));
  }

  /**
   * Jittered, so that instances that were started or refused together do not
   * stay synchronized. A backlog is written at one lane per three quarters of
   * an interval, which adds at most a third to the platform's steady load.
   */
  private nextIntervalMs(): number {
    const {flushIntervalMs} = this.limits;
    const hasBacklog = !this.isPlatformOut && this.lanes.laneCount > 1;
    const interval = this.isAtRisk()
      ? AT_RISK_INTERVAL_MS
      : flushIntervalMs * (hasBacklog ? DRAIN_INTERVAL_FRACTION : 1);
    return interval * (0.5 + this.options.random());
  }

  private getWriterOptions(): writeLane.LaneWriterOptions {
    return {
      store: this.options.store,
      clock: this.options.clock,
      callTimeoutMs: this.limits.callTimeoutMs,
      maxSegmentBills: this.limits.maxSegmentBills,
    };
  }
}
