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
  | 'key_revoked';

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

/** Probability that a fault is injected two or three times in succession. */
const REPEAT_PROBABILITY = 0.3;
const REPEAT_INTERVAL_MS = 300;

const drawBetween = (
  random: () => number,
  {min, max}: {readonly min: number; readonly max: number},
): number => Math.round(min + random() * (max - min));

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
