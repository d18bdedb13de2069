/** Compares policies over deployments, each played with the same requests. */
import * as statistics from 'simple-statistics';
import type * as days from './play-day.js';
import type * as policies from './policy.js';

/** One policy on one deployment. */
export interface PlayedDay {
  readonly seed: number;
  readonly policy: policies.PolicyName;
  readonly outcome: days.DayOutcome;
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
const TAIL = 0.025;

/** What a day was worth: earned less spent, as a part of all owed. */
export const findValue = ({owed, earned, spent}: days.DayOutcome): number =>
  owed === 0 ? 0 : (earned - spent) / owed;

/** Compares each policy with the reference on the deployments of both. */
export const comparePolicies = (
  played: readonly PlayedDay[],
  reference: policies.PolicyName,
): readonly Comparison[] => {
  const names = [...new Set(played.map(({policy}) => policy))];
  const valuesOf = (name: policies.PolicyName): ReadonlyMap<number, number> =>
    new Map(
      played
        .filter(({policy}) => policy === name)
        .map(({seed, outcome}) => [seed, findValue(outcome)]),
    );
  const own = valuesOf(reference);
  return names.map(policy => compare(policy, own, valuesOf(policy)));
};

const compare = (
  policy: policies.PolicyName,
  reference: ReadonlyMap<number, number>,
  values: ReadonlyMap<number, number>,
): Comparison => {
  const pairs = [...values].flatMap(([seed, value]) => {
    const own = reference.get(seed);
    return own === undefined ? [] : [{seed, difference: own - value}];
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
      (-statistics.probit(TAIL) * deviation) / Math.sqrt(Math.max(1, count)),
    isBeatenPart:
      differences.filter(difference => difference >= 0).length / count,
    worst: worst ?? {seed: 0, difference: 0},
  };
};
