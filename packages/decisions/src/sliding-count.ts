/** Counts what happened in the last moments. Pure: time is an argument. */

/** Events within a window that slides. */
export class SlidingCount {
  private times: number[] = [];
  private first = 0;

  /** @param windowMs length of the window in milliseconds. */
  constructor(private readonly windowMs: number) {}

  /** Notes one event. */
  add(nowMs: number): void {
    this.times.push(nowMs);
  }

  /** Events within the window that ends now. */
  count(nowMs: number): number {
    const from = nowMs - this.windowMs;
    while ((this.times[this.first] ?? Infinity) <= from) {
      this.first++;
    }
    if (this.first > this.times.length / 2) {
      this.times = this.times.slice(this.first);
      this.first = 0;
    }
    return this.times.length - this.first;
  }
}
