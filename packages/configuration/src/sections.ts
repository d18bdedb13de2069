/**
 * A document as immutable sections, each named by the digest of its content.
 *
 * Load: about a change a second over the day, mostly of one zone or one
 * roll-out. One section for each named item lets a change travel as the few
 * hundred bytes it touches. Sections are never written over, so a reader that
 * follows an older manifest still finds what that manifest names.
 */
import * as purify from 'purify-ts';
import type * as documents from './document.js';
import * as canonicalJson from './util/canonical-json.js';

/** A part of a document, addressed by its content. */
export interface Section {
  /** Table and item, as `zones/tunis`; `sessions` has one item only. */
  readonly name: string;
  /** SHA-256 of the value's canonical JSON, in lower-case hex. */
  readonly digest: string;
  /** JSON value. */
  readonly value: unknown;
}

/** All sections of a document; its own digest is the document's. */
export interface Manifest {
  /** Digest by section name. */
  readonly sections: Readonly<Record<string, string>>;
}

/** A document with its sections. */
export interface SplitDocument {
  readonly manifest: Manifest;
  /** Digest of the manifest, and so of the whole document. */
  readonly digest: string;
  /** Sorted by name. */
  readonly sections: readonly Section[];
  /** Bytes of canonical JSON by section name, `manifest` among them. */
  readonly byteLengths: ReadonlyMap<string, number>;
}

/**
 * Why sections make no document.
 *
 * - `missing_section`: the manifest names it, and it is not at hand.
 * - `digest_mismatch`: the content is not the one its digest stands for.
 * - `unknown_section`: of a later program; leaving it out could leave out a
 *   limit, so the whole document is refused.
 * - `invalid_section`: the content is not of the item that the name says.
 */
export type SectionErrorCode =
  'missing_section' | 'digest_mismatch' | 'unknown_section' | 'invalid_section';

/** One section that stands in a document's way. */
export interface SectionError {
  readonly section: string;
  readonly code: SectionErrorCode;
  readonly message: string;
}

/** Name under which the manifest's own size stands. */
const MANIFEST = 'manifest';

/** The one section without an item of its own name. */
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

/** Splits a document; equal documents give equal digests. */
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

/** Digest of a document. */
export const digestDocument = (document: documents.Document): string =>
  splitDocument(document).digest;

/** Digest of a manifest: the digest of its document. */
export const digestManifest = (manifest: Manifest): string =>
  canonicalJson.digestValue(manifest);

/** Names of the sections of `after` that `before` lacks or has otherwise. */
export const listChangedSections = (
  before: Manifest,
  after: Manifest,
): readonly string[] =>
  Object.entries(after.sections)
    .filter(([name, digest]) => before.sections[name] !== digest)
    .map(([name]) => name);

/**
 * Digests of values seen before. Load: about a change a second, each joining
 * all sections again although one is new; without this, the digests of 900
 * workspaces take a tenth of a core. It holds because values are never
 * changed in place: a value from outside is always another object.
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

/** Whether a section's value is the one its digest stands for. */
export const isSectionIntact = ({digest, value}: Section): boolean =>
  getCachedDigest(value) === digest;

const findTable = (name: string): TableName | undefined =>
  TABLES.find(table => name.startsWith(`${table}/`));

/** Whether a value is of the item that its section's name says. */
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
    return fail('unknown_section', 'this program knows no such section');
  }
  if (value === undefined) {
    return fail('missing_section', `no value with digest ${digest}`);
  }
  if (!isSectionIntact(section)) {
    return fail('digest_mismatch', `the value's digest is not ${digest}`);
  }
  return hasMatchingName(name, value)
    ? []
    : fail('invalid_section', 'the value is of another item');
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
 * Joins sections to the document of a manifest. Values come from peers and
 * from the platform, so each is checked against its digest; what a digest
 * stands for was checked when it was published.
 *
 * @param findValue value by digest, undefined when it is not at hand.
 * @return the document, or all sections that stand in its way.
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
