/**
 * Bayesian logistic regression, updated one outcome at a time. It estimates a
 * probability from a few features, with its uncertainty, in constant memory.
 */

/** Belief about the coefficients: a normal distribution. Plain JSON. */
export interface LogisticBelief {
  readonly mean: readonly number[];
  /** Covariance matrix, row by row. */
  readonly covariance: readonly (readonly number[])[];
}

/** Logistic function. */
export const sigmoid = (x: number): number => 1 / (1 + Math.exp(-x));

/** Log odds of a probability, bounded to `[-limit, limit]`. */
export const boundedLogit = (p: number, limit: number): number => {
  if (p <= 0) {
    return -limit;
  }
  if (p >= 1) {
    return limit;
  }
  return Math.max(-limit, Math.min(limit, Math.log(p / (1 - p))));
};

/** Creates a belief with independent coefficients. */
export const createBelief = (
  mean: readonly number[],
  variance: readonly number[],
): LogisticBelief => ({
  mean,
  covariance: variance.map((v, i) => variance.map((_, j) => (i === j ? v : 0))),
});

const dot = (a: readonly number[], b: readonly number[]): number => {
  let sum = 0;
  for (let i = 0; i < a.length; i++) {
    sum += (a[i] ?? 0) * (b[i] ?? 0);
  }
  return sum;
};

/** Updates the belief by one outcome, 0 to 1, at the given features. */
export const updateBelief = (
  belief: LogisticBelief,
  features: readonly number[],
  outcome: number,
): LogisticBelief => {
  const spread = belief.covariance.map(row => dot(row, features));
  const p = sigmoid(dot(belief.mean, features));
  const weight = p * (1 - p);
  const scale = 1 / (1 + weight * dot(features, spread));
  return {
    mean: belief.mean.map(
      (m, i) => m + (spread[i] ?? 0) * (outcome - p) * scale,
    ),
    covariance: belief.covariance.map((row, i) =>
      row.map(
        (c, j) => c - (spread[i] ?? 0) * (spread[j] ?? 0) * weight * scale,
      ),
    ),
  };
};

/**
 * Ages a belief, so that old outcomes lose weight against new ones: each
 * variance grows by `growth` times its prior value, up to that value.
 */
export const ageBelief = (
  belief: LogisticBelief,
  priorVariance: readonly number[],
  growth: number,
): LogisticBelief => ({
  mean: belief.mean,
  covariance: belief.covariance.map((row, i) =>
    row.map((c, j) => {
      const prior = priorVariance[i] ?? 0;
      return i === j && c < prior ? Math.min(prior, c + growth * prior) : c;
    }),
  ),
});

/** Lower triangular Cholesky factor of a positive semidefinite matrix. */
const choleskyFactor = (matrix: readonly (readonly number[])[]): number[][] => {
  const rows: number[][] = [];
  for (let i = 0; i < matrix.length; i++) {
    const row: number[] = [];
    for (let j = 0; j <= i; j++) {
      const sum = (matrix[i]?.[j] ?? 0) - dot(row, rows[j] ?? row);
      const pivot = rows[j]?.[j] ?? 0;
      row.push(i === j ? Math.sqrt(Math.max(0, sum)) : pivot && sum / pivot);
    }
    rows.push(row);
  }
  return rows;
};

/** Draws coefficients from the belief, given a standard normal generator. */
export const drawCoefficients = (
  belief: LogisticBelief,
  drawNormal: () => number,
): readonly number[] => {
  const normals = belief.mean.map(() => drawNormal());
  const rows = choleskyFactor(belief.covariance);
  return belief.mean.map((m, i) => m + dot(rows[i] ?? [], normals));
};
