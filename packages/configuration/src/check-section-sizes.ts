/** Checks that a document can be stored and relayed once it is split. */
import type * as documents from './document.js';
import type * as problems from './problem.js';
import * as sections from './sections.js';

/**
 * Largest section or manifest, in bytes of canonical JSON. The object API
 * holds values up to a megabyte; the rest is left to its envelope.
 */
export const MAX_SECTION_BYTES = 1_000_000;

/** Most sections; a message between instances lists 2,000 at most. */
export const MAX_SECTIONS = 2_000;

/**
 * Largest sum of all sections. An instance that starts in an outage of the
 * platform gets them all in one answer of a peer, of 8 MiB at most.
 */
export const MAX_PUBLISHED_BYTES = 4_000_000;

const checkSection = (
  name: string,
  byteLength: number,
): readonly problems.Finding[] => {
  const path = name.split('/');
  const message = `${byteLength} bytes when published, more than the ${MAX_SECTION_BYTES} allowed`;
  return byteLength <= MAX_SECTION_BYTES
    ? []
    : [{path, code: 'too_large', message}];
};

/** Checks the numbers and sizes of a document's sections. */
export const checkSectionSizes = (
  document: documents.Document,
): readonly problems.Finding[] => {
  const split = sections.splitDocument(document);
  const {byteLengths} = split;
  const total = [...byteLengths.values()].reduce((sum, next) => sum + next, 0);
  const count = split.sections.length;
  const countText = `${count} items, more than the ${MAX_SECTIONS} allowed`;
  const totalText = `${total} bytes when published, more than the ${MAX_PUBLISHED_BYTES} allowed`;
  return [
    ...[...byteLengths].flatMap(([name, length]) => checkSection(name, length)),
    ...(count <= MAX_SECTIONS
      ? []
      : [{path: [], code: 'out_of_range' as const, message: countText}]),
    ...(total <= MAX_PUBLISHED_BYTES
      ? []
      : [{path: [], code: 'too_large' as const, message: totalText}]),
  ];
};
