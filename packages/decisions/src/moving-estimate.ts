/** Exponentially weighted mean and mean deviation of a measured quantity. */

/** Weight of a new sample; 1/16 follows a change within some 30 samples. */
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

  /** @param minGain minimum weight, for when past samples are out of date. */
  add(sample: number, minGain = GAIN): void {
    this.count++;
    // The first samples have equal weights, so that an outlier at the start
    // soon loses its influence.
    const gain = Math.max(GAIN, minGain, 1 / this.count);
    const error = sample - this.meanValue;
    this.meanValue += gain * error;
    if (this.count > 1) {
      this.deviationValue += gain * (Math.abs(error) - this.deviationValue);
    }
  }
}
