/**
 * Counts first sends and repeats by time within a sliding window, in slots, so
 * that the counts of other instances can be added with their age. Time is an
 * argument.
 */

/** Number of first sends and of repeats. */
export interface SendCounts {
  readonly requests: number;
  readonly repeats: number;
}

/** No sends. */
export const NO_SENDS: SendCounts = {requests: 0, repeats: 0};

/** A span of time, in milliseconds. */
export interface TimeSpan {
  readonly afterMs: number;
  readonly beforeMs: number;
}

/** Slots in one window. */
const SLOT_COUNT = 10;

/** Adds counts. */
export const addSends = (a: SendCounts, b: SendCounts): SendCounts => ({
  requests: a.requests + b.requests,
  repeats: a.repeats + b.repeats,
});

/** The first counts less the second, and no less than 0. */
export const subtractSends = (a: SendCounts, b: SendCounts): SendCounts => ({
  requests: Math.max(0, a.requests - b.requests),
  repeats: Math.max(0, a.repeats - b.repeats),
});

/** A part of the counts, 0 to 1. */
const scaleSends = (
  {requests, repeats}: SendCounts,
  part: number,
): SendCounts => ({requests: part * requests, repeats: part * repeats});

/** Whether nothing was sent. */
export const isNoSends = ({requests, repeats}: SendCounts): boolean =>
  requests === 0 && repeats === 0;

/** Sends of the last window. */
export class SendWindow {
  private readonly slotMs: number;
  /** Counts by the number of their slot, which begins at that times `slotMs`. */
  private readonly slots = new Map<number, SendCounts>();

  /** @param windowMs length of the window in milliseconds. */
  constructor(private readonly windowMs: number) {
    this.slotMs = windowMs / SLOT_COUNT;
  }

  /** Adds sends of a time, which may be past. */
  add(sends: SendCounts, atMs: number): void {
    const slot = this.slotOf(atMs);
    this.slots.set(slot, addSends(this.slots.get(slot) ?? NO_SENDS, sends));
  }

  /**
   * Adds sends that were spread over a span, as evenly as is known. Sends that
   * are told late would else count for too long.
   */
  addSpread(sends: SendCounts, {afterMs, beforeMs}: TimeSpan): void {
    const forMs = beforeMs - afterMs;
    if (forMs <= 0) {
      this.add(sends, beforeMs);
      return;
    }
    for (
      let slot = this.slotOf(afterMs);
      slot <= this.slotOf(beforeMs);
      slot++
    ) {
      const fromMs = Math.max(afterMs, slot * this.slotMs);
      const toMs = Math.min(beforeMs, (slot + 1) * this.slotMs);
      this.add(scaleSends(sends, (toMs - fromMs) / forMs), fromMs);
    }
  }

  /**
   * The sends in the window that ends at `nowMs`, or in as much of it as lies
   * after `sinceMs`. Of the oldest slot, as large a part counts as lies within.
   */
  count(nowMs: number, sinceMs = -Infinity): SendCounts {
    this.dropOldSlots(nowMs);
    const fromMs = Math.max(nowMs - this.windowMs, sinceMs);
    let sum = NO_SENDS;
    for (const [slot, sends] of this.slots) {
      const endMs = (slot + 1) * this.slotMs;
      const part = Math.max(0, Math.min(1, (endMs - fromMs) / this.slotMs));
      sum = addSends(sum, scaleSends(sends, part));
    }
    return sum;
  }

  /**
   * The sends by age: those of the last slot's length, of that before it, and so
   * on.
   */
  list(nowMs: number): readonly SendCounts[] {
    const sums = this.sumByAge(nowMs);
    return sums.map((sum, age) =>
      subtractSends(sum, sums[age - 1] ?? NO_SENDS),
    );
  }

  /** The sends within the last slot's length, the last two, and so on. */
  sumByAge(nowMs: number): readonly SendCounts[] {
    return Array.from({length: SLOT_COUNT}, (_, age) =>
      this.count(nowMs, nowMs - (age + 1) * this.slotMs),
    );
  }

  /**
   * Adds what another window listed at a time, as far as it lies within a span.
   * Within a slot, sends count as evenly spread.
   */
  addList(
    listed: readonly SendCounts[],
    listedAtMs: number,
    {afterMs, beforeMs}: TimeSpan,
  ): void {
    listed.forEach((sends, age) => {
      const listedUntilMs = listedAtMs - age * this.slotMs;
      const toMs = Math.min(listedUntilMs, beforeMs);
      const fromMs = Math.max(listedUntilMs - this.slotMs, afterMs);
      if (toMs > fromMs) {
        const within = scaleSends(sends, (toMs - fromMs) / this.slotMs);
        this.addSpread(within, {afterMs: fromMs, beforeMs: toMs});
      }
    });
  }

  /**
   * Makes the window that ends at `nowMs` hold what is known to be in it after
   * `sinceMs`.
   */
  correct(known: SendCounts, nowMs: number, sinceMs: number): void {
    const before = this.count(nowMs, sinceMs);
    this.add(subtractSends(known, before), nowMs);
    this.removeOldest(subtractSends(before, known), sinceMs);
  }

  private dropOldSlots(nowMs: number): void {
    const oldest = this.slotOf(nowMs - this.windowMs);
    for (const slot of this.slots.keys()) {
      if (slot < oldest) {
        this.slots.delete(slot);
      }
    }
  }

  private removeOldest(excess: SendCounts, sinceMs: number): void {
    let left = excess;
    const oldestFirst = [...this.slots.keys()]
      .filter(slot => (slot + 1) * this.slotMs > sinceMs)
      .sort((a, b) => a - b);
    for (const slot of oldestFirst) {
      if (isNoSends(left)) {
        return;
      }
      const held = this.slots.get(slot) ?? NO_SENDS;
      this.slots.set(slot, subtractSends(held, left));
      left = subtractSends(left, held);
    }
  }

  private slotOf(atMs: number): number {
    return Math.floor(atMs / this.slotMs);
  }
}
