/**
 * A document as immutable sections, each named by the digest of its content.
 *
 * Load: a change a second over the day, mostly of one zone or one roll-out.
 * One section for each table, and one for each workspace, let a change travel
 * as the one section it touches. Sections are never written over, so a reader
 * that follows an older manifest still finds what that manifest names.
 */
import * as purify from 'purify-ts';
import type * as documents from './document.js';
import * as canonicalJson from './util/canonical-json.js';

/** A part of a document, addressed by its content. */
export interface Section {
  /** `models`, `cascades`, ..., or `workspace/NAME`. */
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
  readonly sections: readonly Section[];
  /** Bytes of canonical JSON by section name; `manifest` is the manifest. */
  readonly byteLengths: ReadonlyMap<string, number>;
}

/**
 * Why sections make no document.
 *
 * - `missing_section`: the manifest names it, or needs to, and it is not here.
 * - `digest_mismatch`: the value is not the one its digest stands for.
 * - `unknown_section`: of a later program; leaving it out could leave out a
 *   rule, so the whole document is refused.
 * - `invalid_section`: the value is of another shape.
 */
export type SectionErrorCode =
  'missing_section' | 'digest_mismatch' | 'unknown_section' | 'invalid_section';

/** One section that stands in a document's way. */
export interface SectionError {
  readonly section: string;
  readonly code: SectionErrorCode;
  readonly message: string;
}

const WORKSPACE_PREFIX = 'workspace/';

const TABLES = [
  'models',
  'cascades',
  'services',
  'zones',
  'rollouts',
  'sessions',
] as const;

type TableName = (typeof TABLES)[number];

const isTable = (name: string): name is TableName =>
  (TABLES as readonly string[]).includes(name);

/** A section with the size of its text. */
interface SizedSection {
  readonly section: Section;
  readonly byteLength: number;
}

const createSection = (name: string, value: unknown): SizedSection => {
  const text = canonicalJson.formatCanonicalJson(value);
  const section = {name, digest: canonicalJson.digestText(text), value};
  return {section, byteLength: Buffer.byteLength(text)};
};

/** Digest of a manifest: the digest of its document. */
export const digestManifest = (manifest: Manifest): string =>
  canonicalJson.digestValue(manifest);

/** Whether a section's value is the one its digest stands for. */
export const isSectionIntact = (section: Section): boolean =>
  canonicalJson.digestValue(section.value) === section.digest;

/** Name under which the manifest's own size stands. */
const MANIFEST = 'manifest';

/** Splits a document; equal documents give equal digests. */
export const splitDocument = (document: documents.Document): SplitDocument => {
  const tables = TABLES.filter(name => document[name] !== undefined);
  const sized = [
    ...tables.map(name => createSection(name, document[name])),
    ...document.workspaces.map(workspace =>
      createSection(WORKSPACE_PREFIX + workspace.name, workspace),
    ),
  ];
  const sections = sized.map(({section}) => section);
  const digests = sections.map(section => [section.name, section.digest]);
  const manifest = {
    sections: Object.fromEntries(digests) as Record<string, string>,
  };
  const own = createSection(MANIFEST, manifest);
  const byteLengths = new Map(
    [...sized, own].map(({section, byteLength}) => [section.name, byteLength]),
  );
  return {manifest, digest: own.section.digest, sections, byteLengths};
};

/**
 * Largest section or manifest, in bytes of canonical JSON. The object API
 * holds values up to a megabyte; the rest is left to its envelope.
 */
export const MAX_SECTION_BYTES = 1_000_000;

/** Names of the sections too large to publish, `manifest` among them. */
export const listOversizedSections = (
  split: SplitDocument,
): readonly string[] =>
  [...split.byteLengths]
    .filter(([, byteLength]) => byteLength > MAX_SECTION_BYTES)
    .map(([name]) => name);

/** Digest of a document. */
export const digestDocument = (document: documents.Document): string =>
  splitDocument(document).digest;

/** Names of the sections of `after` that `before` lacks or has otherwise. */
export const listChangedSections = (
  before: Manifest,
  after: Manifest,
): readonly string[] =>
  Object.entries(after.sections)
    .filter(([name, digest]) => before.sections[name] !== digest)
    .map(([name]) => name);

const isShaped = (name: string, value: unknown): boolean => {
  if (name === 'sessions' || name.startsWith(WORKSPACE_PREFIX)) {
    return typeof value === 'object' && value !== null;
  }
  return Array.isArray(value);
};

const checkSection = (
  name: string,
  digest: string,
  value: unknown,
): readonly SectionError[] => {
  const fail = (code: SectionErrorCode, message: string) => [
    {section: name, code, message},
  ];
  if (!isTable(name) && !name.startsWith(WORKSPACE_PREFIX)) {
    return fail('unknown_section', `this program knows no section "${name}"`);
  }
  if (value === undefined) {
    return fail('missing_section', `no value with digest ${digest}`);
  }
  if (canonicalJson.digestValue(value) !== digest) {
    return fail('digest_mismatch', `the value's digest is not ${digest}`);
  }
  return isShaped(name, value)
    ? []
    : fail('invalid_section', 'the value is of another shape');
};

const checkTables = (manifest: Manifest): readonly SectionError[] =>
  TABLES.filter(name => name !== 'sessions')
    .filter(name => !Object.hasOwn(manifest.sections, name))
    .map(section => ({
      section,
      code: 'missing_section',
      message: 'the manifest has no such section',
    }));

const assemble = (
  manifest: Manifest,
  findValue: (digest: string) => unknown,
): documents.Document => {
  const entries = Object.entries(manifest.sections).map(
    ([name, digest]) => [name, findValue(digest)] as const,
  );
  const tables = entries.filter(([name]) => isTable(name));
  const workspaces = entries
    .filter(([name]) => name.startsWith(WORKSPACE_PREFIX))
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([, value]) => value);
  return {
    ...Object.fromEntries(tables),
    workspaces,
  } as unknown as documents.Document;
};

/**
 * Joins sections to the document of a manifest. Values come from peers and
 * from the platform, so each is checked against its digest; what a digest
 * stands for was checked when it was published.
 *
 * @param findValue value by digest, undefined when it is not at hand.
 */
export const joinSections = (
  manifest: Manifest,
  findValue: (digest: string) => unknown,
): purify.Either<readonly SectionError[], documents.Document> => {
  const errors = [
    ...checkTables(manifest),
    ...Object.entries(manifest.sections).flatMap(([name, digest]) =>
      checkSection(name, digest, findValue(digest)),
    ),
  ];
  return errors.length === 0
    ? purify.Right(assemble(manifest, findValue))
    : purify.Left(errors);
};
