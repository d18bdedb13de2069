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
export type UpstreamObservation =
  | {readonly kind: 'answer'; readonly firstTokenMs: number}
  | {readonly kind: 'refusal'; readonly reason: 'cold' | 'full'}
  | {readonly kind: 'report'; readonly startedAtMs: number};

/** What is remembered of one upstream. */
export interface ColdDetector {
  readonly isCold: boolean;
  /** Usual time to the first token, while warm; undefined before any. */
  readonly typicalMs: number | undefined;
  readonly consecutiveSlow: number;
  /** Start of the upstream's process, from its report. */
  readonly startedAtMs: number | undefined;
}

const SLOW_FACTOR = 4;
const CONSECUTIVE_SLOW_LIMIT = 3;
/** Weight of one answer in the usual time. */
const WEIGHT = 0.05;

/** An upstream not seen before counts as cold until it is known to be warm. */
export const createColdDetector = (): ColdDetector => ({
  isCold: true,
  typicalMs: undefined,
  consecutiveSlow: 0,
  startedAtMs: undefined,
});

/** The upstream has warmed up. */
export const markWarm = (detector: ColdDetector): ColdDetector => ({
  ...detector,
  isCold: false,
  consecutiveSlow: 0,
});

const observeAnswer = (
  detector: ColdDetector,
  firstTokenMs: number,
): ColdDetector => {
  const {typicalMs} = detector;
  if (typicalMs === undefined) {
    return {...detector, typicalMs: firstTokenMs};
  }
  if (firstTokenMs > SLOW_FACTOR * typicalMs) {
    const consecutiveSlow = detector.consecutiveSlow + 1;
    const isCold = detector.isCold || consecutiveSlow >= CONSECUTIVE_SLOW_LIMIT;
    return {...detector, consecutiveSlow, isCold};
  }
  const updatedMs = typicalMs + WEIGHT * (firstTokenMs - typicalMs);
  return {...detector, typicalMs: updatedMs, consecutiveSlow: 0};
};

/** Takes in a sign; the caller sends nothing new while `isCold`. */
export const observeUpstream = (
  detector: ColdDetector,
  observation: UpstreamObservation,
): ColdDetector => {
  switch (observation.kind) {
    case 'answer':
      return observeAnswer(detector, observation.firstTokenMs);
    case 'refusal':
      return observation.reason === 'cold'
        ? {...detector, isCold: true}
        : detector;
    case 'report': {
      const {startedAtMs} = detector;
      const isNew =
        startedAtMs !== undefined && startedAtMs < observation.startedAtMs;
      return {
        ...detector,
        startedAtMs: observation.startedAtMs,
        isCold: detector.isCold || isNew,
      };
    }
  }
};
