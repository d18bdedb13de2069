/**
 * Workload of the `cascade` bench: workspaces with different kinds of task.
 * Each request is answered by three models; the probability of a good answer
 * falls with the request's difficulty, and the score of an answer is more or
 * less informative.
 */
import * as coarseRandom from './coarse-random.js';

/** Models from cheap to capable, with the cost of one answer. */
export const STAGES = [
  {model: 'small', cost: 1},
  {model: 'medium', cost: 4},
  {model: 'large', cost: 20},
] as const;

/** A kind of task in one workspace. */
export interface TaskKind {
  readonly name: string;
  /** Log odds of a good answer at mean difficulty, by stage, before the drift. */
  readonly skills: readonly number[];
  /** Change of each stage's skill in the second half of the run. */
  readonly drift: readonly number[];
  /**
   * Mean score of a good answer, in log odds; a bad answer's is its negative.
   * 0: no score.
   */
  readonly scoreGap: number;
}

/** A workspace with its quality target and tasks. */
export interface WorkspaceLoad {
  readonly name: string;
  readonly target: number;
  readonly tasks: readonly TaskKind[];
}

/** The requests of a task in one half of the run, with each stage's answers. */
export interface TaskRun {
  readonly task: string;
  readonly count: number;
  /** 1 when the stage's answer is good, by request and stage. */
  readonly good: Uint8Array;
  /** Scores by request and stage; NaN without a score. */
  readonly scores: Float32Array;
}

/** Standard deviation of the difficulty within a kind of task, in log odds. */
const DIFFICULTY_DEVIATION = 1.2;

const SCORE_GAPS = [1.3, 0.9, 0.6, 0] as const;

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
  // The cheap models get worse in half of the workspaces, better in the others.
  const sign = workspace % 2 === 0 ? -1 : 1;
  return {
    name: `task-${index}`,
    skills: [cheap, medium, large],
    drift: [sign * (0.6 + 0.6 * random()), sign * 0.4 * random(), -0.15],
    scoreGap: SCORE_GAPS[(workspace + index) % SCORE_GAPS.length] ?? 0,
  };
};

/** Draws workspaces, each with three kinds of task. */
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

/** Draws the answers and scores of all stages for `count` requests. */
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
    const difficulty = DIFFICULTY_DEVIATION * drawNormal(random);
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
