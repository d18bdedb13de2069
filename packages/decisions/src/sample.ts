/** Random sampling without replacement. */

/**
 * Draws up to `count` of `items`, each with equal probability, none twice.
 *
 * @param random uniform random numbers in [0, 1).
 */
export const drawSample = <T>(
  items: readonly T[],
  count: number,
  random: () => number,
): readonly T[] => {
  const left = [...items];
  const drawn: T[] = [];
  while (drawn.length < count && left.length > 0) {
    const index = Math.floor(random() * left.length);
    drawn.push(...left.splice(index, 1));
  }
  return drawn;
};
