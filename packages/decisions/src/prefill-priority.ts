/**
 * The order in which engines take prompts that wait.
 *
 * Load: long prompts beside short ones, more at once than an engine reads in
 * the time that a first token may take. Harm prevented: a report of a thousand
 * tokens that waits for ten logs of ten thousand, so that both are late. Taken
 * shortest first, the most callers are on time; a long one loses the little
 * that short ones before it take.
 */

/** Longest prompt of the first rank, in tokens; each next one takes twice. */
const HIGHEST_PRIORITY_TOKENS = 350;

/** Ranks that an engine tells apart; 0 comes first. */
export const LOWEST_PREFILL_PRIORITY = 9;

/** Rank of a prompt among those that wait at its engine. */
export const findPrefillPriority = (promptTokens: number): number => {
  const doublings = Math.log2(promptTokens / HIGHEST_PRIORITY_TOKENS);
  return Math.min(LOWEST_PREFILL_PRIORITY, Math.max(0, Math.ceil(doublings)));
};
