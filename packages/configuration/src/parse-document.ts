/** Parses an environment document from TOML and runs all checks on it. */
import * as purify from 'purify-ts';
import type * as documents from './document.js';
import type * as problems from './problem.js';
import * as access from './access.js';
import * as checkAccess from './check-access.js';
import * as checkKeysAndZones from './check-keys-and-zones.js';
import * as checkModels from './check-models.js';
import * as checkSectionSizes from './check-section-sizes.js';
import * as checkEntryCounts from './check-entry-counts.js';
import * as formatDocument from './format-document.js';
import * as tables from './document-tables.js';
import * as shapes from './util/check-shape.js';
import * as readToml from './util/read-toml.js';

/** Largest document, in bytes; the object API stores up to a megabyte. */
export const MAX_DOCUMENT_BYTES = 1_000_000;

const listSorted = <T, R>(
  table: tables.Table<T>,
  create: (name: string, entry: T) => R,
): readonly R[] =>
  [...table.entries]
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([name, entry]) => create(name, entry));

const createVersion = (
  name: string,
  entry: tables.Entry<'models'>['versions'][string],
): documents.Version => ({
  name,
  state: entry.state,
  ...(entry.successor === undefined ? {} : {successor: entry.successor}),
});

const createModel = (
  name: string,
  entry: tables.Entry<'models'>,
): documents.Model => ({
  name,
  costPerThousandTokens: entry.cost_per_thousand_tokens,
  defaultVersion: entry.default_version,
  versions: Object.entries(entry.versions)
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([version, value]) => createVersion(version, value)),
});

const createService = (
  name: string,
  entry: tables.Entry<'services'>,
): documents.Service => ({
  name,
  costPerCall: entry.cost_per_call,
  idempotentMethods: [...new Set(entry.idempotent_methods)].sort(),
});

const createWorkspace = (
  name: string,
  entry: tables.Entry<'workspaces'>,
  allowed: readonly documents.Target[],
): documents.Workspace => ({
  name,
  keyDigests: entry.keys.map(tables.readKeyDigest).sort(),
  qualityTarget: entry.quality_target,
  priority: entry.priority,
  weight: entry.weight,
  limits: {
    maxConcurrent: entry.limits.max_concurrent,
    maxQueued: entry.limits.max_queued,
    maxWaitMs: entry.limits.max_wait_ms,
  },
  ...(entry.default_cascade === undefined
    ? {}
    : {defaultCascade: entry.default_cascade}),
  allowed,
});

const createSessions = (
  entry: tables.Tables['sessions'],
): Pick<documents.Document, 'sessions'> =>
  entry?.token_max_age_ms === undefined
    ? {}
    : {sessions: {tokenMaxAgeMs: entry.token_max_age_ms}};

const createDocument = (
  checked: tables.Tables,
  allowed: access.Access,
): documents.Document => ({
  models: listSorted(checked.models, createModel),
  cascades: listSorted(checked.cascades, (name, {stages}) => ({name, stages})),
  services: listSorted(checked.services, createService),
  workspaces: listSorted(checked.workspaces, (name, entry) =>
    createWorkspace(name, entry, allowed.get(name) ?? []),
  ),
  zones: listSorted(checked.zones, (name, {state}) => ({name, state})),
  rollouts: listSorted(checked.rollouts, (model, entry) => ({
    model,
    from: entry.from,
    to: entry.to,
    state: entry.state,
    steps: entry.steps,
  })),
  ...createSessions(checked.sessions),
});

/** Runs all checks on TOML data, and converts it if they found nothing. */
const readDocument = (
  source: readToml.TomlFile,
): purify.Either<readonly problems.Problem[], documents.Document> => {
  const checked = tables.readTables(source.data);
  const allowed = access.collectAccess(checked);
  const findings = [
    ...shapes.checkShape(source.data, tables.documentSchema),
    ...checkEntryCounts.checkEntryCounts(checked, allowed),
    ...checkModels.checkModels(checked),
    ...checkAccess.checkAccess(checked, allowed),
    ...checkKeysAndZones.checkKeyDigests(checked.workspaces),
    ...checkKeysAndZones.checkZones(checked.zones),
  ];
  if (findings.length > 0) {
    return purify.Left(readToml.locateFindings(source, findings));
  }
  const document = createDocument(checked, allowed);
  const oversized = checkSectionSizes.checkSectionSizes(document);
  return oversized.length === 0
    ? purify.Right(document)
    : purify.Left(readToml.locateFindings(source, oversized));
};

/**
 * Parses and checks an environment document.
 *
 * @param file file name, which the problems name.
 * @return the document, or all problems sorted by line.
 */
export const parseDocument = (
  text: string,
  file: string,
): purify.Either<readonly problems.Problem[], documents.Document> =>
  readToml.readToml(text, file, MAX_DOCUMENT_BYTES).chain(readDocument);

/**
 * Runs the same checks on a document that a command changed.
 *
 * @param source origin of the document, which the problems name instead of a
 *   file; they have no lines.
 */
export const checkDocument = (
  document: documents.Document,
  source: string,
): purify.Either<readonly problems.Problem[], documents.Document> =>
  readDocument({
    file: source,
    data: formatDocument.writeTables(document),
    lines: new Map(),
  });
