/**
 * Decides which instances are named to a caller that asks where to connect.
 *
 * Load: hundreds of instances in several availability zones, of which an
 * answer can name some, and callers that draw one of those at random, keep
 * their connections to it, and drop those to instances that a new answer
 * leaves out. Harm prevented: a part of the fleet takes all callers because
 * the same few are named everywhere, answers that differ from one to the next,
 * bytes between zones, and a zone's callers on the few instances that it has
 * left.
 */
import * as rendezvous from './rendezvous.js';

/** An instance that takes callers. */
export interface DirectoryCandidate {
  readonly id: string;
  readonly zone: string;
  readonly region: string | undefined;
  /** What its machine gives it, in processor cores. */
  readonly cores: number;
}

/** Who asks. */
export interface DirectoryCaller {
  readonly zone: string | undefined;
  readonly region: string | undefined;
  /** Names the caller, the same in all its questions. */
  readonly key: string;
}

/**
 * Instances that are named at least, as far as there are so many: some of them
 * may be lost at once, and a caller tries only those that it knows.
 */
const MIN_ADDRESSES = 12;

/**
 * Least part of its share of all cores that a zone's own instances must have
 * to take its callers alone; below it others help out.
 */
const MIN_CORE_SHARE = 0.75;

type Candidates = readonly DirectoryCandidate[];

/**
 * Instances to name, at most `limit`: those of the caller's zone, and of other
 * zones of its region where its own has too few.
 */
export const chooseAddresses = <T extends DirectoryCandidate>(
  candidates: readonly T[],
  caller: DirectoryCaller,
  limit: number,
): readonly T[] => {
  const inRegion = candidates.filter(({region}) => region === caller.region);
  const usable = inRegion.length > 0 ? inRegion : candidates;
  const own = usable.filter(({zone}) => zone === caller.zone);
  const others = usable.filter(({zone}) => zone !== caller.zone);
  if (own.length >= limit) {
    return rankByCores(caller.key, own).slice(0, limit);
  }
  // All callers of a zone are named the same helpers, in answers of any
  // instance: their connections to these stay in use.
  const remote = rankByCores(caller.zone ?? caller.key, others);
  const count = countRemote(own, remote, findMeanZoneCores(usable));
  return [...own, ...remote.slice(0, count)].slice(0, limit);
};

/** Cores that the instances of each zone have on average. */
const findMeanZoneCores = (candidates: Candidates): number => {
  const zones = new Set(candidates.map(({zone}) => zone));
  return sumCores(candidates) / Math.max(1, zones.size);
};

const countRemote = (
  own: Candidates,
  remote: Candidates,
  meanZoneCores: number,
): number => {
  const ownCores = sumCores(own);
  const isShortOfCores = ownCores < MIN_CORE_SHARE * meanZoneCores;
  let count = Math.max(0, MIN_ADDRESSES - own.length);
  let cores = ownCores + sumCores(remote.slice(0, count));
  while (isShortOfCores && count < remote.length && cores < meanZoneCores) {
    cores += remote[count]?.cores ?? 0;
    count++;
  }
  return count;
};

const sumCores = (candidates: Candidates): number =>
  candidates.reduce((sum, {cores}) => sum + cores, 0);

const rankByCores = <T extends DirectoryCandidate>(
  key: string,
  candidates: readonly T[],
): readonly T[] => {
  const byId = new Map(candidates.map(found => [found.id, found]));
  const weighted = candidates.map(({id, cores}) => ({id, weight: cores}));
  return rendezvous
    .rankByWeight(key, weighted)
    .flatMap(id => byId.get(id) ?? []);
};
