/**
 * Splits an environment document into content-addressed sections, one for
 * each named item, so that a change of one item moves only that item.
 */
import * as crypto from 'node:crypto';
import type * as configuration from '@amaranthknot/configuration';
import * as purify from 'purify-ts';

/** A named section and the digest of its content. */
export interface SectionEntry {
  readonly name: string;
  readonly digest: string;
}

/** The sections of a document, sorted by name. */
export interface Manifest {
  readonly entries: readonly SectionEntry[];
}

/** A document as it is stored and relayed. */
export interface SplitDocument {
  readonly manifest: Manifest;
  /** Contents by digest. */
  readonly sections: ReadonlyMap<string, unknown>;
  /** Digest of the manifest, and so of the whole document. */
  readonly digest: string;
}

const KINDS = [
  'models',
  'cascades',
  'services',
  'workspaces',
  'zones',
  'rollouts',
] as const;

const sortKeys = (value: unknown): unknown => {
  if (Array.isArray(value)) {
    return value.map(sortKeys);
  }
  if (typeof value !== 'object' || value === null) {
    return value;
  }
  const entries = Object.entries(value).sort(([a], [b]) => (a < b ? -1 : 1));
  return Object.fromEntries(
    entries.map(([key, item]) => [key, sortKeys(item)]),
  );
};

/** SHA-256 of a JSON value, in lower-case hex; the order of keys is no matter. */
export const digestOf = (value: unknown): string =>
  crypto
    .createHash('sha256')
    .update(JSON.stringify(sortKeys(value)))
    .digest('hex');

const compareNames = (a: SectionEntry, b: SectionEntry): number =>
  a.name < b.name ? -1 : 1;

/** Splits a document into sections. */
export const splitDocument = (
  document: configuration.Document,
): SplitDocument => {
  const sections = new Map<string, unknown>();
  const entries = KINDS.flatMap(kind =>
    document[kind].map(item => {
      const digest = digestOf(item);
      sections.set(digest, item);
      const name = 'name' in item ? item.name : item.model;
      return {name: `${kind}/${name}`, digest};
    }),
  ).sort(compareNames);
  const manifest = {entries};
  return {manifest, sections, digest: digestOf(manifest)};
};

/** Puts a document together; the error names what is missing or unknown. */
export const joinSections = (
  manifest: Manifest,
  sections: ReadonlyMap<string, unknown>,
): purify.Either<string, configuration.Document> => {
  const document: Record<string, unknown[]> = {};
  for (const kind of KINDS) {
    document[kind] = [];
  }
  for (const {name, digest} of manifest.entries) {
    const items = document[name.slice(0, name.indexOf('/'))];
    if (!items) {
      return purify.Left(`unknown kind of section ${name}`);
    }
    if (!sections.has(digest)) {
      return purify.Left(`section ${name} is missing`);
    }
    items.push(sections.get(digest));
  }
  return purify.Right(document as unknown as configuration.Document);
};
