/**
 * Derives what is believed of parts of prompts from the evidence about all of
 * them, the same at all instances that have the same evidence. Pure.
 */
import type * as partRow from './part-row.js';
import * as suspectPart from './suspect-part.js';

/** Occasions on which upstreams must have ended for a part to be held. */
const HOLD_OCCASIONS = 2;

/** What follows from the evidence for one part. */
export interface DerivedBelief {
  readonly row: partRow.PartRow;
  readonly belief: partRow.PartBelief;
  /** Ends that are evidence against it. */
  readonly ends: readonly suspectPart.PartEnd[];
}

interface RowEvidence {
  readonly row: partRow.PartRow;
  readonly ends: readonly suspectPart.PartEnd[];
}

/** Orders the part first that explains most ends; the same everywhere. */
const compareEvidence = (a: RowEvidence, b: RowEvidence): number =>
  b.ends.length - a.ends.length ||
  (a.row.suspect.id < b.row.suspect.id ? -1 : 1);

/**
 * Derives the beliefs, beginning with the part that explains most ends.
 *
 * Guards against parts that are held because they stood beside the one that
 * ends upstreams: an end that a held part explains counts against no other one.
 */
export const deriveBeliefs = (
  rows: readonly partRow.PartRow[],
  nowMs: number,
): readonly DerivedBelief[] => {
  const found = rows
    .map(row => ({row, ends: row.suspect.findEnds(nowMs)}))
    .sort(compareEvidence);
  const explained = new Set<string>();
  return found.map(({row, ends}) => {
    const unexplained = suspectPart
      .findExplicable(ends)
      .filter(({upstream}) => !explained.has(upstream));
    const isHeld = suspectPart.countOccasions(unexplained) >= HOLD_OCCASIONS;
    if (isHeld) {
      ends.forEach(({upstream}) => explained.add(upstream));
    }
    const otherwise = ends.length > 0 ? 'suspected' : 'clear';
    return {row, belief: isHeld ? 'held' : otherwise, ends};
  });
};
