/** What is wrong with a document or with settings, as a value. */

/**
 * Kinds of problem. `docs/CONFIGURATION.md` explains each.
 *
 * - `syntax`, `too_large`: the file can't be read as TOML at all.
 * - `unknown_key`, `missing_key`, `wrong_type`, `out_of_range`,
 *   `invalid_value`, `invalid_name`: one key or value has the wrong shape.
 * - all others: the parts do not fit together.
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

/** A kind of problem. */
export type ProblemCode = (typeof PROBLEM_CODES)[number];

/** One problem, placed in its file. */
export interface Problem {
  readonly file: string;
  /** Line of the key, or of its nearest table, counted from 1. */
  readonly line?: number;
  /** Dotted path; elements of arrays by index from 0, as `rules.0.allow.2`. */
  readonly key: string;
  readonly code: ProblemCode;
  readonly message: string;
  /** Nearest valid name, when one is near. */
  readonly nearest?: string;
}

/** A path of table keys and array indexes. */
export type KeyPath = readonly (string | number)[];

/** A problem before it is placed in its file. */
export interface Finding {
  readonly path: KeyPath;
  readonly code: ProblemCode;
  readonly message: string;
  readonly nearest?: string | undefined;
}

/** Key of problems that concern the file as a whole. */
export const WHOLE_FILE_KEY = '(file)';

const BARE_KEY = /^[A-Za-z0-9_-]+$/;

const formatSegment = (segment: string | number): string => {
  const text = String(segment);
  return BARE_KEY.test(text) ? text : JSON.stringify(text);
};

/** Writes a path as TOML does, quoting what is not a bare key. */
export const formatKey = (path: KeyPath): string =>
  path.length === 0 ? WHOLE_FILE_KEY : path.map(formatSegment).join('.');

/** Writes a problem in one line, for people. */
export const formatProblem = (problem: Problem): string => {
  const location =
    problem.line === undefined
      ? problem.file
      : `${problem.file}:${problem.line}`;
  const hint =
    problem.nearest === undefined ? '' : `; did you mean "${problem.nearest}"?`;
  return `${location}: ${problem.key}: ${problem.message}${hint} [${problem.code}]`;
};
