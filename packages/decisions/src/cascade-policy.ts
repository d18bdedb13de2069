/**
 * Chooses at which model of a cascade a request starts and which answers are
 * accepted, for the lowest expected cost at the workspace's target quality.
 *
 * Load: every request that names a cascade, thousands a second. A tenth of the
 * answers are rated, some of them late, and models drift. Harm prevented:
 * paying for the capable model where a cheap one is good enough, and returning
 * cheap answers that are not. The load of the models is not an input: when the
 * chosen model is full, the caller queues or refuses, so that quality is never
 * lowered silently.
 */
import type * as cascadePlan from './cascade-plan.js';
import * as logisticRegression from './logistic-regression.js';
import * as qualityPrice from './quality-price.js';
import * as stageBelief from './stage-belief.js';

/** Learned state of a policy. Plain JSON. */
export interface CascadeSnapshot {
  readonly stages: readonly StageEntry[];
  readonly prices: readonly PriceEntry[];
}

/** Belief about one model on one kind of task. */
export interface StageEntry {
  readonly workspace: string;
  readonly task: string;
  readonly model: string;
  readonly belief: stageBelief.StageBelief;
}

/** Price of a bad answer in a workspace. */
export interface PriceEntry {
  readonly workspace: string;
  readonly price: qualityPrice.QualityPrice;
}

/** Tuning of the policy. */
export interface CascadeOptions {
  /** Fraction of plans, 0 to 1, that explore. */
  readonly explorationShare?: number;
  /**
   * Growth of the variances for each rating of the task, relative to the prior.
   */
  readonly aging?: number;
  /** Fraction of good answers aimed for above the target. */
  readonly margin?: number;
}

/** Enough exploration to notice that a model improved, at little cost. */
const EXPLORATION_SHARE = 0.35;
/** Old ratings lose weight over about 1,000 newer ones, so that drift shows. */
const AGING = 1e-6;
/** Consecutive similar requests that share a plan, to keep decisions cheap. */
const REQUESTS_PER_PLAN = 8;
/** Covers the sampling error of a few thousand ratings. */
const MARGIN = 0.005;
/**
 * Kinds of tasks tracked for each workspace. Callers name them, so further
 * kinds share one entry to bound memory.
 */
const MAX_TASKS = 64;
const OTHER_TASKS = '';

/** Beliefs of one kind of task by model. */
type BeliefsByModel = Map<string, stageBelief.StageBelief>;

/** A plan that the next similar requests reuse. */
interface ActivePlan {
  readonly plan: cascadePlan.CascadePlan;
  readonly request: cascadePlan.CascadeRequest;
  usesLeft: number;
}

interface TaskState {
  readonly models: BeliefsByModel;
  active?: ActivePlan;
}

interface WorkspaceState {
  readonly tasks: Map<string, TaskState>;
  price: qualityPrice.QualityPrice;
  target: number | undefined;
}

/** A stage with the coefficients drawn for one plan. */
interface DrawnStage {
  readonly costs: stageBelief.AnswerCosts;
  readonly coefficients: readonly number[];
  /** Expected outcome of starting at this stage. */
  readonly direct: stageBelief.ExpectedOutcome;
}

/** Learns the cascades of all workspaces. One object per process. */
export class CascadePolicy {
  private readonly workspaces = new Map<string, WorkspaceState>();
  private readonly explorationShare: number;
  private readonly aging: number;
  private readonly margin: number;

  constructor(options: CascadeOptions = {}) {
    this.explorationShare = options.explorationShare ?? EXPLORATION_SHARE;
    this.aging = options.aging ?? AGING;
    this.margin = options.margin ?? MARGIN;
  }

  /**
   * Chooses the starting stage and what each stage accepts. A fraction of the
   * plans explores by Thompson sampling: coefficients are drawn from the
   * beliefs, so that a stage is tried as often as it may be the better one.
   */
  choose(
    request: cascadePlan.CascadeRequest,
    random: () => number,
  ): cascadePlan.CascadePlan {
    const task = this.findTask(request.workspace, request.task);
    const active = task.active;
    if (active && active.usesLeft > 0 && isAlike(active.request, request)) {
      active.usesLeft--;
      return active.plan;
    }
    const plan = this.draw(request, random);
    task.active = {plan, request, usesLeft: REQUESTS_PER_PLAN - 1};
    return plan;
  }

  private draw(
    request: cascadePlan.CascadeRequest,
    random: () => number,
  ): cascadePlan.CascadePlan {
    const explores = random() < this.explorationShare;
    const draw = explores ? () => drawNormal(random) : undefined;
    const drawn = this.drawStages(request, draw);
    const startStage = findStartStage(drawn);
    const expected = drawn[startStage]?.direct.pass ?? 0;
    const state = this.findWorkspace(request.workspace);
    state.target = request.target ?? state.target;
    if (state.target !== undefined) {
      const goal = Math.min(1, state.target + this.margin);
      const shortfall = goal - expected;
      state.price = qualityPrice.adjustForPlans(
        state.price,
        REQUESTS_PER_PLAN,
        shortfall,
      );
    }
    const accepted = drawn.map((stage, i) =>
      stageBelief.findAcceptance(
        stage.coefficients,
        i !== startStage,
        stage.costs,
      ),
    );
    return {
      startStage,
      acceptThresholds: accepted.map(acceptance => acceptance.threshold),
      acceptUnscored: accepted.map(acceptance => acceptance.unscored),
    };
  }

  /** Records the score of an answer, whether or not a rating follows. */
  observeAnswer(answer: cascadePlan.CascadeAnswer): void {
    const {models} = this.findTask(answer.workspace, answer.task);
    const belief = findBelief(models, answer.model);
    models.set(
      answer.model,
      stageBelief.recordScore(belief, answer.escalated, answer.score),
    );
  }

  /** Records a rating, however late it arrives. */
  observeRating(rating: cascadePlan.CascadeRating): void {
    const {escalated, score} = rating;
    const {models} = this.findTask(rating.workspace, rating.task);
    for (const [model, belief] of models) {
      models.set(model, stageBelief.ageStageBelief(belief, this.aging));
    }
    const belief = findBelief(models, rating.model);
    const expected = stageBelief.predictPass(belief, escalated, score);
    models.set(
      rating.model,
      stageBelief.recordRating(belief, escalated, score, rating.rating),
    );
    const state = this.findWorkspace(rating.workspace);
    state.target = rating.target ?? state.target;
    const shortfall = expected - rating.rating;
    state.price = qualityPrice.adjustForRating(state.price, shortfall);
  }

  /** Returns the learned state, to pass it to other instances. */
  snapshot(): CascadeSnapshot {
    const stages: StageEntry[] = [];
    const prices: PriceEntry[] = [];
    for (const [workspace, {tasks, price}] of this.workspaces) {
      prices.push({workspace, price});
      for (const [task, {models}] of tasks) {
        for (const [model, belief] of models) {
          stages.push({workspace, task, model, belief});
        }
      }
    }
    return {stages, prices};
  }

  /** Replaces the learned state. */
  restore(snapshot: CascadeSnapshot): void {
    this.workspaces.clear();
    for (const {workspace, price} of snapshot.prices) {
      this.findWorkspace(workspace).price = price;
    }
    for (const {workspace, task, model, belief} of snapshot.stages) {
      this.findTask(workspace, task).models.set(model, belief);
    }
  }

  /**
   * Works from the last stage back, as the expected outcome of a stage depends
   * on that of the next one.
   */
  private drawStages(
    request: cascadePlan.CascadeRequest,
    draw: (() => number) | undefined,
  ): readonly DrawnStage[] {
    const capable = request.stages.at(-1);
    if (!capable) {
      throw new Error(
        `cascade of task ${request.task} has no stages; expected at least one`,
      );
    }
    const {price} = this.findWorkspace(request.workspace);
    const badAnswerCost = Math.exp(price.log) * capable.cost;
    const {models} = this.findTask(request.workspace, request.task);
    let escalation: stageBelief.ExpectedOutcome = {loss: Infinity, pass: 0};
    const drawn = request.stages.toReversed().map(stage => {
      const belief = findBelief(models, stage.model);
      const coefficients = draw
        ? logisticRegression.drawCoefficients(belief.pass, draw)
        : belief.pass.mean;
      const costs = {badAnswerCost, escalation};
      const expect = (escalated: boolean): stageBelief.ExpectedOutcome => {
        const {loss, pass} = stageBelief.estimateOutcome(
          belief,
          coefficients,
          escalated,
          costs,
        );
        return {loss: stage.cost + loss, pass};
      };
      escalation = expect(true);
      return {costs, coefficients, direct: expect(false)};
    });
    return drawn.toReversed();
  }

  private findWorkspace(name: string): WorkspaceState {
    const found = this.workspaces.get(name);
    if (found) {
      return found;
    }
    const state = {
      tasks: new Map<string, TaskState>(),
      price: qualityPrice.INITIAL_PRICE,
      target: undefined,
    };
    this.workspaces.set(name, state);
    return state;
  }

  private findTask(workspace: string, task: string): TaskState {
    const {tasks} = this.findWorkspace(workspace);
    const isFull = tasks.size >= MAX_TASKS && !tasks.has(task);
    const name = isFull ? OTHER_TASKS : task;
    const state = tasks.get(name) ?? {models: new Map()};
    tasks.set(name, state);
    return state;
  }
}

const isAlike = (
  a: cascadePlan.CascadeRequest,
  b: cascadePlan.CascadeRequest,
): boolean =>
  a.target === b.target &&
  a.stages.length === b.stages.length &&
  a.stages.every((stage, i) => {
    const other = b.stages[i];
    return stage.model === other?.model && stage.cost === other.cost;
  });

const findStartStage = (stages: readonly DrawnStage[]): number => {
  const losses = stages.map(stage => stage.direct.loss);
  return losses.indexOf(Math.min(...losses));
};

const findBelief = (
  models: BeliefsByModel,
  model: string,
): stageBelief.StageBelief =>
  models.get(model) ?? stageBelief.createStageBelief();

/** Standard normal number by the Box-Muller transform. */
const drawNormal = (random: () => number): number =>
  Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
