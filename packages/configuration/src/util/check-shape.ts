/** Checks data against a schema and reports its issues as findings. */
import * as zod from 'zod';
import type * as problems from '../problem.js';
import * as nearest from './find-nearest.js';

const unwrap = (schema: zod.core.$ZodType): zod.core.$ZodType => {
  if (schema instanceof zod.ZodOptional || schema instanceof zod.ZodDefault) {
    return unwrap(schema.unwrap());
  }
  return schema;
};

const getChildSchema = (
  schema: zod.core.$ZodType | undefined,
  segment: PropertyKey,
): zod.core.$ZodType | undefined => {
  const inner = schema && unwrap(schema);
  if (inner instanceof zod.ZodObject) {
    const shape = inner.shape as Record<string, zod.core.$ZodType>;
    return shape[String(segment)];
  }
  if (inner instanceof zod.ZodRecord) {
    return inner.valueType;
  }
  return inner instanceof zod.ZodArray ? inner.element : undefined;
};

const listKeys = (
  schema: zod.core.$ZodType,
  path: readonly PropertyKey[],
): readonly string[] => {
  const found = path.reduce<zod.core.$ZodType | undefined>(
    getChildSchema,
    schema,
  );
  const inner = found && unwrap(found);
  return inner instanceof zod.ZodObject ? Object.keys(inner.shape) : [];
};

const readValue = (raw: unknown, path: problems.KeyPath): unknown =>
  path.reduce<unknown>(
    (value, segment) =>
      typeof value === 'object' &&
      value !== null &&
      Object.hasOwn(value, segment)
        ? (value as Record<string | number, unknown>)[segment]
        : undefined,
    raw,
  );

const toPath = (path: readonly PropertyKey[]): problems.KeyPath =>
  path.map(segment =>
    typeof segment === 'number' ? segment : String(segment),
  );

/** TOML names of types that the schema library names otherwise. */
const TOML_TYPES: Readonly<Record<string, string>> = {
  record: 'table',
  object: 'table',
  int: 'integer',
  TomlDate: 'date',
};

const describeType = (
  issue: zod.core.$ZodIssueInvalidType,
  path: problems.KeyPath,
  raw: unknown,
): problems.Finding => {
  const type = TOML_TYPES[issue.expected] ?? issue.expected;
  const value = readValue(raw, path);
  const parsedType = zod.core.util.parsedType(value);
  const received = TOML_TYPES[parsedType] ?? parsedType;
  return value === undefined
    ? {path, code: 'missing_key', message: `needs a value of type ${type}`}
    : {
        path,
        code: 'wrong_type',
        message: `must be of type ${type}, got ${received}`,
      };
};

const describeIssue = (
  issue: zod.core.$ZodIssue,
  raw: unknown,
  schema: zod.core.$ZodType,
): readonly problems.Finding[] => {
  const path = toPath(issue.path);
  switch (issue.code) {
    case 'unrecognized_keys':
      return issue.keys.map(key => ({
        path: [...path, key],
        code: 'unknown_key' as const,
        message: `unknown key "${key}"`,
        nearest: nearest.findNearest(key, listKeys(schema, issue.path)),
      }));
    case 'invalid_type':
      return [describeType(issue, path, raw)];
    case 'too_big':
    case 'too_small':
      return [{path, code: 'out_of_range', message: issue.message}];
    case 'invalid_key':
      return [{path, code: 'invalid_name', message: describeKey(issue)}];
    case 'invalid_value':
      return [describeValue(issue, path, raw)];
    case 'invalid_union':
      return [describeUnion(issue.message, path, raw)];
    case 'invalid_format':
    case 'not_multiple_of':
    case 'invalid_element':
    case 'custom':
      return [{path, code: 'invalid_value', message: issue.message}];
  }
};

const describeUnion = (
  message: string,
  path: problems.KeyPath,
  raw: unknown,
): problems.Finding => {
  const isMissing = readValue(raw, path) === undefined;
  return {path, code: isMissing ? 'missing_key' : 'invalid_value', message};
};

const describeKey = (issue: zod.core.$ZodIssueInvalidKey): string =>
  issue.issues.map(inner => inner.message).join('; ');

const describeValue = (
  issue: zod.core.$ZodIssueInvalidValue,
  path: problems.KeyPath,
  raw: unknown,
): problems.Finding => {
  const value = readValue(raw, path);
  const values = issue.values.map(String);
  if (value === undefined) {
    return {
      path,
      code: 'missing_key',
      message: `needs one of: ${values.join(', ')}`,
    };
  }
  return {
    path,
    code: 'invalid_value',
    message: `must be one of: ${values.join(', ')}`,
    nearest:
      typeof value === 'string'
        ? nearest.findNearest(value, values)
        : undefined,
  };
};

/**
 * Finds keys named `__proto__`. The schema library ignores them, so that a
 * workspace of that name would be dropped without an error.
 */
const findReservedKeys = (
  value: unknown,
  path: problems.KeyPath = [],
): readonly problems.Finding[] => {
  if (typeof value !== 'object' || value === null || value instanceof Date) {
    return [];
  }
  return Object.entries(value).flatMap(([key, inner]) => {
    const own = [...path, key];
    return key === '__proto__'
      ? [
          {
            path: own,
            code: 'unknown_key' as const,
            message: `reserved name "${key}"`,
          },
        ]
      : findReservedKeys(inner, own);
  });
};

/** Checks parsed TOML data against a schema and returns all findings. */
export const checkShape = (
  raw: unknown,
  schema: zod.core.$ZodType,
): readonly problems.Finding[] => {
  const result = zod.safeParse(schema, raw);
  const issues = result.success ? [] : result.error.issues;
  return [
    ...findReservedKeys(raw),
    ...issues.flatMap(issue => describeIssue(issue, raw, schema)),
  ];
};
