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

/** A named section and the digest of its content. */
export interface SectionEntry {
  /** Table and item, as `zones/tunis`; `sessions` has one item only. */
  readonly name: string;
  /** SHA-256 of the content's canonical JSON, in lower-case hex. */
  readonly digest: string;
}

/** The sections of a document, sorted by name. */
export interface Manifest {
  readonly entries: readonly SectionEntry[];
}

/** A document as it is stored and relayed. */
export interface SplitDocument {
  readonly manifest: Manifest;
  /** Contents, JSON values, by digest. */
  readonly sections: ReadonlyMap<string, unknown>;
  /** Digest of the manifest, and so of the whole document. */
  readonly digest: string;
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
  readonly entry: SectionEntry;
  readonly value: unknown;
  readonly byteLength: number;
}

const createSection = (name: string, value: unknown): SizedSection => {
  const text = canonicalJson.formatCanonicalJson(value);
  const entry = {name, digest: canonicalJson.digestText(text)};
  return {entry, value, byteLength: Buffer.byteLength(text)};
};

const nameItem = (
  table: TableName,
  item: documents.Document[TableName][number],
): string => `${table}/${'name' in item ? item.name : item.model}`;

const listSections = (document: documents.Document): readonly SizedSection[] =>
  [
    ...TABLES.flatMap(table =>
      document[table].map(item => createSection(nameItem(table, item), item)),
    ),
    ...(document.sessions === undefined
      ? []
      : [createSection(SESSIONS, document.sessions)]),
  ].sort((a, b) => (a.entry.name < b.entry.name ? -1 : 1));

/** Splits a document; equal documents give equal digests. */
export const splitDocument = (document: documents.Document): SplitDocument => {
  const listed = listSections(document);
  const manifest = {entries: listed.map(({entry}) => entry)};
  const own = createSection(MANIFEST, manifest);
  return {
    manifest,
    sections: new Map(listed.map(({entry, value}) => [entry.digest, value])),
    digest: own.entry.digest,
    byteLengths: new Map(
      [...listed, own].map(({entry, byteLength}) => [entry.name, byteLength]),
    ),
  };
};

/** Digest of a document. */
export const digestDocument = (document: documents.Document): string =>
  splitDocument(document).digest;

/** Names of the sections of `after` that `before` lacks or has otherwise. */
export const listChangedSections = (
  before: Manifest,
  after: Manifest,
): readonly string[] => {
  const digests = new Map(
    before.entries.map(({name, digest}) => [name, digest]),
  );
  return after.entries
    .filter(({name, digest}) => digests.get(name) !== digest)
    .map(({name}) => name);
};

const findTable = (name: string): TableName | undefined =>
  TABLES.find(table => name.startsWith(`${table}/`));

/** Whether a content is of the item that its section's name says. */
const isNamed = (name: string, value: unknown): boolean => {
  if (typeof value !== 'object' || value === null) {
    return false;
  }
  const table = findTable(name);
  const item = value as documents.Document[TableName][number];
  return table === undefined || nameItem(table, item) === name;
};

const checkSection = (
  {name, digest}: SectionEntry,
  value: unknown,
): readonly SectionError[] => {
  const fail = (code: SectionErrorCode, message: string) => [
    {section: name, code, message},
  ];
  if (findTable(name) === undefined && name !== SESSIONS) {
    return fail('unknown_section', `this program knows no section ${name}`);
  }
  if (value === undefined) {
    return fail('missing_section', `section ${name} is missing`);
  }
  if (canonicalJson.digestValue(value) !== digest) {
    return fail('digest_mismatch', `section ${name} is not ${digest}`);
  }
  return isNamed(name, value)
    ? []
    : fail('invalid_section', `section ${name} holds another item`);
};

const assemble = (
  manifest: Manifest,
  sections: ReadonlyMap<string, unknown>,
): documents.Document => {
  const listItems = (table: TableName): readonly unknown[] =>
    manifest.entries
      .filter(({name}) => name.startsWith(`${table}/`))
      .map(({digest}) => sections.get(digest));
  const tables = TABLES.map(table => [table, listItems(table)] as const);
  const sessions = manifest.entries.find(({name}) => name === SESSIONS);
  return {
    ...Object.fromEntries(tables),
    ...(sessions === undefined
      ? {}
      : {sessions: sections.get(sessions.digest)}),
  } as unknown as documents.Document;
};

/**
 * Joins sections to the document of a manifest. Contents come from peers and
 * from the platform, so each is checked against its digest; what a digest
 * stands for was checked when it was published.
 *
 * @param sections contents by digest.
 * @return the document, or its first section that stands in the way.
 */
export const joinSections = (
  manifest: Manifest,
  sections: ReadonlyMap<string, unknown>,
): purify.Either<SectionError, documents.Document> => {
  for (const entry of manifest.entries) {
    const [error] = checkSection(entry, sections.get(entry.digest));
    if (error) {
      return purify.Left(error);
    }
  }
  return purify.Right(assemble(manifest, sections));
};
