/** Slots that a stream of requests keeps busy, averaged over a while. */

/** Time over which demand is averaged: some waits long, so that it is steady. */
const DEFAULT_WINDOW_MS = 2000;

/** Exponentially decaying demand, in slots. */
export class DemandMeter {
  private slots = 0;
  private updatedMs = 0;

  constructor(private readonly windowMs = DEFAULT_WINDOW_MS) {}

  /** Notes a request that will hold a slot for `serviceMs`. */
  add(serviceMs: number, nowMs: number): void {
    this.slots = this.read(nowMs) + serviceMs / this.windowMs;
  }

  /** Demand now. */
  read(nowMs: number): number {
    if (nowMs > this.updatedMs) {
      this.slots *= Math.exp((this.updatedMs - nowMs) / this.windowMs);
      this.updatedMs = nowMs;
    }
    return this.slots;
  }
}
