/**
 * Which generation last changed each section. From it, an instance describes
 * the change from any later generation to its own, even from one that it never
 * had because it skipped generations that came together.
 */
import type * as configurationHead from './configuration-head.js';

/** A section's name, and the generation that changed or removed it. */
export interface SectionChange {
  readonly name: string;
  readonly generation: number;
}

/** Changes of sections, complete from generation `since` on. */
export interface SectionHistory {
  readonly changedAt: ReadonlyMap<string, number>;
  readonly removedAt: ReadonlyMap<string, number>;
  readonly since: number;
}

/**
 * Maximum number of removals kept. Peers are behind by seconds, in which
 * operators remove a few sections at most. Peers that are further behind get
 * the whole configuration.
 */
const MAX_REMOVALS = 256;

/** The history of an empty configuration, complete from the beginning. */
export const EMPTY_HISTORY: SectionHistory = {
  changedAt: new Map(),
  removedAt: new Map(),
  since: 0,
};

/** A history that knows nothing before `generation`. */
export const startHistory = (
  names: readonly string[],
  generation: number,
): SectionHistory => ({
  changedAt: new Map(names.map(name => [name, generation])),
  removedAt: new Map(),
  since: generation,
});

/** Adds changes and removals, each with its own generation. */
export const extendHistory = (
  history: SectionHistory,
  changed: readonly SectionChange[],
  removed: readonly SectionChange[],
): SectionHistory => {
  const changedAt = new Map(history.changedAt);
  const removedAt = new Map(history.removedAt);
  for (const {name, generation} of removed) {
    changedAt.delete(name);
    removedAt.set(name, generation);
  }
  for (const {name, generation} of changed) {
    changedAt.set(name, generation);
    removedAt.delete(name);
  }
  return pruneRemovals({changedAt, removedAt, since: history.since});
};

const pruneRemovals = (history: SectionHistory): SectionHistory => {
  const {changedAt, removedAt} = history;
  const excess = removedAt.size - MAX_REMOVALS;
  if (excess <= 0) {
    return history;
  }
  const oldest = [...removedAt].sort(([, a], [, b]) => a - b);
  const since = oldest[excess - 1]?.[1] ?? 0;
  return {
    changedAt,
    removedAt: new Map(oldest.slice(excess)),
    since: Math.max(history.since, since),
  };
};

/** Adds the deltas of a head, oldest first. */
export const applyHeadDeltas = (
  history: SectionHistory,
  deltas: readonly configurationHead.HeadDelta[],
): SectionHistory =>
  deltas.reduce(
    (extended, {generation, entries, removed}) =>
      extendHistory(
        extended,
        entries.map(({name}) => ({name, generation})),
        removed.map(name => ({name, generation})),
      ),
    history,
  );

/** Lists the changes after `generation`. */
export const listChangesAfter = (
  changes: ReadonlyMap<string, number>,
  generation: number,
): SectionChange[] =>
  [...changes]
    .filter(([, at]) => at > generation)
    .map(([name, at]) => ({name, generation: at}));
