/**
 * Splits a document into immutable sections that are addressed by the digest of
 * their content, and joins them.
 *
 * Load: about one change per second over the day, mostly of one zone or one
 * rollout. With a section per named item, only the few hundred bytes that
 * changed are transferred. Sections are never overwritten, so that readers of
 * an older manifest still find the sections it names.
 */
import * as purify from 'purify-ts';
import type * as documents from './document.js';
import * as canonicalJson from './util/canonical-json.js';

/** One item of a document, addressed by its content. */
export interface Section {
  /** Table and item, as in `zones/tunis`; `sessions` has no items. */
  readonly name: string;
  /** SHA-256 of the value's canonical JSON, in lower-case hex. */
  readonly digest: string;
  /** JSON value. */
  readonly value: unknown;
}

/** List of a document's sections. Its digest is that of the document. */
export interface Manifest {
  /** Digest by section name. */
  readonly sections: Readonly<Record<string, string>>;
}

/** The sections and the manifest of a document, with their sizes. */
export interface SplitDocument {
  readonly manifest: Manifest;
  /** Digest of the manifest, which identifies the whole document. */
  readonly digest: string;
  /** Sorted by name. */
  readonly sections: readonly Section[];
  /** Bytes of canonical JSON by section name; `manifest` is included. */
  readonly byteLengths: ReadonlyMap<string, number>;
}

/**
 * Reasons why sections can't be joined.
 *
 * - `missing_section`: the manifest names it, but its value is not available.
 * - `digest_mismatch`: the value has another digest than the manifest names.
 * - `unknown_section`: from a later release. Ignoring it could ignore a limit,
 *   so the whole document is refused.
 * - `invalid_section`: the value is of another item than the section's name.
 */
export type SectionErrorCode =
  'missing_section' | 'digest_mismatch' | 'unknown_section' | 'invalid_section';

/** A section because of which a document is refused. */
export interface SectionError {
  readonly section: string;
  readonly code: SectionErrorCode;
  readonly message: string;
}

/** Name of the manifest in `byteLengths`. */
const MANIFEST = 'manifest';

/** Name of the only section that has no item name. */
const SESSIONS = 'sessions';

const TABLES = [
  'models',
  'cascades',
  'services',
  'workspaces',
  'zones',
  'rollouts',
] as const;

type TableName = (typeof TABLES)[number];

interface SizedSection {
  readonly section: Section;
  readonly byteLength: number;
}

const createSection = (name: string, value: unknown): SizedSection => {
  const text = canonicalJson.formatCanonicalJson(value);
  const section = {name, digest: canonicalJson.digestText(text), value};
  return {section, byteLength: Buffer.byteLength(text)};
};

const getSectionName = (
  table: TableName,
  item: documents.Document[TableName][number],
): string => `${table}/${'name' in item ? item.name : item.model}`;

const listSections = (document: documents.Document): readonly SizedSection[] =>
  [
    ...TABLES.flatMap(table =>
      document[table].map(item =>
        createSection(getSectionName(table, item), item),
      ),
    ),
    ...(document.sessions === undefined
      ? []
      : [createSection(SESSIONS, document.sessions)]),
  ].sort((a, b) => (a.section.name < b.section.name ? -1 : 1));

/** Splits a document into sections; equal documents give equal digests. */
export const splitDocument = (document: documents.Document): SplitDocument => {
  const listed = listSections(document);
  const sections = listed.map(({section}) => section);
  const digests = sections.map(({name, digest}) => [name, digest] as const);
  const manifest = {sections: Object.fromEntries(digests)};
  const own = createSection(MANIFEST, manifest);
  return {
    manifest,
    digest: own.section.digest,
    sections,
    byteLengths: new Map(
      [...listed, own].map(each => [each.section.name, each.byteLength]),
    ),
  };
};

/** Returns the digest of a document, which is that of its manifest. */
export const digestDocument = (document: documents.Document): string =>
  splitDocument(document).digest;

/** Returns the digest of a manifest, which is that of its document. */
export const digestManifest = (manifest: Manifest): string =>
  canonicalJson.digestValue(manifest);

/** Lists the sections of `after` that are new or have another digest. */
export const listChangedSections = (
  before: Manifest,
  after: Manifest,
): readonly string[] =>
  Object.entries(after.sections)
    .filter(([name, digest]) => before.sections[name] !== digest)
    .map(([name]) => name);

/**
 * Digests of values that were checked before. About once per second a change
 * joins all sections again although one is new; without this cache the digests
 * of 900 workspaces take a tenth of a core. Entries stay valid because values
 * are never mutated; a value from outside is always a new object.
 */
const digestCache = new WeakMap<object, string>();

const getCachedDigest = (value: unknown): string => {
  if (typeof value !== 'object' || value === null) {
    return canonicalJson.digestValue(value);
  }
  const digest = digestCache.get(value) ?? canonicalJson.digestValue(value);
  digestCache.set(value, digest);
  return digest;
};

/** Whether a section's value has the section's digest. */
export const isSectionIntact = ({digest, value}: Section): boolean =>
  getCachedDigest(value) === digest;

const findTable = (name: string): TableName | undefined =>
  TABLES.find(table => name.startsWith(`${table}/`));

/** Whether a value belongs to the item that its section's name contains. */
const hasMatchingName = (name: string, value: unknown): boolean => {
  if (typeof value !== 'object' || value === null) {
    return false;
  }
  const table = findTable(name);
  const item = value as documents.Document[TableName][number];
  return table === undefined || getSectionName(table, item) === name;
};

const checkSection = (section: Section): readonly SectionError[] => {
  const {name, digest, value} = section;
  const fail = (code: SectionErrorCode, message: string) => [
    {section: name, code, message},
  ];
  if (findTable(name) === undefined && name !== SESSIONS) {
    return fail(
      'unknown_section',
      'unknown to this release; the document is refused',
    );
  }
  if (value === undefined) {
    return fail(
      'missing_section',
      `no value with digest ${digest} is available`,
    );
  }
  if (!isSectionIntact(section)) {
    return fail(
      'digest_mismatch',
      `the value must have digest ${digest}, got ${getCachedDigest(value)}`,
    );
  }
  return hasMatchingName(name, value)
    ? []
    : fail(
        'invalid_section',
        'the value belongs to another item than this section',
      );
};

const assemble = (sections: readonly Section[]): documents.Document => {
  const listItems = (table: TableName): readonly unknown[] =>
    sections
      .filter(({name}) => name.startsWith(`${table}/`))
      .map(({value}) => value);
  const tables = TABLES.map(table => [table, listItems(table)] as const);
  const sessions = sections.find(({name}) => name === SESSIONS);
  return {
    ...Object.fromEntries(tables),
    ...(sessions === undefined ? {} : {sessions: sessions.value}),
  } as unknown as documents.Document;
};

/**
 * Joins the sections of a manifest to a document. Values come from peers and
 * from the platform, so each is checked against its digest. The content was
 * checked before it was published.
 *
 * @param findValue returns a value by digest; undefined if not available.
 * @return the document, or the errors of all sections.
 */
export const joinSections = (
  manifest: Manifest,
  findValue: (digest: string) => unknown,
): purify.Either<readonly SectionError[], documents.Document> => {
  const sections = Object.entries(manifest.sections)
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([name, digest]) => ({name, digest, value: findValue(digest)}));
  const errors = sections.flatMap(checkSection);
  return errors.length === 0
    ? purify.Right(assemble(sections))
    : purify.Left(errors);
};
