/** Kills and pauses a simulated process between any two of its steps. */
import type * as ports from '@amaranthknot/ports';

/**
 * Wraps every promise that a simulated process awaits. After a kill no further
 * step of the process runs, and during a pause its steps are delayed; calls that
 * were already sent still take effect at their receiver.
 */
export class ProcessControl {
  private pausedUntilMs = 0;
  alive = true;

  constructor(private readonly clock: ports.Clock) {}

  kill(): void {
    this.alive = false;
  }

  pause(ms: number): void {
    this.pausedUntilMs = Math.max(this.pausedUntilMs, this.clock.now() + ms);
  }

  isPaused(): boolean {
    return this.clock.now() < this.pausedUntilMs;
  }

  /** Never resolves after a kill; resolves after the end of a pause. */
  guard<T>(promise: Promise<T>): Promise<T> {
    return new Promise((resolve, reject) => {
      promise.then(value => this.deliver(() => resolve(value)), reject);
    });
  }

  /** Runs a step of the process at once, or after a pause; not after a kill. */
  deliver(step: () => void): void {
    if (!this.alive) {
      return;
    }
    const remainingMs = this.pausedUntilMs - this.clock.now();
    if (remainingMs <= 0) {
      step();
      return;
    }
    void this.clock.sleep(remainingMs).then(() => this.deliver(step));
  }

  /** The clock as the process sees it. */
  guardClock(): ports.Clock {
    return {
      now: () => this.clock.now(),
      steadyNow: () => this.clock.steadyNow(),
      wallTime: () => this.clock.wallTime(),
      sleep: (ms, signal) => this.guard(this.clock.sleep(ms, signal)),
    };
  }

  /** The object API as the process sees it. */
  guardStore(store: ports.ObjectStore): ports.ObjectStore {
    return {
      get: (kind, name) => this.guard(store.get(kind, name)),
      list: (kind, prefix) => this.guard(store.list(kind, prefix)),
      create: (kind, name, value) =>
        this.guard(store.create(kind, name, value)),
      update: (kind, name, value, version) =>
        this.guard(store.update(kind, name, value, version)),
      delete: (kind, name, version) =>
        this.guard(store.delete(kind, name, version)),
      watch: (kind, after, waitMs, signal) =>
        this.guard(store.watch(kind, after, waitMs, signal)),
    };
  }
}
