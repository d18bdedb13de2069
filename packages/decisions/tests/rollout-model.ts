/** A model of one rollout in virtual time, without instances or upstreams. */
import * as decisions from '@amaranthknot/decisions';
import * as fakes from '@amaranthknot/fakes';

/** The rollout and its load. */
export interface ModelledRollout {
  readonly seed: number;
  readonly durationMs: number;
  readonly requestsPerS: number;
  /** Share of the new version's answers that are slower, and by how much. */
  readonly slowShare: number;
  readonly slowFactor: number;
  /** Factor by which a load makes all answers of the old version slower. */
  readonly oldFactor: number;
  /** Factor by which a load makes all answers of both versions slower. */
  readonly loadFactor: number;
}

/** How a modelled rollout ended. */
export interface ModelledEnd {
  readonly state: 'completed' | 'rolled_back';
  readonly ageMs: number;
  /** Share of all requests that the new version got. */
  readonly exposure: number;
}

const LIMIT = {share: 0.15, slack: 30};
const SESSION_MS = 5_000;
const STEP_MS = 50;

/** Typical wait for a first byte, in ms; the pace is known as long after it. */
const TYPICAL_MS = 300;

/** Spread of the times of a sound version: a fifth take over twice as long. */
const LOG_SPREAD = 0.82;

/** Multiple of the typical pace from which a stream counts as dragging. */
const DRAGGING_FACTOR = 4;

interface Counts {
  old: decisions.VersionCounts;
  new: decisions.VersionCounts;
}

/** A time that becomes known later. */
interface PendingTime {
  readonly atMs: number;
  readonly version: decisions.RolloutVersion;
  readonly counts: Partial<decisions.VersionCounts>;
}

const drawNormal = (random: () => number): number =>
  Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());

/** Plays one rollout to its end. */
export const playRollout = (rollout: ModelledRollout): ModelledEnd => {
  const random = fakes.createRandom(rollout.seed);
  const counts: Counts = {old: decisions.NO_COUNTS, new: decisions.NO_COUNTS};
  const pending: PendingTime[] = [];
  const sent = {old: 0, new: 0};
  let judged: decisions.VersionVerdict = 'unclear';
  let judgedAtMs = 0;
  for (let ageMs = 0; ; ageMs += STEP_MS) {
    pending
      .filter(({atMs}) => atMs <= ageMs)
      .forEach(time => {
        pending.splice(pending.indexOf(time), 1);
        counts[time.version] = decisions.addCounts(
          counts[time.version],
          time.counts,
        );
      });
    const evidence = new Map([['route', {a: counts}]]);
    const timing = {
      ageMs,
      durationMs: rollout.durationMs,
      sessionMs: SESSION_MS,
    };
    const verdict = decisions.judgeVersion(evidence);
    judgedAtMs = verdict === judged ? judgedAtMs : ageMs;
    judged = verdict;
    const state = decisions.findRolloutEnd(timing, verdict, ageMs - judgedAtMs);
    if (state) {
      return {state, ageMs, exposure: sent.new / (sent.old + sent.new)};
    }
    const share = decisions.findRolloutShare({
      timing,
      verdict,
      limit: LIMIT,
      fullTrafficMs: decisions.findFullTrafficMs(timing, counts, LIMIT),
    });
    if (random() < (rollout.requestsPerS * STEP_MS) / 1_000) {
      const version = random() < share ? 'new' : 'old';
      sent[version]++;
      pending.push(...drawTimes(rollout, version, ageMs, random));
    }
  }
};

/** The first byte, the pace and the end of one streamed answer. */
const drawTimes = (
  {slowShare, slowFactor, oldFactor, loadFactor}: ModelledRollout,
  version: decisions.RolloutVersion,
  nowMs: number,
  random: () => number,
): readonly PendingTime[] => {
  const isSlow = version === 'new' && random() < slowShare;
  const versionFactor = version === 'old' ? oldFactor : 1;
  const factor = loadFactor * versionFactor * (isSlow ? slowFactor : 1);
  const wait = factor * Math.exp(LOG_SPREAD * drawNormal(random));
  const pace = factor * Math.exp(LOG_SPREAD * drawNormal(random));
  const firstByteAtMs = nowMs + Math.min(wait, 2) * TYPICAL_MS;
  const pacedAtMs = nowMs + (wait + Math.min(pace, 2)) * TYPICAL_MS;
  return [
    {
      atMs: firstByteAtMs,
      version,
      counts: {compared: 1, slower: wait > 2 ? 1 : 0},
    },
    {
      atMs: pacedAtMs,
      version,
      counts: {compared: 1, slower: pace > 2 ? 1 : 0},
    },
    {
      atMs: nowMs + (wait + 4 * pace) * TYPICAL_MS,
      version,
      counts: {
        requests: 1,
        paced: 1,
        dragging: pace > DRAGGING_FACTOR ? 1 : 0,
      },
    },
  ];
};
