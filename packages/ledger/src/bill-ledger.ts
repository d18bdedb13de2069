/**
 * Bills: one per answered request, neither lost nor doubled when instances
 * die or the platform is out. See `docs/design/08-bills.md`.
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
 * How a bill was made safe before the end of its answer.
 *
 * - `copied`: enough peers in other zones hold it.
 * - `written`: it is in the object API.
 * - `at_risk`: only this process holds it, after the longest wait. The answer
 *   must not be ended as whole.
 */
export type RecordResult = 'copied' | 'written' | 'at_risk';

/** What a keeper of bills works with. */
export interface BillLedgerOptions {
  readonly store: ports.ObjectStore;
  readonly clock: ports.Clock;
  /** Uniform in [0, 1), for jitter. */
  readonly random: () => number;
  /** Incarnation of this instance: its id and a random part per start. */
  readonly incarnation: string;
  /** Copies bills to peers in other zones; answers how many hold them now. */
  readonly copyToPeers: (batch: copyQueue.CopyBatch) => Promise<number>;
  readonly limits?: Partial<billLimits.BillLimits>;
}

/** Share of the flush interval between writes while a backlog is drained. */
const DRAIN_INTERVAL_FRACTION = 0.75;

/** Time between rounds that try to make bills safe, in milliseconds. */
const AT_RISK_INTERVAL_MS = 1_000;

/**
 * Writes tried before one copy has to do. A single refused call is no outage;
 * three in a row are, and waiting longer would only hold up the answer.
 */
const MAX_ATTEMPTS_WITH_COPY = 3;

/** Keeps and writes the bills of one instance. */
export class BillLedger {
  private readonly limits: billLimits.BillLimits;
  private readonly lanes: billLanes.BillLanes;
  private readonly notDurable = new Set<string>();
  private readonly recording = new Map<string, Promise<RecordResult>>();
  private readonly copies: copyQueue.CopyQueue;
  private writing: Promise<boolean> | undefined;
  private isPlatformOut = false;
  private wake = new AbortController();
  /** Bills whose answers had to be withheld, for metrics. */
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
   * Whether a new request may be accepted. Ask before anything is sent.
   *
   * Guards against an outage that outlasts the memory for bills, and against
   * answers that no one but this process could bill: both would lose bills.
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

  /** Bills not yet in the object API, for copies to a new peer. */
  pending(): readonly billTypes.PendingBill[] {
    return this.lanes.all();
  }

  /**
   * Makes a bill safe; await it before the end of the answer. Recording one
   * identity again joins the first.
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
   * Writes all pending bills, the oldest lane first; stops at the first
   * failure. Call it in a graceful shutdown, after the last answer.
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

  /** Writes bills at the flush interval until `signal` aborts. */
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
   * Writes the bills that a dead owner left with this instance as copies. It
   * is safe on several instances at once and while the owner still lives.
   *
   * @returns Left when the platform fails: keep the copies and try again
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
   * Without enough peers the bill goes to the platform before the answer; in
   * an outage one copy has to do, as the answer would otherwise be withheld.
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

  /** One write at a time; a caller that joins a write checks its own bill. */
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

  /** Offers bills that are at risk to peers again. */
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

  /** Tells peers which copies can go. */
  private async sendReleases(): Promise<void> {
    if (this.copies.hasReleases()) {
      await this.copies.send([]);
    }
  }

  /** Whether a bill's only place is this process and stays so. */
  private isAtRisk(): boolean {
    return [...this.notDurable].some(identity => !this.recording.has(identity));
  }

  /**
   * Jittered, so that instances started or refused together drift apart. With
   * a backlog, one lane per three quarters of an interval: the drain adds at
   * most a third to the platform's steady load.
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
