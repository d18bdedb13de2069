/** Percentiles, means and random draws that the benches share. */
import * as histogram from 'hdr-histogram-js';
import type * as entryModel from './entry-model.js';

/** The histogram takes whole numbers only, so values are kept in thousandths. */
const RESOLUTION = 1000;

/** Value at a percentile, 0 to 100; 0 without values. */
export const percentile = (
  values: Iterable<number>,
  percent: number,
): number => {
  const recorded = histogram.build({
    highestTrackableValue: 1e11,
    numberOfSignificantValueDigits: 3,
  });
  let count = 0;
  for (const value of values) {
    recorded.recordValue(Math.max(0, Math.round(value * RESOLUTION)));
    count++;
  }
  const found = recorded.getValueAtPercentile(percent) / RESOLUTION;
  recorded.destroy();
  return count === 0 ? 0 : found;
};

/** Arithmetic mean; 0 without values. */
export const mean = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);

/** Times from offer to answer of the answered requests, in milliseconds. */
export const latencies = (
  outcomes: readonly entryModel.CallerOutcome[],
): readonly number[] =>
  outcomes.filter(o => o.kind === 'answered').map(o => o.totalMs);

/** Draws from a log-normal distribution with the given mean. */
export const drawLogNormal = (
  random: () => number,
  meanValue: number,
  sigma: number,
): number => {
  const normal =
    Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  return meanValue * Math.exp(sigma * normal - (sigma * sigma) / 2);
};
