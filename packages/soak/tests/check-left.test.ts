import * as chai from 'chai';
import * as checkLeft from '../src/check-left.js';

const LEFT = {id: 'left-1', leftAtMs: 1_000};

const CASES: ReadonlyArray<{
  readonly name: string;
  readonly id: string;
  readonly atMs: number;
  readonly violations: number;
}> = [
  {name: 'before it left', id: 'left-1', atMs: 900, violations: 0},
  {name: 'as it left', id: 'left-1', atMs: 1_400, violations: 0},
  {name: 'after it left', id: 'left-1', atMs: 1_600, violations: 1},
  {name: 'of one that stayed', id: 'stayed', atMs: 9_000, violations: 0},
];

describe('findWorkForNobody', () => {
  CASES.forEach(({name, id, atMs, violations}) => {
    it(`judges an arrival ${name}`, () => {
      // Guards against a soak that passes over work for callers that left.
      const found = checkLeft.findWorkForNobody({
        callers: [LEFT],
        arrivals: [{id, upstream: 'u-0.0', atMs}],
      });
      chai.expect(found).length(violations);
    });
  });
});
