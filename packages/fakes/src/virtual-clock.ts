/** Virtual clock for tests: time advances only when a test advances it. */
import * as heap from 'heap-js';
import type * as ports from '@amaranthknot/ports';

interface Timer {
  readonly at: number;
  readonly order: number;
  readonly fire: () => void;
}

/** Rounds of pending promise callbacks that run before time advances. */
const MICROTASK_ROUNDS = 20;

/** A clock that tests advance; sleepers wake in order of time, then of call. */
export class VirtualClock implements ports.Clock {
  private time = 0;
  private order = 0;
  private readonly timers = new heap.Heap<Timer>(
    (a, b) => a.at - b.at || a.order - b.order,
  );

  /** @param epochMs wall time at virtual time 0, in Unix milliseconds. */
  constructor(private readonly epochMs = 1_700_000_000_000) {}

  now(): number {
    return this.time;
  }

  steadyNow(): number {
    return this.time;
  }

  wallTime(): number {
    return this.epochMs + this.time;
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      if (signal?.aborted) {
        resolve();
        return;
      }
      const at = this.time + Math.max(0, ms);
      const wake = () => {
        signal?.removeEventListener('abort', wake);
        resolve();
      };
      this.timers.push({at, order: this.order++, fire: wake});
      signal?.addEventListener('abort', wake);
    });
  }

  /** Advances time by `ms`, waking sleepers at their times. */
  async advance(ms: number): Promise<void> {
    const end = this.time + ms;
    await this.flushMicrotasks();
    for (;;) {
      const next = this.timers.peek();
      if (!next || next.at > end) {
        break;
      }
      this.timers.pop();
      this.time = next.at;
      next.fire();
      await this.flushMicrotasks();
    }
    this.time = end;
    await this.flushMicrotasks();
  }

  /** Advances time in steps until `isDone` or `limitMs`; returns `isDone`. */
  async advanceUntil(
    isDone: () => boolean,
    limitMs: number,
    stepMs = 10,
  ): Promise<boolean> {
    const end = this.time + limitMs;
    while (!isDone() && this.time < end) {
      await this.advance(stepMs);
    }
    return isDone();
  }

  private async flushMicrotasks(): Promise<void> {
    for (let round = 0; round < MICROTASK_ROUNDS; round++) {
      await Promise.resolve();
    }
  }
}
