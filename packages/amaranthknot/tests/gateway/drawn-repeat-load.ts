/** Draws loads under which instances come and go and callers move. */
import * as fakes from '@amaranthknot/fakes';
import * as repeatLoad from './repeat-load.js';

/** Length of a drawn load, in milliseconds. */
const LENGTH_MS = 40_000;

/** Time from which instances may come and go, in milliseconds. */
const FIRST_EVENT_MS = 12_000;

const MAX_EVENTS = 6;

type Draw = (from: number, to: number) => number;

const drawInstances = (
  random: () => number,
  instances: number,
): readonly number[] => {
  const fraction = random();
  const indexes = Array.from({length: instances}, (_, index) => index);
  const drawn = indexes.filter(() => random() < fraction);
  return drawn.length > 0 ? drawn : [Math.floor(random() * instances)];
};

const restartTogether = (
  indexes: readonly number[],
  atMs: number,
  draw: Draw,
): readonly repeatLoad.FleetEvent[] => {
  const downMs = draw(300, 4_000);
  return indexes.flatMap(index => repeatLoad.restartAt(index, atMs, downMs));
};

const restartInSeries = (
  indexes: readonly number[],
  atMs: number,
  draw: Draw,
): readonly repeatLoad.FleetEvent[] => {
  const gapMs = draw(300, 2_000);
  return indexes.flatMap((index, place) =>
    repeatLoad.restartAt(index, atMs + place * gapMs, draw(300, 1_500)),
  );
};

const cutOff = (
  indexes: readonly number[],
  atMs: number,
  draw: Draw,
): readonly repeatLoad.FleetEvent[] => [
  {
    atMs,
    apply: ({isolate}) => {
      indexes.forEach(index => {
        isolate(`instance-${index}`);
      });
    },
  },
  {
    atMs: atMs + draw(500, 8_000),
    apply: ({heal}) => {
      heal();
    },
  },
];

const KINDS = [restartTogether, restartInSeries, cutOff] as const;

/** Callers stay with some of the instances for a while, then with others. */
const drawMoves = (
  random: () => number,
  instances: number,
  draw: Draw,
): repeatLoad.ChooseInstance => {
  const stayMs = draw(1_000, 12_000);
  const stays = Array.from({length: Math.ceil(LENGTH_MS / stayMs)}, () =>
    drawInstances(random, instances),
  );
  return repeatLoad.chooseAmong(atMs => stays[Math.floor(atMs / stayMs)] ?? []);
};

/** Draws a load; the same for the same seed. */
export const drawRepeatLoad = (
  seed: number,
  instances: number,
): repeatLoad.RepeatLoadOptions => {
  const random = fakes.createRandom(seed);
  const draw: Draw = (from, to) => from + random() * (to - from);
  const breaksFromMs = draw(0, 24_000);
  const breaksForMs = draw(4_000, 40_000);
  const broken = draw(0.6, 1);
  const count = Math.floor(random() * (MAX_EVENTS + 1));
  const events = Array.from({length: count}, () => {
    const kind = KINDS[Math.floor(random() * KINDS.length)] ?? cutOff;
    const indexes = drawInstances(random, instances);
    return kind(indexes, draw(FIRST_EVENT_MS, LENGTH_MS), draw);
  });
  const isMoving = random() < 0.6;
  return {
    instances,
    perSecond: draw(2, 12) * instances,
    forMs: LENGTH_MS,
    brokenFraction: atMs =>
      atMs >= breaksFromMs && atMs < breaksFromMs + breaksForMs ? broken : 0.02,
    events: events.flat(),
    seed,
    ...(isMoving ? {choose: drawMoves(random, instances, draw)} : {}),
  };
};
