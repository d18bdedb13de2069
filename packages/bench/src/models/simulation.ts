/** Virtual time for benches: events run in order of time, then of arrival. */
import * as heap from 'heap-js';

interface ScheduledEvent {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

const compare = (a: ScheduledEvent, b: ScheduledEvent): number =>
  a.atMs - b.atMs || a.order - b.order;

/** A single queue of events. */
export class Simulation {
  private timeMs = 0;
  private order = 0;
  private readonly events = new heap.Heap<ScheduledEvent>(compare);

  /** Virtual time in milliseconds. */
  get nowMs(): number {
    return this.timeMs;
  }

  /** Runs a function after a delay in milliseconds. */
  after(delayMs: number, run: () => void): void {
    this.at(this.timeMs + delayMs, run);
  }

  /** Runs a function at a time, or at once when that has passed. */
  at(atMs: number, run: () => void): void {
    this.events.push({
      atMs: Math.max(this.timeMs, atMs),
      order: this.order++,
      run,
    });
  }

  /** Runs a function every so often, until the end. */
  every(periodMs: number, run: () => void): void {
    this.after(periodMs, () => {
      run();
      this.every(periodMs, run);
    });
  }

  /** Runs all events up to a time. */
  runUntil(endMs: number): void {
    for (;;) {
      const next = this.events.peek();
      if (!next || next.atMs > endMs) {
        break;
      }
      this.events.pop();
      this.timeMs = next.atMs;
      next.run();
    }
    this.timeMs = endMs;
  }
}
