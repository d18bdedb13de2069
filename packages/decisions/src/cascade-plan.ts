/** Types of cascade plans, answers and ratings, and how a plan is followed. */

/** One model of a cascade. */
export interface CascadeStage {
  /** Model name, with its version where versions are distinguished. */
  readonly model: string;
  /** Expected cost of one answer, above 0, in the same unit for all stages. */
  readonly cost: number;
}

/** Request for which a plan is chosen. */
export interface CascadeRequest {
  readonly workspace: string;
  /** Kind of task; answers to one kind are assumed to be similar. */
  readonly task: string;
  /** From the cheapest to the most capable, at least one. */
  readonly stages: readonly CascadeStage[];
  /**
   * Fraction of answers, 0 to 1, that the workspace wants rated good. Without
   * it, the latest target of a request or rating of the workspace applies.
   */
  readonly target?: number;
}

/** Starting stage and acceptance rules. Plain JSON. */
export interface CascadePlan {
  readonly startStage: number;
  /** Lowest accepted score by stage; a value above 1 accepts none. */
  readonly acceptThresholds: readonly number[];
  /** Whether an answer without a score is accepted, by stage. */
  readonly acceptUnscored: readonly boolean[];
}

/** What to do with the answer of a stage. */
export type CascadeStep =
  | {readonly kind: 'accept'}
  | {readonly kind: 'escalate'; readonly stage: number};

/** An answer of a stage. Plain JSON, so that any instance may report it. */
export interface CascadeAnswer {
  readonly workspace: string;
  readonly task: string;
  readonly model: string;
  /** Whether the answer of an earlier stage to this request was rejected. */
  readonly escalated: boolean;
  /** The engine's own confidence, 0 to 1. */
  readonly score?: number;
}

/** Rating of an answer that was sent to the caller. Plain JSON. */
export interface CascadeRating extends CascadeAnswer {
  /** 0 (bad) to 1 (good). */
  readonly rating: number;
  /** As in `CascadeRequest`. */
  readonly target?: number;
}

/**
 * Decides what to do with the answer of `stage`. The load of the next stage is
 * not considered: when it is full, the caller of this function queues or
 * refuses the request.
 */
export const nextStep = (
  plan: CascadePlan,
  stage: number,
  score?: number,
): CascadeStep => {
  if (stage >= plan.acceptThresholds.length - 1) {
    return {kind: 'accept'};
  }
  const accepted =
    score === undefined
      ? plan.acceptUnscored[stage]
      : score >= (plan.acceptThresholds[stage] ?? 0);
  return accepted ? {kind: 'accept'} : {kind: 'escalate', stage: stage + 1};
};
