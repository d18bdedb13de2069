/**
 * Chooses where a request enters a cascade of models and which answers to
 * accept, for the least expected cost at the workspace's quality.
 *
 * Load: every request that names a cascade, at thousands a second; ratings
 * come for a tenth of the answers, late or never, and models drift. Harm
 * prevented: paying for the capable model where a cheap one passes, and
 * passing on cheap answers that are not good enough. Load never enters the
 * decision: when the chosen model is full the caller queues or refuses, so
 * that quality never gives way quietly.
 */
import type * as cascadePlan from './cascade-plan.js';
import * as estimate from './logistic-estimate.js';
import * as stageBelief from './stage-belief.js';

/** Everything learned so far. Plain JSON. */
export interface CascadeSnapshot {
  readonly stages: readonly StageEntry[];
  readonly prices: readonly PriceEntry[];
}

/** What is known of one model on one kind of task. */
export interface StageEntry {
  readonly workspace: string;
  readonly task: string;
  readonly model: string;
  readonly belief: stageBelief.StageBelief;
}

/** Price of a bad answer, as a log of costs of the capable stage. */
export interface PriceEntry {
  readonly workspace: string;
  readonly logPrice: number;
}

/** Tuning of the policy. */
export interface CascadeOptions {
  /** How far drawn coefficients lie from their mean; 0 never explores. */
  readonly explorationWidth?: number;
  /** Growth of variance for each rating of the task. */
  readonly aging?: number;
  /** Step of the log price of a bad answer for each rating. */
  readonly priceStep?: number;
  /** Share of answers aimed for above the target. */
  readonly margin?: number;
}

const EXPLORATION_WIDTH = 0.5;
/** Old ratings fade over about a thousand of the task's, so drift shows. */
const AGING = 1e-5;
/** The price follows some 50 bad answers: slower than ratings are late. */
const PRICE_STEP = 0.02;
/** Covers the sampling error of some thousand ratings. */
const MARGIN = 0.006;
/** High, so that a new workspace starts with capable models. */
const FIRST_LOG_PRICE = Math.log(5);
/** Bounds, so that a long run of bad or good luck is soon undone. */
const LOWEST_LOG_PRICE = Math.log(0.02);
const HIGHEST_LOG_PRICE = Math.log(500);
/** Callers name tasks: more kinds than this in a workspace share one entry. */
const TASK_LIMIT = 64;
const OTHER_TASKS = '';

/** Beliefs of one kind of task by model. */
type Models = Map<string, stageBelief.StageBelief>;

interface WorkspaceState {
  readonly tasks: Map<string, Models>;
  logPrice: number;
}

/** A stage with the coefficients drawn for one request. */
interface DrawnStage {
  readonly stakes: stageBelief.Stakes;
  readonly coefficients: readonly number[];
  /** Expected loss of starting here. */
  readonly direct: number;
  /** Expected loss of coming here from an earlier stage. */
  readonly escalated: number;
}

/** Learns the cascades of all workspaces; one per process. */
export class CascadePolicy {
  private readonly workspaces = new Map<string, WorkspaceState>();
  private readonly explorationWidth: number;
  private readonly aging: number;
  private readonly priceStep: number;
  private readonly margin: number;

  constructor(options: CascadeOptions = {}) {
    this.explorationWidth = options.explorationWidth ?? EXPLORATION_WIDTH;
    this.aging = options.aging ?? AGING;
    this.priceStep = options.priceStep ?? PRICE_STEP;
    this.margin = options.margin ?? MARGIN;
  }

  /**
   * Chooses the starting stage and what each stage accepts. Coefficients are
   * drawn from the beliefs, so that uncertain stages are tried now and then.
   */
  choose(
    request: cascadePlan.CascadeRequest,
    random: () => number,
  ): cascadePlan.CascadePlan {
    const drawn = this.drawStages(request, random);
    let startStage = drawn.length - 1;
    for (let i = startStage - 1; i >= 0; i--) {
      if ((drawn[i]?.direct ?? 0) <= (drawn[startStage]?.direct ?? 0)) {
        startStage = i;
      }
    }
    const accepted = drawn.map((stage, i) =>
      stageBelief.findAcceptance(
        stage.coefficients,
        i !== startStage,
        stage.stakes,
      ),
    );
    return {
      startStage,
      acceptThresholds: accepted.map(acceptance => acceptance.threshold),
      acceptUnscored: accepted.map(acceptance => acceptance.unscored),
    };
  }

  /** Takes in an answer as it comes, whether or not a rating follows. */
  observeAnswer(answer: cascadePlan.CascadeAnswer): void {
    const models = this.findModels(answer.workspace, answer.task);
    const belief = findBelief(models, answer.model);
    models.set(
      answer.model,
      stageBelief.countScore(belief, answer.escalated, answer.score),
    );
  }

  /** Takes in a rating, however late. */
  observeRating(rating: cascadePlan.CascadeRating): void {
    const models = this.findModels(rating.workspace, rating.task);
    for (const [model, belief] of models) {
      models.set(model, stageBelief.ageStageBelief(belief, this.aging));
    }
    const belief = findBelief(models, rating.model);
    models.set(
      rating.model,
      stageBelief.rateAnswer(
        belief,
        rating.escalated,
        rating.score,
        rating.rating,
      ),
    );
    this.movePrice(rating);
  }

  /** Everything learned, to hand to other instances. */
  snapshot(): CascadeSnapshot {
    const stages: StageEntry[] = [];
    const prices: PriceEntry[] = [];
    for (const [workspace, {tasks, logPrice}] of this.workspaces) {
      prices.push({workspace, logPrice});
      for (const [task, models] of tasks) {
        for (const [model, belief] of models) {
          stages.push({workspace, task, model, belief});
        }
      }
    }
    return {stages, prices};
  }

  /** Replaces everything learned. */
  restore(snapshot: CascadeSnapshot): void {
    this.workspaces.clear();
    for (const {workspace, logPrice} of snapshot.prices) {
      this.findWorkspace(workspace).logPrice = logPrice;
    }
    for (const {workspace, task, model, belief} of snapshot.stages) {
      this.findModels(workspace, task).set(model, belief);
    }
  }

  /** From the last stage back: each is judged by what follows it. */
  private drawStages(
    request: cascadePlan.CascadeRequest,
    random: () => number,
  ): readonly DrawnStage[] {
    const capable = request.stages.at(-1);
    if (!capable) {
      throw new Error('a cascade has at least one stage');
    }
    const {logPrice} = this.findWorkspace(request.workspace);
    const badAnswer = Math.exp(logPrice) * capable.cost;
    const models = this.findModels(request.workspace, request.task);
    const normal = () => drawNormal(random);
    let goingOn = Infinity;
    const drawn = request.stages.toReversed().map(stage => {
      const belief = findBelief(models, stage.model);
      const width = this.explorationWidth;
      const coefficients = estimate.drawCoefficients(
        belief.pass,
        width,
        normal,
      );
      const stakes = {badAnswer, goingOn};
      const loss = (escalated: boolean) =>
        stage.cost +
        stageBelief.findLoss(belief, coefficients, escalated, stakes);
      const result = {
        stakes,
        coefficients,
        direct: loss(false),
        escalated: loss(true),
      };
      goingOn = result.escalated;
      return result;
    });
    return drawn.toReversed();
  }

  /**
   * Raises the price of a bad answer while ratings fall short, lowers it
   * while they exceed. The steps add up to the shortfall so far, hence the
   * mean rating settles at the target whatever the beliefs get wrong.
   */
  private movePrice(rating: cascadePlan.CascadeRating): void {
    const state = this.findWorkspace(rating.workspace);
    const goal = Math.min(1, rating.target + this.margin);
    const moved = state.logPrice + this.priceStep * (goal - rating.rating);
    const floor = Math.max(LOWEST_LOG_PRICE, moved);
    state.logPrice = Math.min(HIGHEST_LOG_PRICE, floor);
  }

  private findWorkspace(name: string): WorkspaceState {
    const found = this.workspaces.get(name);
    if (found) {
      return found;
    }
    const state = {tasks: new Map<string, Models>(), logPrice: FIRST_LOG_PRICE};
    this.workspaces.set(name, state);
    return state;
  }

  private findModels(workspace: string, task: string): Models {
    const {tasks} = this.findWorkspace(workspace);
    const isFull = tasks.size >= TASK_LIMIT && !tasks.has(task);
    const name = isFull ? OTHER_TASKS : task;
    const models =
      tasks.get(name) ?? new Map<string, stageBelief.StageBelief>();
    tasks.set(name, models);
    return models;
  }
}

const findBelief = (models: Models, model: string): stageBelief.StageBelief =>
  models.get(model) ?? stageBelief.createStageBelief();

/** Standard normal number by the Box-Muller transform. */
const drawNormal = (random: () => number): number =>
  Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
