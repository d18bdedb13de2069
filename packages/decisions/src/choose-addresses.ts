/**
 * Chooses the instances that are listed to a caller that asks where to connect.
 *
 * Load: hundreds of instances in several availability zones, of which an answer
 * can list only some. Callers choose one of the list at random, keep their
 * connections to it, and close those to instances that a later answer no longer
 * lists. Harm prevented: a part of the fleet serves all callers because the
 * same few instances are listed everywhere; lists that differ from one answer
 * to the next; traffic between zones; and all callers of a zone on the few
 * instances that it has left.
 */
import * as rendezvous from './rendezvous.js';

/** An instance that accepts callers. */
export interface DirectoryCandidate {
  readonly id: string;
  readonly zone: string;
  readonly region: string | undefined;
  /** Processor cores available to it; may be a fraction. */
  readonly cores: number;
}

/** The caller that asks for addresses. */
export interface DirectoryCaller {
  readonly zone: string | undefined;
  readonly region: string | undefined;
  /** Identifies the caller; the same in all its requests. */
  readonly key: string;
}

/**
 * Minimum number of instances to list, if there are so many. Several may be
 * lost at once, and a caller tries only the listed ones.
 */
const MIN_ADDRESSES = 12;

/**
 * Minimum cores of a zone's instances, relative to the mean over zones, to
 * serve the zone's callers alone. Below it, instances of other zones are added.
 */
const MIN_CORE_SHARE = 0.75;

type Candidates = readonly DirectoryCandidate[];

/**
 * Returns at most `limit` instances: those of the caller's zone, and some of
 * other zones of its region if its own has too few. If the caller's region has
 * no instances, all regions are used.
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
  // All callers of a zone get the same remote instances, whichever instance
  // answers, so that their connections to these stay in use.
  const remote = rankByCores(caller.zone ?? caller.key, others);
  const count = countRemote(own, remote, findMeanZoneCores(usable));
  return [...own, ...remote.slice(0, count)].slice(0, limit);
};

/** Mean number of cores per zone. */
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
