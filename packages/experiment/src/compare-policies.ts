/** Compares policies over deployments, each played with the same requests. */
import * as statistics from 'simple-statistics';
import type * as simulation from './run-simulation.js';
import type * as policies from './policy.js';

/** One policy on one deployment. */
export interface SimulationResult {
  readonly seed: number;
  readonly policy: policies.PolicyName;
  readonly outcome: simulation.SimulationOutcome;
}

/** A policy against the one that it is compared with. */
export interface Comparison {
  readonly policy: policies.PolicyName;
  readonly deployments: number;
  /** Mean of what was earned less what models cost, as a part of all owed. */
  readonly mean: number;
  /** Mean of the reference's value less this one's, and its half interval. */
  readonly difference: number;
  /** Half of the interval that holds the mean in 95 of 100 such runs. */
  readonly halfInterval: number;
  /** Part of the deployments on which the reference is at least as good. */
  readonly isBeatenPart: number;
  /** Seed on which the reference is worst against it, and by how much. */
  readonly worst: {readonly seed: number; readonly difference: number};
}

/** Part of a standard normal distribution's mass left out on each side. */
const TAIL_PROBABILITY = 0.025;

/** What a day was worth: earned less spent, as a part of all owed. */
export const getNetValue = ({
  owed,
  earned,
  spent,
}: simulation.SimulationOutcome): number =>
  owed === 0 ? 0 : (earned - spent) / owed;

/** Compares each policy with the reference on the deployments of both. */
export const comparePolicies = (
  played: readonly SimulationResult[],
  reference: policies.PolicyName,
): readonly Comparison[] => {
  const names = [...new Set(played.map(({policy}) => policy))];
  const getValuesBySeed = (
    name: policies.PolicyName,
  ): ReadonlyMap<number, number> =>
    new Map(
      played
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
