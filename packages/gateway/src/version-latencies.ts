/** Detects answers of a version that are far slower than typical ones. */
import * as decisions from '@amaranthknot/decisions';
import type * as answerTiming from './answer-timing.js';

/** Kind of a request; latencies compare by service, route and model. */
export interface RequestClass {
  readonly service: string;
  readonly version: string;
  readonly route: string;
  readonly isStream: boolean;
  /** The model that ran; undefined if the route does not choose one. */
  readonly model: string | undefined;
}

/**
 * Multiple of the median, over the old version's answers of the same route and
 * model, above which the pace of a stream or the first byte of a buffered
 * answer counts as slow: above what load and empty caches add to a sound
 * version's.
 */
const SLOW_FACTOR = 4;

/**
 * The same for the first byte of a stream: the first prompts of a new version
 * find empty caches and wait for each other. A slow version is still detected by
 * its pace.
 */
const SLOW_STREAM_FACTOR = 8;

/** Key of requests whose latencies are comparable. */
export const classKeyOf = ({service, route, model}: RequestClass): string =>
  `${service}/${route}/${model ?? ''}`;

/** Latencies that this instance observed, by kind of request. */
export class VersionLatencies {
  private readonly firstBytes = new decisions.MedianLatencies();
  private readonly paces = new decisions.MedianLatencies();

  /** @param isOnTrial whether a running rollout introduces the version. */
  constructor(
    private readonly isOnTrial: (requestClass: RequestClass) => boolean,
  ) {}

  /** Whether a first byte was slow; records it for the typical latency. */
  isFirstByteSlow(requestClass: RequestClass, firstByteMs: number): boolean {
    const factor = requestClass.isStream ? SLOW_STREAM_FACTOR : SLOW_FACTOR;
    return this.exceedsTypical(
      this.firstBytes,
      requestClass,
      firstByteMs,
      factor,
    );
  }

  /** Whether a stream's pace was slow; records it for the typical pace. */
  isPaceSlow(requestClass: RequestClass, paceMs: number): boolean {
    return this.exceedsTypical(this.paces, requestClass, paceMs, SLOW_FACTOR);
  }

  /** Typical times of the kind of answer on the old version, as of now. */
  typicalTimes(requestClass: RequestClass): answerTiming.TypicalTimes {
    const name = classKeyOf(requestClass);
    return {
      firstByteMs: this.firstBytes.medianMs(name),
      paceMs: this.paces.medianMs(name),
    };
  }

  /** A version on trial is compared but not recorded: it is not typical. */
  private exceedsTypical(
    medians: decisions.MedianLatencies,
    requestClass: RequestClass,
    latencyMs: number,
    factor: number,
  ): boolean {
    const name = classKeyOf(requestClass);
    const medianMs = medians.medianMs(name);
    if (!this.isOnTrial(requestClass)) {
      medians.record(name, latencyMs);
    }
    return medianMs !== undefined && latencyMs > factor * medianMs;
  }
}
