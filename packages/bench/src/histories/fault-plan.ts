/** Draws the faults of one run, within what the design has to tolerate. */

/** A fault and its time, in milliseconds from the start of the run. */
export type PlannedFault =
  | {
      readonly kind: 'kill';
      readonly atMs: number;
      /** Whether all instances in the zone are killed. */
      readonly wholeZone: boolean;
      /** Whether to kill the instance that answered last. */
      readonly afterAnswer: boolean;
    }
  | {readonly kind: 'pause'; readonly atMs: number; readonly ms: number}
  | {readonly kind: 'restart'; readonly atMs: number}
  | {
      /** The platform is unavailable to all instances. */
      readonly kind: 'outage';
      readonly atMs: number;
      readonly ms: number;
      /** Whether writes take effect but their answers are lost. */
      readonly losesAnswers: boolean;
    }
  | {
      /** An instance is cut off from its peers. */
      readonly kind: 'isolation';
      readonly atMs: number;
      readonly ms: number;
      /** Whether it is cut off from the platform as well. */
      readonly alsoFromPlatform: boolean;
      /** Whether it is killed before it is reachable again. */
      readonly endsInKill: boolean;
    };

/** Fault rates of single calls and messages, from 0 to 1. */
export interface FaultRates {
  readonly lost: number;
  readonly stale: number;
  readonly down: number;
  readonly slow: number;
  readonly messageLoss: number;
}

/** All faults of one run. */
export interface FaultPlan {
  readonly rates: FaultRates;
  readonly faults: readonly PlannedFault[];
}

const MAX_KILL_GROUPS = 3;
/** Kills of one group happen within this time. */
const KILL_GROUP_SPAN_MS = 1_000;
/**
 * Minimum time between two groups of kills: peers need 3 s to suspect an
 * instance and some seconds more to copy or recover its bills. During an outage
 * they can't recover bills, so a run with outages has at most one group.
 */
const MIN_KILL_GROUP_GAP_MS = 12_000;

type Random = () => number;

const draw = (random: Random, count: number): number =>
  Math.floor(random() * count);

const repeat = <T>(count: number, create: () => T): readonly T[] =>
  Array.from({length: count}, create);

/** Draws the rates of a run, so that different faults dominate in each. */
const drawRates = (random: Random): FaultRates => ({
  lost: random() < 0.5 ? random() * 0.3 : 0,
  stale: random() < 0.5 ? random() * 0.3 : 0,
  down: random() < 0.3 ? random() * 0.2 : 0,
  slow: random() < 0.3 ? random() * 0.1 : 0,
  messageLoss: random() < 0.3 ? random() * 0.1 : 0,
});

/**
 * Draws the kill of one instance or one zone, and in half of the cases of one
 * more instance. If a third zone may be unreachable at that time, a zone is
 * killed alone: bills are then held in two zones only, and killing in both would
 * lose them.
 */
const drawKillGroup = (
  random: Random,
  startMs: number,
  mayZoneBeUnreachable: boolean,
): readonly PlannedFault[] => {
  const wholeZone = random() < 0.3;
  const first: PlannedFault = {
    kind: 'kill',
    atMs: startMs,
    wholeZone,
    afterAnswer: random() < 0.7,
  };
  const second: PlannedFault = {
    kind: 'kill',
    atMs: startMs + random() * KILL_GROUP_SPAN_MS,
    wholeZone: false,
    afterAnswer: random() < 0.5,
  };
  const isSingleKill = random() < 0.5 || (wholeZone && mayZoneBeUnreachable);
  return isSingleKill ? [first] : [first, second];
};

const drawKills = (
  random: Random,
  runMs: number,
  hasOutage: boolean,
  mayZoneBeUnreachable: boolean,
): readonly PlannedFault[] => {
  const groups = draw(random, (hasOutage ? 1 : MAX_KILL_GROUPS) + 1);
  let startMs = random() * (runMs / 2);
  return repeat(groups, () => {
    const group = drawKillGroup(random, startMs, mayZoneBeUnreachable);
    startMs += MIN_KILL_GROUP_GAP_MS + random() * MIN_KILL_GROUP_GAP_MS;
    return group;
  }).flat();
};

/** Draws the faults of a run of `runMs` from a seeded random function. */
export const drawFaultPlan = (random: Random, runMs: number): FaultPlan => {
  const rates = drawRates(random);
  const outages = repeat(draw(random, 3), (): PlannedFault => ({
    kind: 'outage',
    atMs: random() * runMs,
    ms: random() * 15_000,
    losesAnswers: random() < 0.3,
  }));
  const isolations = repeat(draw(random, 2), (): PlannedFault => ({
    kind: 'isolation',
    atMs: random() * runMs,
    ms: random() * 15_000,
    alsoFromPlatform: random() < 0.5,
    endsInKill: random() < 0.4,
  }));
  const pauses = repeat(draw(random, 3), (): PlannedFault => ({
    kind: 'pause',
    atMs: random() * runMs,
    ms: random() * 12_000,
  }));
  const restarts = repeat(draw(random, 3), (): PlannedFault => ({
    kind: 'restart',
    atMs: random() * runMs,
  }));
  const hasOutage = outages.length + isolations.length > 0;
  const mayZoneBeUnreachable = isolations.length + pauses.length > 0;
  const isIsolatedInstanceKilled = isolations.some(
    fault => fault.kind === 'isolation' && fault.endsInKill,
  );
  const groups = drawKills(random, runMs, hasOutage, mayZoneBeUnreachable);
  const kills = isIsolatedInstanceKilled ? [] : groups;
  const faults = [...outages, ...isolations, ...pauses, ...restarts, ...kills];
  return {rates, faults};
};
