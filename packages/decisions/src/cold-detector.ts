/**
 * Detects that an upstream has become cold without notice: from its report, a
 * refusal, or answers that are far slower than before.
 *
 * Load: a warm upstream at full load that restarts or loses its caches. Harm
 * prevented: full load on a cold upstream with little capacity, which makes it
 * fail. One report or refusal is enough. Slow answers have to be consecutive,
 * because a single long answer proves nothing.
 */

/** One observation of an upstream by an instance. */
export type UpstreamObservation =
  | {readonly kind: 'answer'; readonly firstTokenMs: number}
  | {readonly kind: 'refusal'; readonly reason: 'cold' | 'full'}
  | {readonly kind: 'report'; readonly startedAtMs: number};

/** State of the detector for one upstream. */
export interface ColdDetector {
  readonly isCold: boolean;
  /**
   * Typical time to the first token, in ms, over answers that are not slow;
   * undefined before the first answer.
   */
  readonly typicalMs: number | undefined;
  readonly consecutiveSlow: number;
  /** Start time of the upstream's process, from its last report. */
  readonly startedAtMs: number | undefined;
}

/** Multiple of the typical time above which an answer is slow. */
const SLOW_FACTOR = 4;
/** Consecutive slow answers after which an upstream counts as cold. */
const CONSECUTIVE_SLOW_LIMIT = 3;
/** Weight of one answer in the typical time. */
const WEIGHT = 0.05;

/** State for an unknown upstream, which counts as cold until marked warm. */
export const createColdDetector = (): ColdDetector => ({
  isCold: true,
  typicalMs: undefined,
  consecutiveSlow: 0,
  startedAtMs: undefined,
});

/** Returns the state after the upstream has warmed up. */
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

/** Applies an observation. The caller sends no new requests while `isCold`. */
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
