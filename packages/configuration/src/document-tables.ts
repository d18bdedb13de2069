/**
 * The tables of an environment document as written in TOML, before they are
 * checked against each other. Keys are in snake case; `docs/CONFIGURATION.md`
 * lists them.
 */
import * as zod from 'zod';
import type * as documents from './document.js';

/** Longest name of anything in a document. */
export const MAX_NAME_LENGTH = 64;
/** Highest price of a unit of work, in the operators' accounting unit. */
export const MAX_COST = 1_000_000;
/** Most versions of one model; some thirty are in use over all models. */
export const MAX_VERSIONS = 100;
/** Most stages of a cascade; each may cost a caller one whole answer's wait. */
export const MAX_STAGES = 8;
/** HTTP methods that a service may take. */
export const METHODS = [
  'GET',
  'HEAD',
  'OPTIONS',
  'PUT',
  'DELETE',
  'POST',
  'PATCH',
] as const;
/** Most keys of one workspace, two generations of a thousand applications. */
export const MAX_KEYS = 2_000;
/** Most requests of a workspace in progress or queued on one instance. */
export const MAX_REQUESTS = 100_000;
/** Longest wait for admission, past every caller's patience. */
export const MAX_WAIT_MS = 600_000;
/** Highest weight; the ratio of two weights stays within exact numbers. */
export const MAX_WEIGHT = 1_000;
/** Most steps of a roll-out. */
export const MAX_STEPS = 50;
/** Most targets or workspaces in one rule. */
export const MAX_RULE_ITEMS = 1_000;
/** Most rules, one for each workspace that needs its own. */
export const MAX_RULES = 1_000;
/** Most workspaces; their section digests must fit one object of 1 MB. */
export const MAX_WORKSPACES = 1_000;
/**
 * Most targets that the rules may allow one workspace. Each workspace carries
 * its own list, so that the product with `MAX_WORKSPACES` bounds the memory of
 * every instance.
 */
export const MAX_ALLOWED = 200;
/** Most models, cascades, services or zones; 33 models and versions today. */
export const MAX_ENTRIES = 500;
/** Longest life of a session token: 30 days. */
export const MAX_TOKEN_AGE_MS = 2_592_000_000;

/** State of a version that names none. */
export const DEFAULT_VERSION_STATE: documents.VersionState = 'active';
/** Quality target of a workspace that names none. */
export const DEFAULT_QUALITY_TARGET = 0.95;
/** Priority of a workspace that names none. */
export const DEFAULT_PRIORITY: documents.Priority = 'interactive';
/** Weight of a workspace that names none. */
export const DEFAULT_WEIGHT = 1;
/** Requests in progress of a workspace on one instance. */
export const DEFAULT_MAX_CONCURRENT = 64;
/** Requests waiting of a workspace on one instance: four turns of 64. */
export const DEFAULT_MAX_QUEUED = 256;
/** Wait for admission; a person at a desk gives up soon after. */
export const DEFAULT_MAX_WAIT_MS = 10_000;
/** State of a zone that names none. */
export const DEFAULT_ZONE_STATE: documents.ZoneState = 'in';
/** State of a roll-out that names none. */
export const DEFAULT_ROLLOUT_STATE: documents.RolloutState = 'running';

const NAME = /^[A-Za-z0-9][A-Za-z0-9._-]*$/;

/** Schema of all names. */
export const nameSchema = zod
  .string()
  .max(MAX_NAME_LENGTH)
  .regex(NAME, 'must start with a letter or digit, then also have ". _ -"');

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

/** Schema of the digest of a key. */
export const keyDigestSchema = zod
  .string()
  .regex(/^sha256:[0-9a-fA-F]{64}$/, 'must be "sha256:" and 64 hex digits');

/** The hex digits of a key's digest, in lower case. */
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

/** Schemas of one entry of each table of named entries. */
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

/** One entry of a table, as written, defaults filled in. */
export type Entry<N extends TableName> = zod.infer<(typeof entrySchemas)[N]>;

/** An access rule as written. */
export type RuleEntry = zod.infer<typeof rule>;

/**
 * Entries of one table. `names` has all of them, also those of the wrong
 * shape, so that a fault in an entry is not reported again by each reference
 * to it.
 */
export interface Table<T> {
  /** Whether the file has the table at all. */
  readonly isWritten: boolean;
  readonly names: readonly string[];
  readonly entries: ReadonlyMap<string, T>;
}

/** A rule of the right shape, with its index in the file. */
export interface IndexedRule {
  readonly index: number;
  readonly rule: RuleEntry;
}

/** All entries of the right shape. */
export interface Tables {
  readonly models: Table<Entry<'models'>>;
  readonly cascades: Table<Entry<'cascades'>>;
  readonly services: Table<Entry<'services'>>;
  readonly workspaces: Table<Entry<'workspaces'>>;
  readonly zones: Table<Entry<'zones'>>;
  readonly rollouts: Table<Entry<'rollouts'>>;
  readonly rules: readonly IndexedRule[];
  /** Whether a rule was left out for its shape. */
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

/** Keeps the entries of the right shape, so that the rest can be checked. */
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
