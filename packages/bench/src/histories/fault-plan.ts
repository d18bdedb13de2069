/** Draws what goes wrong in one run, within what the design bears. */

/** One fault of a run. */
export type PlannedFault =
  | {
      readonly kind: 'kill';
      readonly atMs: number;
      /** Whether all instances of the victim's zone die with it. */
      readonly wholeZone: boolean;
      /** Whether the victim is the instance that answered last. */
      readonly afterAnswer: boolean;
    }
  | {readonly kind: 'pause'; readonly atMs: number; readonly ms: number}
  | {readonly kind: 'restart'; readonly atMs: number}
  | {
      /** The platform is out for all. */
      readonly kind: 'outage';
      readonly atMs: number;
      readonly ms: number;
      /** Whether writes take effect while their answers are lost. */
      readonly deaf: boolean;
    }
  | {
      /** An instance is cut from its peers. */
      readonly kind: 'isolation';
      readonly atMs: number;
      readonly ms: number;
      /** Whether it is cut from the platform, too. */
      readonly fromPlatform: boolean;
      /** Whether it dies before anyone reaches it again. */
      readonly endsInKill: boolean;
    };

/** Rates of faults of single calls and messages, 0 to 1. */
export interface FaultRates {
  readonly lost: number;
  readonly stale: number;
  readonly down: number;
  readonly slow: number;
  readonly messageLoss: number;
}

/** What goes wrong in one run. */
export interface FaultPlan {
  readonly rates: FaultRates;
  readonly faults: readonly PlannedFault[];
}

const MAX_GROUPS = 3;
/** Faults of one group come this close together. */
const GROUP_MS = 1_000;
/**
 * Time between two groups: peers need 3 s to suspect an instance and some
 * seconds more to copy or recover its bills. In an outage they cannot recover
 * them, so such a run has one group.
 */
const GROUP_GAP_MS = 12_000;

type Random = () => number;

const draw = (random: Random, count: number): number =>
  Math.floor(random() * count);

const repeat = <T>(count: number, create: () => T): readonly T[] =>
  Array.from({length: count}, create);

/** Draws rates once a run, so that runs differ in what is common in them. */
const drawRates = (random: Random): FaultRates => ({
  lost: random() < 0.5 ? random() * 0.3 : 0,
  stale: random() < 0.5 ? random() * 0.3 : 0,
  down: random() < 0.3 ? random() * 0.2 : 0,
  slow: random() < 0.3 ? random() * 0.1 : 0,
  messageLoss: random() < 0.3 ? random() * 0.1 : 0,
});

/**
 * One instance or one zone, and in half of the cases one instance more. Where
 * a third zone may be away at that time, a zone dies alone: bills are then in
 * two zones only, and both would die at once.
 */
const drawGroup = (
  random: Random,
  startMs: number,
  mayZoneBeAway: boolean,
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
    atMs: startMs + random() * GROUP_MS,
    wholeZone: false,
    afterAnswer: random() < 0.5,
  };
  const alone = random() < 0.5 || (wholeZone && mayZoneBeAway);
  return alone ? [first] : [first, second];
};

const drawKills = (
  random: Random,
  runMs: number,
  hasOutage: boolean,
  mayZoneBeAway: boolean,
): readonly PlannedFault[] => {
  const groups = draw(random, (hasOutage ? 1 : MAX_GROUPS) + 1);
  let startMs = random() * (runMs / 2);
  return repeat(groups, () => {
    const group = drawGroup(random, startMs, mayZoneBeAway);
    startMs += GROUP_GAP_MS + random() * GROUP_GAP_MS;
    return group;
  }).flat();
};

/** Draws a run's faults from a seeded random function. */
export const drawFaultPlan = (random: Random, runMs: number): FaultPlan => {
  const rates = drawRates(random);
  const outages = repeat(draw(random, 3), (): PlannedFault => ({
    kind: 'outage',
    atMs: random() * runMs,
    ms: random() * 15_000,
    deaf: random() < 0.3,
  }));
  const isolations = repeat(draw(random, 2), (): PlannedFault => ({
    kind: 'isolation',
    atMs: random() * runMs,
    ms: random() * 15_000,
    fromPlatform: random() < 0.5,
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
  const mayZoneBeAway = isolations.length + pauses.length > 0;
  const isKilledAway = isolations.some(
    fault => fault.kind === 'isolation' && fault.endsInKill,
  );
  const groups = drawKills(random, runMs, hasOutage, mayZoneBeAway);
  const kills = isKilledAway ? [] : groups;
  const faults = [...outages, ...isolations, ...pauses, ...restarts, ...kills];
  return {rates, faults};
};
