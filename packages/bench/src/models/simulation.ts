/** Event queue in virtual time: events run by time, then in scheduling order. */
import * as heap from 'heap-js';

interface ScheduledEvent {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

const compare = (a: ScheduledEvent, b: ScheduledEvent): number =>
  a.atMs - b.atMs || a.order - b.order;

/** Schedules and runs events in virtual time. */
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

  /** Runs a function at a time, or as the next event if that has passed. */
  at(atMs: number, run: () => void): void {
    this.events.push({
      atMs: Math.max(this.timeMs, atMs),
      order: this.order++,
      run,
    });
  }

  /** Runs a function every `periodMs` until the simulation ends. */
  every(periodMs: number, run: () => void): void {
    this.after(periodMs, () => {
      run();
      this.every(periodMs, run);
    });
  }

  /** Runs all events up to and including a time. */
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
