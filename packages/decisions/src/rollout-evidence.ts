/**
 * Evidence about the two versions of a rollout, counted on every instance.
 * Counters only grow and are kept per instance, so that reports may
 * arrive late, twice or out of order without being lost or counted twice.
 */

/** Outcomes of one version that one instance counted since its start. */
export interface VersionCounts {
  /** Finished requests. */
  readonly requests: number;
  /** Requests that failed with an error of the upstream. */
  readonly errors: number;
  /** Requests slower than the latency bound of the rollout. */
  readonly slow: number;
  /** Streams whose pace was measured. */
  readonly paced: number;
  /** Streams whose events came more slowly than the bound of the rollout. */
  readonly dragging: number;
  /** Waits for a first byte, and paces, that were compared with typical ones. */
  readonly compared: number;
  /** Of these, the ones over twice the typical; see `AnswerTiming`. */
  readonly slower: number;
  /** Answers rated. */
  readonly rated: number;
  /** Answers rated bad. */
  readonly bad: number;
}

/** Outcomes of both versions. Plain JSON. */
export interface RolloutEvidence {
  readonly old: VersionCounts;
  readonly new: VersionCounts;
}

/**
 * Evidence by instance id. An instance that restarts counts from zero and must
 * use a new id.
 */
export type EvidenceByInstance = Readonly<Record<string, RolloutEvidence>>;

/** All counts zero. */
export const NO_COUNTS: VersionCounts = {
  requests: 0,
  errors: 0,
  slow: 0,
  paced: 0,
  dragging: 0,
  compared: 0,
  slower: 0,
  rated: 0,
  bad: 0,
};

/** Evidence with all counts zero. */
export const NO_EVIDENCE: RolloutEvidence = {old: NO_COUNTS, new: NO_COUNTS};

const combineCounts = (
  a: VersionCounts,
  b: VersionCounts,
  combine: (a: number, b: number) => number,
): VersionCounts => ({
  requests: combine(a.requests, b.requests),
  errors: combine(a.errors, b.errors),
  slow: combine(a.slow, b.slow),
  paced: combine(a.paced, b.paced),
  dragging: combine(a.dragging, b.dragging),
  compared: combine(a.compared, b.compared),
  slower: combine(a.slower, b.slower),
  rated: combine(a.rated, b.rated),
  bad: combine(a.bad, b.bad),
});

/** Returns the counts with `added` added to those that it names. */
export const addCounts = (
  counts: VersionCounts,
  added: Partial<VersionCounts>,
): VersionCounts =>
  combineCounts(counts, {...NO_COUNTS, ...added}, (a, b) => a + b);

const combineEvidence = (
  a: RolloutEvidence,
  b: RolloutEvidence,
  combine: (a: number, b: number) => number,
): RolloutEvidence => ({
  old: combineCounts(a.old, b.old, combine),
  new: combineCounts(a.new, b.new, combine),
});

/** Merges two sets of reports, keeping the later counts of each instance. */
export const mergeEvidence = (
  a: EvidenceByInstance,
  b: EvidenceByInstance,
): EvidenceByInstance => {
  const merged: Record<string, RolloutEvidence> = {...a};
  for (const [instance, evidence] of Object.entries(b)) {
    const before = merged[instance] ?? NO_EVIDENCE;
    merged[instance] = combineEvidence(before, evidence, Math.max);
  }
  return merged;
};

/** Sums several pieces of evidence. */
export const addEvidence = (
  parts: readonly RolloutEvidence[],
): RolloutEvidence =>
  parts.reduce(
    (sum, part) => combineEvidence(sum, part, (a, b) => a + b),
    NO_EVIDENCE,
  );

/**
 * Sums over all instances what `now` counts beyond `before`. An instance that
 * is missing from `now` adds nothing, nor does an older report.
 */
export const findNewEvidence = (
  before: EvidenceByInstance,
  now: EvidenceByInstance,
): RolloutEvidence => {
  const grown = Object.entries(now).map(([instance, evidence]) =>
    combineEvidence(evidence, before[instance] ?? NO_EVIDENCE, (n, k) =>
      Math.max(0, n - k),
    ),
  );
  return addEvidence(grown);
};
