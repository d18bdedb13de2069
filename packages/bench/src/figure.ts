/** The figures that a bench reports, and the interface of a bench. */

/** Whether a figure's target is an upper or a lower bound. */
export type Direction = 'at_most' | 'at_least';

/** One measured figure. */
export interface Figure {
  /** Name in snake case, unique within its bench. */
  readonly figure: string;
  readonly value: number;
  readonly unit: string;
  /** Value of the simplest baseline, measured in the same run. */
  readonly baseline?: number;
  /** Required bound; `direction` says on which side of it the value must lie. */
  readonly target?: number;
  readonly direction?: Direction;
}

/** A bench: each file in `benches/` exports one as `bench`. */
export interface Bench {
  /** One line, printed in the list of benches. */
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
