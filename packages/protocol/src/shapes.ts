/** Schemas and bounds that messages between instances share. */
import * as zod from 'zod';

/**
 * Longest list in one message; bounds the memory that a sender can make the
 * receiver use.
 */
export const MAX_ITEMS = 2_000;

/**
 * Maximum number of objects of one kind: twice the upstreams of the size
 * designed for.
 */
export const MAX_OBJECTS = 24_000;

/** Maximum number of environments that one instance follows. */
export const MAX_ENVIRONMENTS = 16;

/** Longest name, in characters. */
export const MAX_NAME_LENGTH = 256;

/** A name or an address. */
export const name = zod.string().min(1).max(MAX_NAME_LENGTH);
/** A count. */
export const count = zod.number().int().nonnegative();
/** A time in milliseconds. */
export const milliseconds = zod.number().nonnegative();

/** One instance's outcome counts of one version. */
export const versionCounts = zod.object({
  requests: count,
  errors: count,
  slow: count,
  // Releases that do not measure these leave them out.
  paced: count.default(0),
  dragging: count.default(0),
  compared: count.default(0),
  slower: count.default(0),
  rated: count,
  bad: count,
});
