/**
 * What an instance keeps of one part of prompts, and how instances report it to
 * each other. Pure.
 */
import * as suspectPart from './suspect-part.js';

/** What is believed of a part. */
export type PartBelief = 'clear' | 'suspected' | 'held';

/** A part about which an instance has evidence, and what it believes of it. */
export interface PartRow {
  readonly suspect: suspectPart.SuspectPart;
  belief: PartBelief;
  /** When this instance learned of the newest evidence. */
  announcedAtMs: number;
  heldAtMs: number | undefined;
  /** When a request was last sent on trial, by any instance. */
  trialAtMs: number;
  /** When the outcome of the last own trial was known. */
  ownTrialSettledMs: number;
}

/** Evidence about a part as instances report it to each other. */
export interface ReportedPart {
  readonly part: string;
  readonly workspace: string;
  readonly ends: readonly ReportedPartEnd[];
  /** Time since an answer to a request with it began, in milliseconds. */
  readonly provenAgeMs?: number | undefined;
  /** Time since it was held, in milliseconds. */
  readonly heldAgeMs?: number | undefined;
  /** Time since a request with it was last sent on trial, in milliseconds. */
  readonly trialAgeMs?: number | undefined;
}

/** One end in a report. */
export interface ReportedPartEnd {
  readonly upstream: string;
  readonly ageMs: number;
  readonly sentAgeMs: number;
  /** Other upstreams that ended at the same moment; absent if there are none. */
  readonly coincident?: readonly string[] | undefined;
}

/**
 * Times that differ by less are the same, in milliseconds: ages in reports do
 * not include their transmission, so a time would become later at each round.
 */
export const SAME_TIME_MS = 500;

/** Creates the row of a part without evidence. */
export const createPartRow = (part: string, workspace: string): PartRow => ({
  suspect: new suspectPart.SuspectPart(part, workspace),
  belief: 'clear',
  announcedAtMs: -Infinity,
  heldAtMs: undefined,
  trialAtMs: -Infinity,
  ownTrialSettledMs: -Infinity,
});

/** Describes a row for other instances. */
export const describeRow = (
  {suspect, heldAtMs, trialAtMs}: PartRow,
  nowMs: number,
): ReportedPart => {
  const toAge = (atMs: number): number => Math.max(0, nowMs - atMs);
  const toOptionalAge = (atMs = -Infinity): number | undefined =>
    atMs === -Infinity ? undefined : toAge(atMs);
  return {
    part: suspect.id,
    workspace: suspect.workspace,
    ends: suspect
      .findEnds(nowMs)
      .map(({upstream, atMs, sentAtMs, coincident}) => ({
        upstream,
        ageMs: toAge(atMs),
        sentAgeMs: toAge(sentAtMs),
        ...(coincident.length === 0 ? {} : {coincident}),
      })),
    provenAgeMs: toOptionalAge(suspect.provenAtMs),
    heldAgeMs: toOptionalAge(heldAtMs),
    trialAgeMs: toOptionalAge(trialAtMs),
  };
};

/**
 * Merges the times in a report. Returns whether it tells of a trial that was not
 * known.
 */
export const mergeTimes = (
  row: PartRow,
  {heldAgeMs, trialAgeMs = Infinity}: ReportedPart,
  now: number,
): boolean => {
  if (heldAgeMs !== undefined) {
    row.heldAtMs = Math.min(row.heldAtMs ?? Infinity, now - heldAgeMs);
  }
  const isNewTrial = now - trialAgeMs > row.trialAtMs + SAME_TIME_MS;
  if (isNewTrial) {
    row.trialAtMs = now - trialAgeMs;
  }
  return isNewTrial;
};

const STRENGTHS: Readonly<Record<PartBelief, number>> = {
  held: 2,
  suspected: 1,
  clear: 0,
};

/** Orders the strongest belief first. */
export const compareBeliefs = (a: PartBelief, b: PartBelief): number =>
  STRENGTHS[b] - STRENGTHS[a];
