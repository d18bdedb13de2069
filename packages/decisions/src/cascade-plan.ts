/** Plans of cascades: where to start, what to accept, what came of it. */

/** One model of a cascade. */
export interface CascadeStage {
  /** Model, with its version where versions are to be told apart. */
  readonly model: string;
  /** Expected cost of one answer, above 0, in any one unit. */
  readonly cost: number;
}

/** What a plan is chosen for. */
export interface CascadeRequest {
  readonly workspace: string;
  /** Kind of task; answers of one kind are taken to be alike. */
  readonly task: string;
  /** From cheap to capable, at least one. */
  readonly stages: readonly CascadeStage[];
  /**
   * Share of answers, 0 to 1, that the workspace wants rated good. Without
   * one, the latest that a request or rating of the workspace named holds.
   */
  readonly target?: number;
}

/** Where to start and what to accept. Plain JSON. */
export interface CascadePlan {
  readonly startStage: number;
  /** Lowest score accepted, by stage; above 1 accepts none. */
  readonly acceptThresholds: readonly number[];
  /** Whether an answer without a score is accepted, by stage. */
  readonly acceptUnscored: readonly boolean[];
}

/** What to do with one stage's answer. */
export type CascadeStep =
  | {readonly kind: 'accept'}
  | {readonly kind: 'escalate'; readonly stage: number};

/** An answer of one stage. Plain JSON, so that any instance may report it. */
export interface CascadeAnswer {
  readonly workspace: string;
  readonly task: string;
  readonly model: string;
  /** Whether an earlier stage's answer to this request was rejected. */
  readonly escalated: boolean;
  /** The engine's own confidence, 0 to 1. */
  readonly score?: number;
}

/** Rating of an answer that reached the caller. Plain JSON. */
export interface CascadeRating extends CascadeAnswer {
  /** 0 (bad) to 1 (good). */
  readonly rating: number;
  /** As in the request. */
  readonly target?: number;
}

/**
 * What to do with the answer of `stage`. Says `escalate` also when the next
 * stage is full: the caller then queues or refuses.
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
