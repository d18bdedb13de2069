/** Number of histories that a check runs, and its seed. */

/** Number of runs, `usual` in CI; `HISTORY_RUNS` sets another. */
export const historyRuns = (usual: number): number =>
  Number(process.env.HISTORY_RUNS ?? usual);

/** Seed, `usual` in CI; `HISTORY_SEED` sets another. */
export const historySeed = (usual: number): number =>
  Number(process.env.HISTORY_SEED ?? usual);
