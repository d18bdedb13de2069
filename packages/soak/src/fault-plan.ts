/** Draws the faults of one run from its seed. Pure. */

/** What can go wrong. All but signals are done by proxies and stand-ins. */
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

/** One fault. */
export interface Fault {
  readonly kind: FaultKind;
  /** From the start of the load, in milliseconds. */
  readonly atMs: number;
  /** How long it lasts, in milliseconds, where it lasts. */
  readonly forMs: number;
  /** Which instance or upstream, counted from 0, modulo how many there are. */
  readonly target: number;
}

/** Time between two faults; shorter than they last, so that they overlap. */
const FAULT_INTERVAL_MS = {min: 150, max: 1_200};

/** How long a fault lasts. */
const FAULT_DURATION_MS = {min: 200, max: 2_500};

/** Chance that a fault comes twice or three times in quick succession. */
const REPEAT_PROBABILITY = 0.3;
const REPEAT_INTERVAL_MS = 300;

const drawBetween = (
  random: () => number,
  {min, max}: {readonly min: number; readonly max: number},
): number => Math.round(min + random() * (max - min));

/** Faults within `lengthMs`, in order of time. */
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
