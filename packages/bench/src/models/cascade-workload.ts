/**
 * Workload of the `cascade` bench: workspaces with unlike kinds of task, each
 * answered by three models whose chance to pass falls with a request's
 * difficulty, and whose own score tells more or less about it.
 */
import * as coarseRandom from './coarse-random.js';

/** Models from cheap to capable with the cost of one answer. */
export const STAGES = [
  {model: 'small', cost: 1},
  {model: 'medium', cost: 4},
  {model: 'large', cost: 20},
] as const;

/** A kind of task in one workspace. */
export interface TaskKind {
  readonly name: string;
  /** Log odds to pass at middling difficulty, by stage, before the drift. */
  readonly skills: readonly number[];
  /** Change of each skill half way. */
  readonly drift: readonly number[];
  /** How far the score of a good answer lies from a bad one's; 0: no score. */
  readonly scoreGap: number;
}

/** A workspace with its target. */
export interface WorkspaceLoad {
  readonly name: string;
  readonly target: number;
  readonly tasks: readonly TaskKind[];
}

/** Requests of one task in one half of the run, with every stage's answer. */
export interface TaskRun {
  readonly task: string;
  readonly count: number;
  /** 1 when the stage's answer is good, by request and stage. */
  readonly good: Uint8Array;
  /** Scores by request and stage; NaN without a score. */
  readonly scores: Float32Array;
}

/** Spread of difficulty within one kind of task, in log odds. */
const DIFFICULTY = 1.2;

const GAPS = [1.3, 0.9, 0.6, 0] as const;

const drawNormal = (random: () => number): number =>
  Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());

const createTask = (
  index: number,
  workspace: number,
  random: () => number,
): TaskKind => {
  const ease = [2.6, 0.8, -0.6][index % 3] ?? 0;
  const cheap = ease + 0.6 * (random() - 0.5);
  const medium = Math.max(cheap + 0.4, 1.4 + 0.5 * ease + 0.4 * random());
  const large = 4.2 + 0.3 * random();
  // Half of the workspaces see the cheap models get worse, half better.
  const sign = workspace % 2 === 0 ? -1 : 1;
  return {
    name: `task-${index}`,
    skills: [cheap, medium, large],
    drift: [sign * (0.6 + 0.6 * random()), sign * 0.4 * random(), -0.15],
    scoreGap: GAPS[(workspace + index) % GAPS.length] ?? 0,
  };
};

/** Draws workspaces with three kinds of task each. */
export const createWorkspaces = (
  count: number,
  random: () => number,
): readonly WorkspaceLoad[] =>
  Array.from({length: count}, (_, workspace) => ({
    name: `workspace-${workspace}`,
    target: [0.85, 0.9, 0.92, 0.94, 0.88][workspace % 5] ?? 0.9,
    tasks: [0, 1, 2].map(index => createTask(index, workspace, random)),
  }));

const drawScore = (
  good: boolean,
  gap: number,
  random: () => number,
): number => {
  if (gap === 0) {
    return NaN;
  }
  const x = (good ? gap : -gap) + drawNormal(random);
  return Math.round(100 / (1 + Math.exp(-x))) / 100;
};

/** Draws the answers of all stages to `count` requests. */
export const drawTaskRun = (
  task: TaskKind,
  drifted: boolean,
  count: number,
  seed: number,
): TaskRun => {
  const random = coarseRandom.createCoarseRandom(seed);
  const good = new Uint8Array(count * STAGES.length);
  const scores = new Float32Array(count * STAGES.length);
  for (let i = 0; i < count; i++) {
    const difficulty = DIFFICULTY * drawNormal(random);
    for (let stage = 0; stage < STAGES.length; stage++) {
      const skill =
        (task.skills[stage] ?? 0) + (drifted ? (task.drift[stage] ?? 0) : 0);
      const passes = random() < 1 / (1 + Math.exp(difficulty - skill));
      good[i * STAGES.length + stage] = passes ? 1 : 0;
      scores[i * STAGES.length + stage] = drawScore(
        passes,
        task.scoreGap,
        random,
      );
    }
  }
  return {task: task.name, count, good, scores};
};
