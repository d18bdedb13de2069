/**
 * Whether an instance takes requests that others forward to it.
 *
 * Load: most instances have lost their links to upstreams, and the few that
 * have them get the requests of all. Harm prevented: the few are overloaded,
 * and fail their own callers too. Pure.
 */

/**
 * Utilization up to which forwarded requests are taken. The rest is for the
 * instance's own callers and their bursts.
 */
const MAX_UTILIZATION = 0.7;

/** Weight of the newest sample in the mean utilization. */
const SAMPLE_WEIGHT = 0.4;

/** Admission of forwarded requests to one instance. */
export class ForwardAdmission {
  private mean = 0;

  /** Part of the time in which the instance was busy lately, 0 to 1. */
  get utilization(): number {
    return this.mean;
  }

  /**
   * Records the utilization since the last sample, 0 to 1. Samples are taken at
   * a steady rate of a few a second.
   */
  record(utilization: number): void {
    this.mean += SAMPLE_WEIGHT * (utilization - this.mean);
  }

  /** Whether another forwarded request is taken now. */
  hasRoom(): boolean {
    return this.mean < MAX_UTILIZATION;
  }
}
