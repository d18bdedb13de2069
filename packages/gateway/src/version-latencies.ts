/** Whether answers of a version are far slower than is usual. */
import * as decisions from '@amaranthknot/decisions';

/** What ran: answers of the same service, route and model are alike. */
export interface RequestClass {
  readonly service: string;
  readonly version: string;
  readonly route: string;
  readonly isStream: boolean;
  /** The model that ran; undefined where there is no choice of one. */
  readonly model: string | undefined;
}

/**
 * A stream's pace, and the first byte of a plain answer, count as slow at this
 * many times the median of the old version's answers of the same route and
 * model. On a day of high load one stream in nine took over three times the
 * median, and of a new version's, whose caches fill, three in ten; a bad
 * version's streams took four to fifteen times.
 */
const SLOW_FACTOR = 4;

/**
 * The same for the first byte of a stream. The first prompts of a new version
 * find nothing kept at its upstreams and wait for each other: four of its five
 * first answers took over three times the median, and a good version was
 * rolled back. A slow one shows by its pace as well.
 */
const SLOW_STREAM_FACTOR = 8;

/** Names work whose latencies are about the same. */
const classKeyOf = ({service, route, model}: RequestClass): string =>
  `${service}/${route}/${model ?? ''}`;

/** Latencies that one instance saw, by kind of work. */
export class VersionLatencies {
  private readonly firstBytes = new decisions.MedianLatencies();
  private readonly paces = new decisions.MedianLatencies();

  /** @param isOnTrial whether a version is one that an order brings in now. */
  constructor(
    private readonly isOnTrial: (requestClass: RequestClass) => boolean,
  ) {}

  /** Whether a first byte came late; learns what is usual. */
  isFirstByteSlow(requestClass: RequestClass, firstByteMs: number): boolean {
    const factor = requestClass.isStream ? SLOW_STREAM_FACTOR : SLOW_FACTOR;
    return this.exceedsUsual(
      this.firstBytes,
      requestClass,
      firstByteMs,
      factor,
    );
  }

  /** Whether a stream's events come slowly; learns what is usual. */
  isPaceSlow(requestClass: RequestClass, paceMs: number): boolean {
    return this.exceedsUsual(this.paces, requestClass, paceMs, SLOW_FACTOR);
  }

  /** What a version on trial takes is not usual, however often it is seen. */
  private exceedsUsual(
    usual: decisions.MedianLatencies,
    requestClass: RequestClass,
    latencyMs: number,
    factor: number,
  ): boolean {
    const name = classKeyOf(requestClass);
    const usualMs = usual.medianMs(name);
    if (!this.isOnTrial(requestClass)) {
      usual.record(name, latencyMs);
    }
    return usualMs !== undefined && latencyMs > factor * usualMs;
  }
}
