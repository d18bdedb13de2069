/** Shapes and bounds that messages between instances share. */
import * as zod from 'zod';

/** Longest list in one message; bounds the memory that a sender can claim. */
export const MAX_ITEMS = 2_000;

/** Objects of one kind: twice the upstreams of the size to design for. */
export const MAX_OBJECTS = 24_000;

/** Environments that one instance may follow. */
export const MAX_ENVIRONMENTS = 16;

/** A name or an address. */
export const name = zod.string().min(1).max(256);
/** A count. */
export const count = zod.number().int().nonnegative();
/** A time in milliseconds. */
export const milliseconds = zod.number().nonnegative();

/** What one instance saw of one version. */
export const versionCounts = zod.object({
  requests: count,
  errors: count,
  slow: count,
  // Absent from releases that do not measure it.
  paced: count.default(0),
  dragging: count.default(0),
  rated: count,
  bad: count,
});
