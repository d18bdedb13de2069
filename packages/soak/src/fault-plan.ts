/** Draws the fault plan of one run from a random source. Pure. */

/**
 * Kinds of fault. The first four are signals to a gateway process; proxies and
 * the fake store inject the rest.
 */
export type FaultKind =
  | 'kill'
  | 'planned_stop'
  | 'pause'
  | 'reload'
  | 'store_silent'
  | 'store_refusing'
  | 'store_cut'
  | 'store_delayed'
  | 'upstream_reset'
  | 'upstream_silent'
  | 'upstream_one_way'
  | 'upstream_delayed'
  | 'upstream_leaves'
  | 'configuration_change'
  | 'key_revoked'
  | 'upstream_sheds'
  | 'upstream_says_leaving'
  | 'links_hang'
  | 'links_reset'
  | 'links_new_refused'
  | 'links_one_way'
  | 'upstreams_fragile'
  | 'upstream_pauses'
  | 'fatal_part'
  | 'upstream_returns_cold'
  | 'upstreams_return_cold'
  | 'upstream_restarts_cold'
  | 'upstream_killed'
  | 'upstream_replaced'
  | 'callers_leave_pause'
  | 'upstreams_break_off'
  | 'instances_killed_in_turn'
  | 'instances_stopped_in_turn'
  | 'half_of_instances_killed';

const KINDS: readonly FaultKind[] = [
  'kill',
  'planned_stop',
  'pause',
  'reload',
  'store_silent',
  'store_refusing',
  'store_cut',
  'store_delayed',
  'upstream_reset',
  'upstream_silent',
  'upstream_one_way',
  'upstream_delayed',
  'upstream_leaves',
  'configuration_change',
  'key_revoked',
];

/** One fault of the plan. */
export interface Fault {
  readonly kind: FaultKind;
  /** Start, in milliseconds from the start of the load. */
  readonly atMs: number;
  /** Duration in milliseconds; kinds that are momentary ignore it. */
  readonly forMs: number;
  /** Index of the instance or upstream, modulo their number. */
  readonly target: number;
}

/** Time between two faults; shorter than most faults, so that they overlap. */
const FAULT_INTERVAL_MS = {min: 150, max: 1_200};

/** Duration of a fault. */
const FAULT_DURATION_MS = {min: 200, max: 2_500};

/**
 * Kinds whose faults are drawn apart from the others, so that a seed keeps the
 * plan that it had without them.
 */
const NOTICE_KINDS: readonly FaultKind[] = [
  'upstream_sheds',
  'upstream_says_leaving',
];

/** Time between two faults of these kinds, and their duration. */
const NOTICE_INTERVAL_MS = {min: 1_000, max: 3_000};
const NOTICE_DURATION_MS = {min: 1_500, max: 4_000};

/**
 * Kinds of cuts between an instance and all upstreams, and faults that concern
 * who reaches an upstream and how much it takes; drawn apart as well.
 */
const LINK_KINDS: readonly FaultKind[] = [
  'links_hang',
  'links_reset',
  'links_new_refused',
  'links_one_way',
  'upstreams_fragile',
  'upstream_pauses',
];

/** Time between two of these, and their duration. */
const LINK_INTERVAL_MS = {min: 500, max: 2_500};
const LINK_DURATION_MS = {min: 5_000, max: 8_000};

/**
 * Duration of a time in which a part ends upstreams; one in each run. Well above
 * the time after which instances must know the part.
 */
const FATAL_DURATION_MS = {min: 8_000, max: 10_000};

/** Kinds by which upstreams are away and back cold; drawn apart as well. */
const COLD_KINDS: readonly FaultKind[] = [
  'upstream_returns_cold',
  'upstreams_return_cold',
  'upstream_restarts_cold',
];

/** Time between two of these, and for how long upstreams are away. */
const COLD_INTERVAL_MS = {min: 2_000, max: 4_500};
const COLD_AWAY_MS = {min: 1_500, max: 2_500};

/**
 * Kinds by which the process of an upstream is killed while it answers, and
 * another one has its address at once or not; drawn apart as well.
 */
const KILL_KINDS: readonly FaultKind[] = [
  'upstream_killed',
  'upstream_replaced',
];

/** Time between two of these. */
const KILL_INTERVAL_MS = {min: 800, max: 2_500};

/** The kind by which an instance is paused while callers write and leave. */
const LEAVE_KINDS: readonly FaultKind[] = ['callers_leave_pause'];

/** Time between two of these, and their duration. */
const LEAVE_INTERVAL_MS = {min: 1_500, max: 3_500};
const LEAVE_DURATION_MS = {min: 1_000, max: 1_800};

/**
 * Time without faults before most answers break off, in milliseconds: what
 * instances have not repeated until then may be repeated when callers move.
 */
const CALM_MS = {min: 8_000, max: 10_000};

/** Kinds by which callers move between instances meanwhile. */
const MOVE_KINDS: readonly FaultKind[] = [
  'instances_killed_in_turn',
  'instances_stopped_in_turn',
  'half_of_instances_killed',
  'half_of_instances_killed',
  'configuration_change',
  'pause',
];

/** Time between two of these, and for how long instances pause. */
const MOVE_INTERVAL_MS = {min: 700, max: 2_500};
const MOVE_PAUSE_MS = {min: 500, max: 2_000};

/** Probability that a fault is injected two or three times in succession. */
const REPEAT_PROBABILITY = 0.3;
const REPEAT_INTERVAL_MS = 300;

const drawBetween = (random: () => number, {min, max}: Range): number =>
  Math.round(min + random() * (max - min));

interface Range {
  readonly min: number;
  readonly max: number;
}

/** How faults of some kinds follow each other. */
interface FaultSeries {
  readonly kinds: readonly FaultKind[];
  readonly intervalMs: Range;
  readonly forMs: Range;
}

const drawSeries = (
  random: () => number,
  durationMs: number,
  {kinds, intervalMs, forMs}: FaultSeries,
): readonly Fault[] => {
  const faults: Fault[] = [];
  let atMs = drawBetween(random, intervalMs);
  while (atMs < durationMs) {
    const kind = kinds[Math.floor(random() * kinds.length)];
    if (kind) {
      faults.push({
        kind,
        atMs,
        forMs: drawBetween(random, forMs),
        target: Math.floor(random() * 1_000),
      });
    }
    atMs += drawBetween(random, intervalMs);
  }
  return faults;
};

/** Draws the faults by which upstreams ask for a backoff, or say they leave. */
export const drawNoticeFaults = (
  random: () => number,
  durationMs: number,
): readonly Fault[] =>
  drawSeries(random, durationMs, {
    kinds: NOTICE_KINDS,
    intervalMs: NOTICE_INTERVAL_MS,
    forMs: NOTICE_DURATION_MS,
  });

/** Draws cuts of links, and upstreams that pause or bear few refusals. */
export const drawLinkFaults = (
  random: () => number,
  durationMs: number,
): readonly Fault[] =>
  drawSeries(random, durationMs, {
    kinds: LINK_KINDS,
    intervalMs: LINK_INTERVAL_MS,
    forMs: LINK_DURATION_MS,
  });

/** Draws upstreams that are away and back cold. */
export const drawColdFaults = (
  random: () => number,
  durationMs: number,
): readonly Fault[] =>
  drawSeries(random, durationMs, {
    kinds: COLD_KINDS,
    intervalMs: COLD_INTERVAL_MS,
    forMs: COLD_AWAY_MS,
  });

/** Draws upstreams whose processes are killed. */
export const drawKillFaults = (
  random: () => number,
  durationMs: number,
): readonly Fault[] =>
  drawSeries(random, durationMs, {
    kinds: KILL_KINDS,
    intervalMs: KILL_INTERVAL_MS,
    forMs: {min: 0, max: 0},
  });

/** Draws pauses of instances in which callers write and leave. */
export const drawLeaveFaults = (
  random: () => number,
  durationMs: number,
): readonly Fault[] =>
  drawSeries(random, durationMs, {
    kinds: LEAVE_KINDS,
    intervalMs: LEAVE_INTERVAL_MS,
    forMs: LEAVE_DURATION_MS,
  });

/** Draws the time in which a part of prompts ends upstreams. */
export const drawFatalPart = (
  random: () => number,
  durationMs: number,
): Fault => ({
  kind: 'fatal_part',
  atMs: drawBetween(random, {min: 0, max: durationMs / 2}),
  forMs: drawBetween(random, FATAL_DURATION_MS),
  target: 0,
});

/** Draws a time in which most answers break off while callers move. */
export const drawRepeatFaults = (
  random: () => number,
  durationMs: number,
): readonly Fault[] => {
  const calmMs = drawBetween(random, CALM_MS);
  const forMs = durationMs - calmMs;
  const moves = drawSeries(random, forMs, {
    kinds: MOVE_KINDS,
    intervalMs: MOVE_INTERVAL_MS,
    forMs: MOVE_PAUSE_MS,
  });
  return [
    {kind: 'upstreams_break_off', atMs: calmMs, forMs, target: 0},
    ...moves.map(fault => ({...fault, atMs: calmMs + fault.atMs})),
  ];
};

/** Draws faults for a run of `durationMs`, ordered by start. */
export const drawFaults = (
  random: () => number,
  durationMs: number,
): readonly Fault[] => {
  const faults: Fault[] = [];
  let atMs = drawBetween(random, FAULT_INTERVAL_MS);
  while (atMs < durationMs) {
    const kind = KINDS[Math.floor(random() * KINDS.length)] ?? 'kill';
    const forMs = drawBetween(random, FAULT_DURATION_MS);
    const target = Math.floor(random() * 1_000);
    const repeats =
      random() < REPEAT_PROBABILITY ? 2 + Math.floor(random() * 2) : 1;
    for (let i = 0; i < repeats; i++) {
      faults.push({kind, atMs: atMs + i * REPEAT_INTERVAL_MS, forMs, target});
    }
    atMs += drawBetween(random, FAULT_INTERVAL_MS);
  }
  return faults.sort((a, b) => a.atMs - b.atMs);
};
