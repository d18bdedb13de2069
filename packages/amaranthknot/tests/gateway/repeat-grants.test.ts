import * as chai from 'chai';
import * as repeatLoad from './repeat-load.js';

const LENGTH_MS = 34_000;

/** Part of the escalations that may be refused while nothing breaks. */
const MAX_REFUSED = 0.01;

interface CalmCase {
  readonly name: string;
  readonly instances: number;
  readonly perSecond: number;
  /** Time for which callers stay with one third; all are used by default. */
  readonly stayMs?: number;
}

const CASES: readonly CalmCase[] = [
  {name: 'two requests a second each', instances: 24, perSecond: 52},
  {name: 'ten requests a second each', instances: 24, perSecond: 240},
  {name: 'two requests a second at each of 60', instances: 60, perSecond: 120},
  {name: 'two requests a second at each of 6', instances: 6, perSecond: 12},
  {
    name: 'callers that move between thirds',
    instances: 24,
    perSecond: 52,
    stayMs: 3_000,
  },
];

const chooseThird = (
  instances: number,
  stayMs: number,
): repeatLoad.ChooseInstance =>
  repeatLoad.chooseAmong(atMs =>
    Array.from({length: instances}, (_, index) => index).filter(
      index => index % 3 === Math.floor(atMs / stayMs) % 3,
    ),
  );

const sum = (counts: Readonly<Record<string, number>>): number =>
  Object.values(counts).reduce((total, count) => total + count, 0);

describe('escalations while nothing breaks', () => {
  CASES.forEach(({name, instances, perSecond, stayMs}) => {
    it(`are not refused for the budget: ${name}`, async () => {
      // Guards against a bound that calm callers of small instances pay for.
      const {granted, refused} = await repeatLoad.playRepeatLoad({
        instances,
        perSecond,
        forMs: LENGTH_MS,
        brokenFraction: () => 0,
        ...(stayMs === undefined
          ? {}
          : {choose: chooseThird(instances, stayMs)}),
      });
      chai.expect(sum(granted)).above((0.4 * (perSecond * LENGTH_MS)) / 1_000);
      chai.expect(sum(refused)).at.most(MAX_REFUSED * sum(granted));
    });
  });
});
