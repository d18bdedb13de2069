/** Problems of documents and settings, as values and as text. */

/**
 * Kinds of problem. `docs/CONFIGURATION.md` explains each.
 *
 * - `syntax`, `too_large`: the file is not valid TOML, or it or a section of
 *   the document is too large.
 * - `unknown_key`, `missing_key`, `wrong_type`, `out_of_range`,
 *   `invalid_value`, `invalid_name`: a key or value does not fit the schema.
 * - all others: values contradict each other.
 */
export const PROBLEM_CODES = [
  'syntax',
  'too_large',
  'unknown_key',
  'missing_key',
  'wrong_type',
  'out_of_range',
  'invalid_value',
  'invalid_name',
  'dangling_name',
  'duplicate',
  'duplicate_key_digest',
  'default_withdrawn',
  'no_live_successor',
  'successor_cycle',
  'cost_order',
  'unreachable_stage',
  'nothing_allowed',
  'cascade_not_allowed',
  'all_zones_out',
  'steps_not_growing',
  'steps_not_complete',
  'rollout_withdrawn',
  'rollout_to_itself',
] as const;

export type ProblemCode = (typeof PROBLEM_CODES)[number];

/** A problem with its file and line. */
export interface Problem {
  readonly file: string;
  /** Line of the key or of its closest table, from 1. */
  readonly line?: number;
  /** Dotted path; array elements by index from 0, as in `rules.0.allow.2`. */
  readonly key: string;
  readonly code: ProblemCode;
  readonly message: string;
  /** Closest valid name, if one is similar. */
  readonly nearest?: string;
}

/** Path of table keys and array indexes; empty for the whole file. */
export type KeyPath = readonly (string | number)[];

/** A problem without its file and line. */
export interface Finding {
  readonly path: KeyPath;
  readonly code: ProblemCode;
  readonly message: string;
  readonly nearest?: string | undefined;
}

/** Key of problems that concern the whole file. */
export const WHOLE_FILE_KEY = '(file)';

const BARE_KEY = /^[A-Za-z0-9_-]+$/;

const formatSegment = (segment: string | number): string => {
  const text = String(segment);
  return BARE_KEY.test(text) ? text : JSON.stringify(text);
};

/** Formats a path as a dotted TOML key; quotes segments that need it. */
export const formatKey = (path: KeyPath): string =>
  path.length === 0 ? WHOLE_FILE_KEY : path.map(formatSegment).join('.');

/** Formats a problem as one line for operators. */
export const formatProblem = (problem: Problem): string => {
  const location =
    problem.line === undefined
      ? problem.file
      : `${problem.file}:${problem.line}`;
  const hint =
    problem.nearest === undefined ? '' : `; did you mean "${problem.nearest}"?`;
  return `${location}: ${problem.key}: ${problem.message}${hint} [${problem.code}]`;
};
