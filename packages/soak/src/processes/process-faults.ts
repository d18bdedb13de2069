/** Draws what is done to real processes, in series that overlap. */

/** Parts of an instance that listen; each has its address. */
export const LISTENERS = [
  'callers',
  'readiness',
  'directory',
  'peers',
  'metrics',
] as const;

export type Listener = (typeof LISTENERS)[number];

/** Kinds of fault. */
export const PROCESS_FAULTS = [
  'kill',
  'stop',
  'stop_twice',
  'stop_in_start',
  'hangup',
  'hangup_twice',
  'hangup_in_start',
  'pause',
  'stop_in_turn',
  'kill_in_turn',
  'stop_half',
  'kill_half',
  'settings_change',
  'configuration_change',
  'log_unread',
  'log_closed',
  'address_taken',
  'large_bodies',
] as const;

export type ProcessFaultKind = (typeof PROCESS_FAULTS)[number];

/** One fault. */
export interface ProcessFault {
  readonly kind: ProcessFaultKind;
  /** Time after the first fault may come, in milliseconds. */
  readonly atMs: number;
  /** Number of the instance; modulo their number. */
  readonly target: number;
  /** How long it lasts, where it lasts, in milliseconds. */
  readonly forMs: number;
  /** Time after a start, for faults in it, in milliseconds. */
  readonly afterStartMs: number;
  /** For addresses that are taken. */
  readonly listener: Listener;
}

/** Time between two faults, in milliseconds. */
const GAP_MS = {min: 100, max: 900};

const FOR_MS = {min: 300, max: 1_500};

/** Time after a start in which signals meet it, in milliseconds. */
const START_MS = 200;

/** Instances that the largest deployment has. */
const MAX_TARGET = 1_000;

const shuffle = <T>(values: readonly T[], random: () => number): T[] =>
  values
    .map(value => ({value, rank: random()}))
    .sort((a, b) => a.rank - b.rank)
    .map(({value}) => value);

/** Draws faults of every kind in turn until `durationMs` is over. */
export const drawProcessFaults = (
  random: () => number,
  durationMs: number,
): readonly ProcessFault[] => {
  const between = ({min, max}: {readonly min: number; readonly max: number}) =>
    min + random() * (max - min);
  const faults: ProcessFault[] = [];
  let kinds: ProcessFaultKind[] = [];
  for (let atMs = between(GAP_MS); atMs < durationMs; atMs += between(GAP_MS)) {
    kinds = kinds.length > 0 ? kinds : shuffle(PROCESS_FAULTS, random);
    const kind = kinds.pop();
    const [listener] = shuffle(LISTENERS, random);
    if (kind && listener) {
      faults.push({
        kind,
        atMs,
        target: Math.floor(random() * MAX_TARGET),
        forMs: between(FOR_MS),
        afterStartMs: random() * START_MS,
        listener,
      });
    }
  }
  return faults;
};
