/**
 * Priority of a prompt among those that wait at an engine.
 *
 * Load: long prompts mixed with short ones, more at once than an engine can
 * process within the target for the first token. Harm prevented: a prompt of a
 * thousand tokens waits behind ten of ten thousand, so that all are late. With
 * the shortest first, most callers are on time, and a long prompt is delayed
 * only by the short time that the prompts before it take.
 */

/**
 * Longest prompt of the highest priority, in tokens; the limit doubles with
 * each lower priority.
 */
const HIGHEST_PRIORITY_TOKENS = 350;

/** Lowest priority that engines distinguish; 0 is the highest. */
export const LOWEST_PREFILL_PRIORITY = 9;

/** Priority of a prompt, from 0 to `LOWEST_PREFILL_PRIORITY`. */
export const findPrefillPriority = (promptTokens: number): number => {
  const doublings = Math.log2(promptTokens / HIGHEST_PRIORITY_TOKENS);
  return Math.min(LOWEST_PREFILL_PRIORITY, Math.max(0, Math.ceil(doublings)));
};
