/** Compares policies that were simulated with the same requests. */
import * as statistics from 'simple-statistics';
import type * as simulation from './run-simulation.js';
import type * as policies from './policy.js';

/** Outcome of one policy on the deployment of a seed. */
export interface SimulationResult {
  readonly seed: number;
  readonly policy: policies.PolicyName;
  readonly outcome: simulation.SimulationOutcome;
}

/** Comparison of a policy with the reference policy. */
export interface Comparison {
  readonly policy: policies.PolicyName;
  readonly deployments: number;
  /** Mean net value over the deployments; see `getNetValue`. */
  readonly mean: number;
  /** Mean of the reference's net value less this policy's. */
  readonly difference: number;
  /** Half width of the 95 % confidence interval of `difference`. */
  readonly halfInterval: number;
  /** Fraction of the deployments on which the reference is at least as good. */
  readonly isBeatenPart: number;
  /** Seed with the least difference, and that difference. */
  readonly worst: {readonly seed: number; readonly difference: number};
}

/** Probability outside the confidence interval on each side. */
const TAIL_PROBABILITY = 0.025;

/** Net value of a simulation: earned less spent, as a fraction of all owed. */
export const getNetValue = ({
  owed,
  earned,
  spent,
}: simulation.SimulationOutcome): number =>
  owed === 0 ? 0 : (earned - spent) / owed;

/** Compares each policy with the reference on the seeds that both have. */
export const comparePolicies = (
  results: readonly SimulationResult[],
  reference: policies.PolicyName,
): readonly Comparison[] => {
  const names = [...new Set(results.map(({policy}) => policy))];
  const getValuesBySeed = (
    name: policies.PolicyName,
  ): ReadonlyMap<number, number> =>
    new Map(
      results
        .filter(({policy}) => policy === name)
        .map(({seed, outcome}) => [seed, getNetValue(outcome)]),
    );
  const referenceValues = getValuesBySeed(reference);
  return names.map(policy =>
    compare(policy, referenceValues, getValuesBySeed(policy)),
  );
};

const compare = (
  policy: policies.PolicyName,
  reference: ReadonlyMap<number, number>,
  values: ReadonlyMap<number, number>,
): Comparison => {
  const pairs = [...values].flatMap(([seed, value]) => {
    const referenceValue = reference.get(seed);
    return referenceValue === undefined
      ? []
      : [{seed, difference: referenceValue - value}];
  });
  const differences = pairs.map(({difference}) => difference);
  const count = differences.length;
  const deviation =
    count < 2 ? 0 : statistics.sampleStandardDeviation(differences);
  const [worst] = [...pairs].sort((a, b) => a.difference - b.difference);
  return {
    policy,
    deployments: count,
    mean: statistics.mean([...values.values()]),
    difference: statistics.mean(differences),
    halfInterval:
      (-statistics.probit(TAIL_PROBABILITY) * deviation) /
      Math.sqrt(Math.max(1, count)),
    isBeatenPart:
      differences.filter(difference => difference >= 0).length / count,
    worst: worst ?? {seed: 0, difference: 0},
  };
};
