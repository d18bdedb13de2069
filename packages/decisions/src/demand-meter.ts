/** Estimates how many slots a stream of requests keeps busy. */

/**
 * Default window over which demand is averaged, in milliseconds. It is several
 * typical waits long, so that the estimate is stable.
 */
const DEFAULT_WINDOW_MS = 2000;

/** Exponentially weighted average of demand, in slots. */
export class DemandMeter {
  private slots = 0;
  private updatedMs = 0;

  constructor(private readonly windowMs = DEFAULT_WINDOW_MS) {}

  /** Records a request that will hold a slot for `serviceMs`. */
  add(serviceMs: number, nowMs: number): void {
    this.slots = this.read(nowMs) + serviceMs / this.windowMs;
  }

  /** Demand at `nowMs`, in slots. */
  read(nowMs: number): number {
    if (nowMs > this.updatedMs) {
      this.slots *= Math.exp((this.updatedMs - nowMs) / this.windowMs);
      this.updatedMs = nowMs;
    }
    return this.slots;
  }
}
