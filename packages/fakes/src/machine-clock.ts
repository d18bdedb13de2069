/**
 * The clocks of one machine over true, virtual time: its wall clock can be set,
 * and the machine can be suspended.
 */
import type * as ports from '@amaranthknot/ports';
import type * as virtualClock from './virtual-clock.js';

/**
 * Shortest sleep, in milliseconds. A shorter one would be lost in the rounding
 * of a sum of times, and a loop that sleeps until a time would never end.
 */
const MIN_SLEEP_MS = 1e-3;

/** A machine's clocks, without any correction. */
export class MachineClock implements ports.Clock {
  private wallOffsetMs = 0;
  private suspendedMs = 0;
  private suspendedAtMs: number | undefined;
  private resumed: Promise<void> = Promise.resolve();

  /** @param trueClock virtual time, which no fault changes. */
  constructor(private readonly trueClock: virtualClock.VirtualClock) {}

  /** Stands still while the machine is suspended. */
  now(): number {
    const {suspendedAtMs = this.trueClock.now()} = this;
    return suspendedAtMs - this.suspendedMs;
  }

  steadyNow(): number {
    return this.now();
  }

  wallTime(): number {
    return this.trueClock.wallTime() + this.wallOffsetMs;
  }

  async sleep(ms: number, signal?: AbortSignal): Promise<void> {
    const endMs = this.now() + Math.max(ms, MIN_SLEEP_MS);
    do {
      const leftMs = Math.max(endMs - this.now(), MIN_SLEEP_MS);
      await this.trueClock.sleep(leftMs, signal);
      await this.resumed;
    } while (this.now() < endMs && signal?.aborted !== true);
  }

  /** Sets the wall clock forward, or back if `ms` is negative. */
  setWallClock(ms: number): void {
    this.wallOffsetMs += ms;
  }

  /** Suspends the machine for `ms`; sleepers wake when it is resumed. */
  suspend(ms: number): void {
    this.suspendedAtMs ??= this.trueClock.now();
    this.resumed = this.trueClock.sleep(ms).then(() => {
      this.suspendedMs += this.trueClock.now() - (this.suspendedAtMs ?? 0);
      this.suspendedAtMs = undefined;
    });
  }

  /** Resolves when the machine is not suspended. */
  async whenRunning(): Promise<void> {
    await this.resumed;
  }
}
