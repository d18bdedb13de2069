/** Figures that a bench reports. */

/** Which way a figure must lie from its target. */
export type Direction = 'at_most' | 'at_least';

/** One measured figure. */
export interface Figure {
  /** Name in snake case, unique in its bench. */
  readonly figure: string;
  readonly value: number;
  readonly unit: string;
  /** Value of the simplest baseline in the same run. */
  readonly baseline?: number;
  /** The target asked for, and the side of it that is met. */
  readonly target?: number;
  readonly direction?: Direction;
}

/** A bench: one file in `benches/`, exporting this as `bench`. */
export interface Bench {
  /** One line for the list of benches. */
  readonly summary: string;
  run(seed: number): Promise<readonly Figure[]>;
}

/** Whether a figure meets its target; undefined without a target. */
export const isMet = (figure: Figure): boolean | undefined => {
  if (figure.target === undefined) {
    return undefined;
  }
  return figure.direction === 'at_least'
    ? figure.value >= figure.target
    : figure.value <= figure.target;
};
