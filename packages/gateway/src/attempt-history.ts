/** Counts the attempts of one request: sent, arrived, possibly run. */
import type * as runContext from './run-context.js';
import type * as upstreamCall from './upstream-call.js';

/** What happened to a request before an attempt is placed. */
export interface AttemptSummary {
  /** Number of attempts so far. */
  readonly sends: number;
  /** Whether it has been counted as a request, also if nothing was sent. */
  readonly isCounted: boolean;
  /** Whether one of them may have reached an upstream. */
  readonly isRepeat: boolean;
  /** Whether one of them found its upstream out of reach. */
  readonly hasUnreached: boolean;
  /** Number of upstreams on which the request may have run. */
  readonly runs: number;
}

/** The attempts of one request at this instance, and at the one before it. */
export class AttemptHistory {
  private sendCount = 0;
  private hasBegun = false;
  private unreachedCount = 0;
  /** Upstreams that this instance called and that may have run the request. */
  private directRuns = 0;
  /** Those of them that were called while the links to them were there. */
  private linkedRuns = 0;
  /** Upstreams that other instances may have called for it. */
  private forwardedRuns = 0;

  /** @param isLost whether the links to the service's upstreams are lost. */
  constructor(
    private readonly request: runContext.AcceptedRequest,
    private readonly isLost: () => boolean,
  ) {}

  /** Number of attempts of this instance. */
  get sends(): number {
    return this.sendCount;
  }

  /** Number of upstreams on which the request may have run. */
  get runs(): number {
    return this.directRuns + this.forwardedRuns;
  }

  /**
   * Whether the route allows no further run. Upstreams that have been cut off
   * from this instance do not count, unless one has answered since.
   */
  isExhausted(): boolean {
    const {maxAttempts} = this.request.route;
    return this.countedRuns() >= maxAttempts;
  }

  /** Records an attempt that is sent. */
  begin({forward}: runContext.PlacedAttempt): void {
    this.sendCount++;
    this.hasBegun = true;
    if (forward) {
      this.forwardedRuns += forward.attempts;
    } else {
      this.directRuns++;
    }
  }

  /**
   * Records that the head of an answer has arrived: the links were there, so
   * what was sent until then may have run.
   */
  recordHead({forward}: runContext.PlacedAttempt): void {
    if (!forward) {
      this.linkedRuns = this.directRuns;
    }
  }

  /** Records that an attempt failed. */
  recordFailure(
    {forward}: runContext.PlacedAttempt,
    {ran, reason}: upstreamCall.CallFailure,
  ): void {
    // An instance that refuses to take a request has sent it nowhere.
    const isUnreached =
      reason === 'unreachable' || (forward && reason === 'refused');
    this.unreachedCount += isUnreached ? 1 : 0;
    this.sendCount -= reason === 'withdrawn' ? 1 : 0;
    if (ran === 'unknown') {
      return;
    }
    if (forward) {
      this.forwardedRuns -= forward.attempts;
    } else {
      this.directRuns--;
    }
  }

  /** What the placement of the next attempt depends on. */
  summarize(): AttemptSummary {
    const {forwarded} = this.request;
    const hasArrived = this.sendCount > this.unreachedCount;
    return {
      sends: this.sendCount + (forwarded?.sends ?? 0),
      isCounted: this.hasBegun || (forwarded?.sends ?? 0) > 0,
      isRepeat: hasArrived || forwarded?.isRepeat === true,
      hasUnreached: this.unreachedCount > 0,
      runs: this.countedRuns(),
    };
  }

  private countedRuns(): number {
    if (!this.isLost()) {
      return this.runs;
    }
    // An attempt beside the answered one may turn out not to have run.
    return this.forwardedRuns + Math.min(this.linkedRuns, this.directRuns);
  }
}
