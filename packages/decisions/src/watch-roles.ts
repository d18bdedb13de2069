/**
 * Decides which instances are watchers that forward changes to the others,
 * which watchers watch the platform's store directly, and when another
 * instance lists the store itself.
 *
 * Load: up to a thousand instances that must all learn of each change within
 * seconds, and a store that counts every open watch. Harm prevented: calls to
 * the store that grow with the fleet, and instances that rely on a watcher
 * which has lost the store. Every instance computes the roles from its member
 * list; where two lists differ, views become stale and the instances ask the
 * store.
 */
import * as rendezvous from './rendezvous.js';

/** An instance that may become a watcher. */
export interface WatchCandidate {
  readonly id: string;
  readonly zone: string;
  /** Processor cores available to it. */
  readonly cores: number;
}

/** How an instance keeps one kind of objects up to date. */
export type SyncMode =
  /** Keep a watch on the store open, for itself and for others. */
  | 'watch'
  /** List the objects once, because the own view is too old. */
  | 'ask'
  /** Rely on a watcher, which forwards changes. */
  | 'none';

/**
 * Instances for each watcher. Each keeps one long poll open at its watcher;
 * sending a change of about 10 KB to this many takes 40 ms at 50 Mbit/s.
 */
const INSTANCES_PER_WATCHER = 24;

/** Minimum watchers of a fleet, so that another remains when one is lost. */
const MIN_WATCHERS = 2;

/**
 * Watchers that watch the store directly; they forward changes to the other
 * watchers. This bounds the open watches of the store for each kind, however
 * large the fleet is. A large fleet has a third, because the loss of both would
 * make hundreds of instances list the store at once.
 */
const STORE_WATCHERS = 2;
const STORE_WATCHERS_OF_LARGE_FLEET = 3;

/** Number of watchers from which a fleet counts as large. */
const LARGE_FLEET_WATCHERS = 6;

/**
 * Duration of one watch, as a fraction of the time within which a change must
 * be active. Changes end a watch at once, however long it may last; its end
 * without a change only shows that the store still answers.
 */
const WATCH_FRACTION = 0.45;

/**
 * Age of the view, as a fraction of that time, at which a watch ends at the
 * latest, and the minimum duration of a watch. An answer with changes confirms
 * only the state at the start of its watch. If it comes at the end of one, a
 * second watch of full length would make it look as if the watcher had lost
 * the store.
 */
const CONFIRMED_FRACTION = 0.5;
const MIN_WATCH_FRACTION = 0.1;

/**
 * Pause of a watcher after changes, as a fraction of that time. It is much
 * shorter than the time that instances have to apply them.
 */
const CHANGE_PAUSE_FRACTION = 0.1;

/**
 * Age, as a fraction of that time, from which the view of a watcher is stale.
 * The watcher then counts as having lost the store, and another one is asked.
 * It is longer than one watch.
 */
const STALE_FRACTION = 0.6;

/**
 * Age, as a fraction of that time, from which an instance lists the store
 * itself. It is longer than one watch plus the transfer from the watcher, so
 * that it is not reached in normal operation, and it leaves time to repeat a
 * failed call.
 */
const ASK_FRACTION = 0.75;

/** Key of the ranking of instances. Any fixed text would do. */
const ROLE_KEY = 'watch';

/**
 * Returns the ids of the watchers, the same on all instances; those that come
 * first watch the store directly. They are spread over as many zones as
 * possible, so that the loss of a zone does not affect all of them. Instances
 * with more cores come first: a watcher serves its followers in addition to its
 * own callers, and in a burst of changes that takes more than a small instance
 * has, whose callers then wait.
 */
export const findWatchers = (
  members: readonly WatchCandidate[],
): readonly string[] => {
  const zoneOf = new Map(members.map(({id, zone}) => [id, zone]));
  const coresOf = new Map(members.map(({id, cores}) => [id, cores]));
  const ids = members.map(({id}) => id);
  const ranked = [...rendezvous.rankByRendezvous(ROLE_KEY, ids)].sort(
    (a, b) => (coresOf.get(b) ?? 0) - (coresOf.get(a) ?? 0),
  );
  const count = Math.max(
    MIN_WATCHERS,
    Math.ceil(ranked.length / INSTANCES_PER_WATCHER),
  );
  const placeInZone = new Map<string, number>();
  const usedByZone = new Map<string, number>();
  for (const id of ranked) {
    const zone = zoneOf.get(id) ?? '';
    const place = usedByZone.get(zone) ?? 0;
    placeInZone.set(id, place);
    usedByZone.set(zone, place + 1);
  }
  const spread = [...ranked].sort(
    (a, b) => (placeInZone.get(a) ?? 0) - (placeInZone.get(b) ?? 0),
  );
  return spread.slice(0, count);
};

/** Returns those of the ranked watchers that watch the store directly. */
export const findStoreWatchers = (
  watchers: readonly string[],
): readonly string[] =>
  watchers.slice(
    0,
    watchers.length < LARGE_FLEET_WATCHERS
      ? STORE_WATCHERS
      : STORE_WATCHERS_OF_LARGE_FLEET,
  );

/**
 * Returns the watchers that an instance may get changes from, best first: those
 * of its own zone, then the others. Within a zone the ranking differs by
 * instance, which spreads the load. A watcher gets changes only from those that
 * watch the store, because two watchers that relied on each other would both
 * learn nothing new.
 */
export const rankSources = (
  self: Pick<WatchCandidate, 'id' | 'zone'>,
  members: readonly WatchCandidate[],
): readonly string[] => {
  const zoneOf = new Map(members.map(({id, zone}) => [id, zone]));
  const watchers = findWatchers(members);
  const sources = watchers.includes(self.id)
    ? findStoreWatchers(watchers)
    : watchers;
  const others = sources.filter(id => id !== self.id);
  const ranked = rendezvous.rankByRendezvous(self.id, others);
  const isSameZone = (id: string) => zoneOf.get(id) === self.zone;
  return [
    ...ranked.filter(isSameZone),
    ...ranked.filter(id => !isSameZone(id)),
  ];
};

/**
 * Maximum duration of a watch, in ms, for changes due within `boundMs`.
 *
 * @param ageMs time since the view was last known to be complete.
 */
export const findWatchDurationMs = (boundMs: number, ageMs: number): number =>
  Math.min(
    WATCH_FRACTION * boundMs,
    Math.max(
      MIN_WATCH_FRACTION * boundMs,
      CONFIRMED_FRACTION * boundMs - ageMs,
    ),
  );

/**
 * Pause, in ms, after a watch that returned changes due within `boundMs`. It
 * allows at most ten watches within one bound; otherwise each change would end
 * a watch when upstreams are replaced one after the other.
 */
export const findChangePauseMs = (boundMs: number): number =>
  CHANGE_PAUSE_FRACTION * boundMs;

/** Age, in ms, from which the view of a watcher is stale. */
export const findStaleAfterMs = (boundMs: number): number =>
  STALE_FRACTION * boundMs;

/** Age of its view, in ms, from which an instance lists the store itself. */
export const findAskAfterMs = (boundMs: number): number =>
  ASK_FRACTION * boundMs;

/**
 * Decides how to sync a kind of objects whose changes must be active within
 * `boundMs`.
 *
 * @param watchesStore whether the instance watches the store directly.
 * @param ageMs time since the view was last known to be complete.
 */
export const findSyncMode = (
  watchesStore: boolean,
  ageMs: number,
  boundMs: number,
): SyncMode => {
  if (watchesStore) {
    return 'watch';
  }
  return ageMs > findAskAfterMs(boundMs) ? 'ask' : 'none';
};
