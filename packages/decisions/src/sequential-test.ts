/**
 * Sequential test of whether a new version has bad outcomes more often than an
 * old one. It stays valid however often it is evaluated.
 *
 * Each block of outcomes is judged by how its bad ones divide between the two
 * versions. With equal rates, the probability that a bad outcome is one of the
 * new version equals the new version's share of the block, whatever the rate
 * is, so a rate that drifts over the day does not bias the test. The mixture of
 * likelihood ratios for several higher odds is a test martingale. Given the
 * bad outcomes of a block, the draw is without replacement, for which the mean
 * of the ratio is at most 1.
 */

/** Outcomes of both versions in one block. */
export interface OutcomeBlock {
  readonly oldCount: number;
  readonly oldBad: number;
  readonly newCount: number;
  readonly newBad: number;
}

/** Log likelihood ratios, one for each odds ratio tested. Plain JSON. */
export type LogLikelihoodRatios = readonly number[];

/**
 * Odds ratios tested for by default. The first is also the smallest worsening
 * that a version must be cleared of before it gets more than a small share.
 */
export const ODDS_RATIOS = [1.5, 2.2, 4, 8, 20] as const;

/** No evidence yet. */
export const ZERO_LOG_RATIOS: LogLikelihoodRatios = ODDS_RATIOS.map(() => 0);

/**
 * Log of the mixture of likelihood ratios, for one block, that the new version
 * is worse by one of `oddsRatios`.
 */
export const findBlockEvidence = (
  block: OutcomeBlock,
  oddsRatios: readonly number[] = ODDS_RATIOS,
): number =>
  findEvidenceAgainst(
    addBlock(
      oddsRatios.map(() => 0),
      block,
      oddsRatios,
    ),
  );

/** Adds a block. One without outcomes of both versions changes nothing. */
export const addBlock = (
  ratios: LogLikelihoodRatios,
  block: OutcomeBlock,
  oddsRatios: readonly number[] = ODDS_RATIOS,
): LogLikelihoodRatios => {
  if (block.newCount === 0 || block.oldCount === 0) {
    return ratios;
  }
  return ratios.map((ratio, i) => {
    const odds = oddsRatios[i] ?? 1;
    const total = odds * block.newCount + block.oldCount;
    const count = block.newCount + block.oldCount;
    const onNew = Math.log((odds * count) / total);
    const onOld = Math.log(count / total);
    return ratio + block.newBad * onNew + block.oldBad * onOld;
  });
};

/** Log of the mixture of likelihood ratios that the new version is worse. */
export const findEvidenceAgainst = (ratios: LogLikelihoodRatios): number => {
  const highest = Math.max(...ratios);
  const sum = ratios.reduce((total, r) => total + Math.exp(r - highest), 0);
  return highest + Math.log(sum / ratios.length);
};

/** Log evidence that the new version isn't worse by the first odds ratio. */
export const findEvidenceFor = (ratios: LogLikelihoodRatios): number =>
  -(ratios[0] ?? 0);
