/** Exponentially weighted mean and mean deviation of a measured quantity. */

/** Share of a new sample; 1/16 follows a change within some 30 samples. */
const GAIN = 1 / 16;

/** Running mean and mean absolute deviation, in the unit of the samples. */
export class MovingEstimate {
  private count = 0;
  private meanValue = 0;
  private deviationValue = 0;

  /** Mean; 0 before the first sample. */
  get mean(): number {
    return this.meanValue;
  }

  /** Mean absolute deviation; 0 before the second sample. */
  get deviation(): number {
    return this.deviationValue;
  }

  get hasSamples(): boolean {
    return this.count > 0;
  }

  /** @param minGain share of the sample when past ones are out of date. */
  add(sample: number, minGain = GAIN): void {
    this.count++;
    // The first samples weigh equally, so that one odd start is soon forgotten.
    const gain = Math.max(GAIN, minGain, 1 / this.count);
    const error = sample - this.meanValue;
    this.meanValue += gain * error;
    if (this.count > 1) {
      this.deviationValue += gain * (Math.abs(error) - this.deviationValue);
    }
  }
}
