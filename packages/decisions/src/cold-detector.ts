/**
 * Notices that an upstream has turned cold without warning: from its report,
 * a refusal, or answers far slower than they were.
 *
 * Load: a warm upstream at full use that restarts or loses its caches. Harm
 * prevented: full load on an upstream that bears a little, which makes it
 * fall over. One report or refusal is enough; slow answers must be several in
 * a row, as one long answer proves nothing.
 */

/** What an instance sees of an upstream. */
export type UpstreamSign =
  | {readonly kind: 'answer'; readonly firstTokenMs: number}
  | {readonly kind: 'refusal'; readonly reason: 'cold' | 'full'}
  | {readonly kind: 'report'; readonly startedAtMs: number};

/** What is remembered of one upstream. */
export interface ColdDetector {
  readonly isCold: boolean;
  /** Usual time to the first token, while warm; undefined before any. */
  readonly usualMs: number | undefined;
  readonly slowInRow: number;
  /** Start of the upstream's process, from its report. */
  readonly startedAtMs: number | undefined;
}

const SLOW_FACTOR = 4;
const SLOW_IN_ROW = 3;
/** Weight of one answer in the usual time. */
const WEIGHT = 0.05;

/** An upstream not seen before counts as cold until it is known to be warm. */
export const createColdDetector = (): ColdDetector => ({
  isCold: true,
  usualMs: undefined,
  slowInRow: 0,
  startedAtMs: undefined,
});

/** The upstream has warmed up. */
export const markWarm = (detector: ColdDetector): ColdDetector => ({
  ...detector,
  isCold: false,
  slowInRow: 0,
});

const seeAnswer = (
  detector: ColdDetector,
  firstTokenMs: number,
): ColdDetector => {
  const {usualMs} = detector;
  if (usualMs === undefined) {
    return {...detector, usualMs: firstTokenMs};
  }
  if (firstTokenMs > SLOW_FACTOR * usualMs) {
    const slowInRow = detector.slowInRow + 1;
    const isCold = detector.isCold || slowInRow >= SLOW_IN_ROW;
    return {...detector, slowInRow, isCold};
  }
  const moved = usualMs + WEIGHT * (firstTokenMs - usualMs);
  return {...detector, usualMs: moved, slowInRow: 0};
};

/** Takes in a sign; the caller sends nothing new while `isCold`. */
export const seeSign = (
  detector: ColdDetector,
  sign: UpstreamSign,
): ColdDetector => {
  switch (sign.kind) {
    case 'answer':
      return seeAnswer(detector, sign.firstTokenMs);
    case 'refusal':
      return sign.reason === 'cold' ? {...detector, isCold: true} : detector;
    case 'report': {
      const {startedAtMs} = detector;
      const isNew = startedAtMs !== undefined && startedAtMs < sign.startedAtMs;
      return {
        ...detector,
        startedAtMs: sign.startedAtMs,
        isCold: detector.isCold || isNew,
      };
    }
  }
};
