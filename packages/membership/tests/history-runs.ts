/** How many histories a check runs, from which seed. */

/** Runs in CI; `HISTORY_RUNS` asks for more. */
export const historyRuns = (usual: number): number =>
  Number(process.env.HISTORY_RUNS ?? usual);

/** Seed in CI; `HISTORY_SEED` asks for another. */
export const historySeed = (usual: number): number =>
  Number(process.env.HISTORY_SEED ?? usual);
