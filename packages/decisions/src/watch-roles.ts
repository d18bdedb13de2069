/**
 * Decides which instances keep the others up to date, which of these watch the
 * platform's store themselves, and when one that leaves it to others asks the
 * store itself.
 *
 * Load: up to a thousand instances that must all know of each change within
 * seconds, and a store that counts every waiting watch. Harm prevented: calls
 * that grow with the fleet, and instances that rely on a watcher which has
 * lost the store. Every instance works the roles out from the members that it
 * hears of; where two disagree, views grow old and both ask the store.
 */
import * as rendezvous from './rendezvous.js';

/** An instance that may watch. */
export interface WatchCandidate {
  readonly id: string;
  readonly zone: string;
  /** What its machine gives it, in processor cores. */
  readonly cores: number;
}

/** What an instance does about one kind of objects now. */
export type SyncMode =
  /** Keep a watch open, for itself and for others. */
  | 'watch'
  /** Ask the store once: what is known is too old. */
  | 'ask'
  /** Nothing: a watcher brings changes. */
  | 'none';

/**
 * Instances for each watcher. Each holds one waiting call open at its watcher;
 * a change of some 10 KB to each of so many takes 40 ms of a link of 50 Mbit/s.
 */
const INSTANCES_PER_WATCHER = 24;

/** Least watchers of a fleet: the others go on when one is lost. */
const MIN_WATCHERS = 2;

/**
 * Watchers that watch the store itself; the others are told by these. However
 * large the fleet is, the store has so many watches open for each kind: two,
 * and a third where the loss of both would send hundreds to the store at once.
 */
const STORE_WATCHERS = 2;
const STORE_WATCHERS_OF_LARGE_FLEET = 3;

/** Watchers from which on a fleet has three that watch the store. */
const LARGE_FLEET_WATCHERS = 6;

/**
 * Part of the time within which a change must be in force that one watch
 * waits. Changes come at once, however long it waits; its end only shows that
 * the store still answers.
 */
const WATCH_FRACTION = 0.45;

/**
 * Age, as a part of that time, at which a watch ends at the latest, and the
 * least part that one waits. An answer with changes confirms only what was
 * known when it was asked for: after one that comes at the end of a watch,
 * another whole watch makes a watcher look as if it had lost the store.
 */
const CONFIRMED_FRACTION = 0.5;
const MIN_WATCH_FRACTION = 0.1;

/**
 * Part of that time for which a watcher waits after changes. Much less than
 * instances may take to act on them.
 */
const CHANGE_PAUSE_FRACTION = 0.1;

/**
 * Age, as a part of that time, from which what a watcher knows is too old: it
 * has lost the store, and another one is asked. More than one watch takes.
 */
const STALE_FRACTION = 0.6;

/**
 * Part of that time after which an instance asks the store itself. It is more
 * than one watch and the way from the watcher take, so that a calm day never
 * comes to it, and leaves time for a call that has to be repeated.
 */
const ASK_FRACTION = 0.75;

/** Names the ranking of instances; any fixed text does. */
const ROLE_KEY = 'watch';

/**
 * Instances that keep the others up to date, the same on all instances, the
 * first for the store itself first. They lie in as many zones as can be, so that no zone that is lost takes them all. One with
 * more cores is chosen as much more often: a watcher works for its followers
 * beside its own callers.
 */
export const findWatchers = (
  members: readonly WatchCandidate[],
): readonly string[] => {
  const zoneOf = new Map(members.map(({id, zone}) => [id, zone]));
  const ranked = rendezvous.rankByWeight(
    ROLE_KEY,
    members.map(({id, cores}) => ({id, weight: cores})),
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

/** Of all watchers, in their order, those that watch the store. */
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
 * Instances that one may be told of changes by, best first: watchers of its
 * own zone, then of others. Instances spread over them; a watcher is told by
 * those alone that watch the store, for two watchers that told each other
 * would both know nothing new.
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
 * Time that one watch waits, in ms, for changes due within `boundMs`.
 *
 * @param ageMs time since what is known was known to be complete.
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
 * Pause, in ms, after a watch that brought changes due within `boundMs`. When
 * upstreams are replaced in series, each entry would else end a watch; at most
 * ten do in the time of one bound.
 */
export const findChangePauseMs = (boundMs: number): number =>
  CHANGE_PAUSE_FRACTION * boundMs;

/** Age, in ms, from which a watcher's word on such changes is too old. */
export const findStaleAfterMs = (boundMs: number): number =>
  STALE_FRACTION * boundMs;

/** Age, in ms, from which an instance asks for changes due within `boundMs`. */
export const findAskAfterMs = (boundMs: number): number =>
  ASK_FRACTION * boundMs;

/**
 * What to do about a kind whose changes must be in force within `boundMs`.
 *
 * @param watchesStore whether the instance is one of those that watch it.
 * @param ageMs time since what is known was known to be complete.
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
