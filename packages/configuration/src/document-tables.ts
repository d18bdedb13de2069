/**
 * Schemas and limits of the TOML tables of an environment document. Relations
 * between tables are checked elsewhere. `docs/CONFIGURATION.md` lists the keys.
 */
import * as zod from 'zod';
import type * as documents from './document.js';

/** Longest name of anything in a document. */
export const MAX_NAME_LENGTH = 64;
/** Highest price of a unit of work, in the operators' accounting unit. */
export const MAX_COST = 1_000_000;
/** Maximum versions of one model; about thirty are in use over all models. */
export const MAX_VERSIONS = 100;
/** Maximum stages of a cascade; each can delay the caller by a whole answer. */
export const MAX_STAGES = 8;
/** HTTP methods that a service may accept. */
export const METHODS = [
  'GET',
  'HEAD',
  'OPTIONS',
  'PUT',
  'DELETE',
  'POST',
  'PATCH',
] as const;
/** Maximum keys of a workspace: two generations for a thousand applications. */
export const MAX_KEYS = 2_000;
/** Upper bound of a workspace's requests in progress or queued per instance. */
export const MAX_REQUESTS = 100_000;
/** Longest wait for admission; no caller waits that long. */
export const MAX_WAIT_MS = 600_000;
/** Highest weight; keeps the ratio of two weights in the exact number range. */
export const MAX_WEIGHT = 1_000;
/** Maximum steps of a rollout. */
export const MAX_STEPS = 50;
/** Maximum targets and maximum workspaces in one rule. */
export const MAX_RULE_ITEMS = 1_000;
/** Maximum rules: one per workspace. */
export const MAX_RULES = 1_000;
/** Maximum workspaces; their section digests must fit in one object of 1 MB. */
export const MAX_WORKSPACES = 1_000;
/**
 * Maximum targets that the rules may allow one workspace. Each workspace has its
 * own list, so that the product with `MAX_WORKSPACES` bounds the memory of every
 * instance.
 */
export const MAX_ALLOWED = 200;
/**
 * Maximum entries of each other table, such as models or zones; 33 models and
 * versions are in use.
 */
export const MAX_ENTRIES = 500;
/** Longest lifetime of a session token: 30 days. */
export const MAX_TOKEN_AGE_MS = 2_592_000_000;

/** State of a version without one. */
export const DEFAULT_VERSION_STATE: documents.VersionState = 'active';
/** Quality target of a workspace without one. */
export const DEFAULT_QUALITY_TARGET = 0.95;
/** Priority of a workspace without one. */
export const DEFAULT_PRIORITY: documents.Priority = 'interactive';
/** Weight of a workspace without one. */
export const DEFAULT_WEIGHT = 1;
/** Maximum requests of a workspace in progress on one instance. */
export const DEFAULT_MAX_CONCURRENT = 64;
/** Maximum queued requests per instance: four times `DEFAULT_MAX_CONCURRENT`. */
export const DEFAULT_MAX_QUEUED = 256;
/** Maximum wait for admission; a person gives up soon after. */
export const DEFAULT_MAX_WAIT_MS = 10_000;
/** State of a zone without one. */
export const DEFAULT_ZONE_STATE: documents.ZoneState = 'in';
/** State of a rollout without one. */
export const DEFAULT_ROLLOUT_STATE: documents.RolloutState = 'running';

const NAME = /^[A-Za-z0-9][A-Za-z0-9._-]*$/;

/** Schema of all names. */
export const nameSchema = zod
  .string()
  .max(MAX_NAME_LENGTH)
  .regex(
    NAME,
    'must start with a letter or digit and have only letters, digits, ".", "_" and "-"',
  );

const cost = zod.number().min(0).max(MAX_COST);
const share = zod.number().min(0).max(1);

const version = zod.strictObject({
  state: zod.enum(['active', 'withdrawn']).default(DEFAULT_VERSION_STATE),
  successor: nameSchema.optional(),
});

const model = zod.strictObject({
  cost_per_thousand_tokens: cost,
  default_version: nameSchema,
  versions: zod.record(nameSchema, version),
});

const cascade = zod.strictObject({
  stages: zod.array(nameSchema).min(1).max(MAX_STAGES),
});

const service = zod.strictObject({
  cost_per_call: cost,
  idempotent_methods: zod.array(zod.enum(METHODS)).default([]),
});

const limits = zod.strictObject({
  max_concurrent: zod
    .int()
    .min(1)
    .max(MAX_REQUESTS)
    .default(DEFAULT_MAX_CONCURRENT),
  max_queued: zod.int().min(0).max(MAX_REQUESTS).default(DEFAULT_MAX_QUEUED),
  max_wait_ms: zod.int().min(0).max(MAX_WAIT_MS).default(DEFAULT_MAX_WAIT_MS),
});

/** Schema of a key's digest: `sha256:` and 64 hex digits. */
export const keyDigestSchema = zod
  .string()
  .regex(/^sha256:[0-9a-fA-F]{64}$/, 'must be "sha256:" and 64 hex digits');

/** Returns the hex digits of a key's digest in lower case. */
export const readKeyDigest = (written: string): string =>
  written.slice(written.indexOf(':') + 1).toLowerCase();

const workspace = zod.strictObject({
  keys: zod.array(keyDigestSchema).min(1).max(MAX_KEYS),
  quality_target: share.default(DEFAULT_QUALITY_TARGET),
  priority: zod
    .enum(['door_check', 'interactive', 'batch'])
    .default(DEFAULT_PRIORITY),
  weight: zod.number().gt(0).max(MAX_WEIGHT).default(DEFAULT_WEIGHT),
  default_cascade: nameSchema.optional(),
  limits: limits.default(() => limits.parse({})),
});

const rule = zod.strictObject({
  workspaces: zod.array(zod.string()).min(1).max(MAX_RULE_ITEMS),
  allow: zod.array(zod.string()).min(1).max(MAX_RULE_ITEMS),
});

const zone = zod.strictObject({
  state: zod.enum(['in', 'out']).default(DEFAULT_ZONE_STATE),
});

const rollout = zod.strictObject({
  from: nameSchema,
  to: nameSchema,
  state: zod
    .enum(['running', 'paused', 'withdrawn'])
    .default(DEFAULT_ROLLOUT_STATE),
  steps: zod.array(zod.number().gt(0).max(1)).min(1).max(MAX_STEPS),
});

const sessions = zod.strictObject({
  token_max_age_ms: zod.int().min(1_000).max(MAX_TOKEN_AGE_MS).optional(),
});

/** Schema of an entry, for each table of named entries. */
export const entrySchemas = {
  models: model,
  cascades: cascade,
  services: service,
  workspaces: workspace,
  zones: zone,
  rollouts: rollout,
} as const;

/** Schema of one access rule. */
export const ruleSchema = rule;

/** Schema of the sessions table. */
export const sessionsSchema = sessions;

/** Schema of the whole file. */
export const documentSchema = zod.strictObject({
  models: zod.record(nameSchema, model),
  cascades: zod.record(nameSchema, cascade).default({}),
  services: zod.record(nameSchema, service).default({}),
  workspaces: zod.record(nameSchema, workspace),
  rules: zod.array(rule).max(MAX_RULES).default([]),
  zones: zod.record(nameSchema, zone),
  rollouts: zod.record(nameSchema, rollout).default({}),
  sessions: sessions.optional(),
});

/** Names of the tables of named entries. */
export type TableName = keyof typeof entrySchemas;

/** One entry of a table with its TOML keys; defaults are filled in. */
export type Entry<N extends TableName> = zod.infer<(typeof entrySchemas)[N]>;

/** An access rule with its TOML keys. */
export type RuleEntry = zod.infer<typeof rule>;

/**
 * Entries of one table. `entries` has those that fit the schema. `names` has all
 * of them, so that references to an invalid entry are not reported as well.
 */
export interface Table<T> {
  /** Whether the file has the table. */
  readonly isWritten: boolean;
  readonly names: readonly string[];
  readonly entries: ReadonlyMap<string, T>;
}

/** A rule that fits the schema, with its index in the file. */
export interface IndexedRule {
  readonly index: number;
  readonly rule: RuleEntry;
}

/** All entries and rules that fit their schemas. */
export interface Tables {
  readonly models: Table<Entry<'models'>>;
  readonly cascades: Table<Entry<'cascades'>>;
  readonly services: Table<Entry<'services'>>;
  readonly workspaces: Table<Entry<'workspaces'>>;
  readonly zones: Table<Entry<'zones'>>;
  readonly rollouts: Table<Entry<'rollouts'>>;
  readonly rules: readonly IndexedRule[];
  /** Whether a rule was left out because it doesn't fit the schema. */
  readonly hasInvalidRules: boolean;
  readonly sessions?: zod.infer<typeof sessions>;
}

const readTable = <N extends TableName>(
  data: Readonly<Record<string, unknown>>,
  table: N,
): Table<Entry<N>> => {
  const raw = data[table];
  if (typeof raw !== 'object' || raw === null || Array.isArray(raw)) {
    return {isWritten: false, names: [], entries: new Map()};
  }
  const schema = entrySchemas[table] as unknown as zod.ZodType<Entry<N>>;
  const entries = new Map<string, Entry<N>>();
  for (const [entryName, value] of Object.entries(raw)) {
    const parsed = schema.safeParse(value);
    if (parsed.success) {
      entries.set(entryName, parsed.data);
    }
  }
  return {isWritten: true, names: Object.keys(raw), entries};
};

const readRules = (raw: unknown): readonly IndexedRule[] =>
  (Array.isArray(raw) ? raw : []).flatMap((value, index) => {
    const parsed = rule.safeParse(value);
    return parsed.success ? [{index, rule: parsed.data}] : [];
  });

/**
 * Reads the entries that fit their schemas, so that these can be checked even
 * if others are invalid.
 */
export const readTables = (data: Readonly<Record<string, unknown>>): Tables => {
  const rules = readRules(data['rules']);
  const written = Array.isArray(data['rules']) ? data['rules'].length : 0;
  const parsedSessions = sessions.safeParse(data['sessions']);
  return {
    models: readTable(data, 'models'),
    cascades: readTable(data, 'cascades'),
    services: readTable(data, 'services'),
    workspaces: readTable(data, 'workspaces'),
    zones: readTable(data, 'zones'),
    rollouts: readTable(data, 'rollouts'),
    rules,
    hasInvalidRules: rules.length < written,
    ...(parsedSessions.success ? {sessions: parsedSessions.data} : {}),
  };
};
