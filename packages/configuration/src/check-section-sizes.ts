/** Checks that the sections of a document can be stored and sent to peers. */
import type * as documents from './document.js';
import type * as problems from './problem.js';
import * as sections from './sections.js';

/**
 * Largest section or manifest, in bytes of canonical JSON. The object API stores
 * values of up to a megabyte; the remainder is for its envelope.
 */
export const MAX_SECTION_BYTES = 1_000_000;

/** Maximum sections; a message between instances lists at most 2,000. */
export const MAX_SECTIONS = 2_000;

/**
 * Largest total of all sections and the manifest, in bytes. An instance that
 * starts during an outage of the platform gets them all in one answer of a peer,
 * of at most 8 MiB.
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

/** Checks the number, the sizes and the total size of a document's sections. */
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
