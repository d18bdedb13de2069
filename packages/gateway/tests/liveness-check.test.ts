import * as chai from 'chai';
import * as decisions from '@amaranthknot/decisions';
import * as gateway from '../src/index.js';
import * as upstreamFixture from './upstream-fixture.js';

const UPSTREAM = upstreamFixture.createUpstream();

const answer = (
  status: number,
  upstreamId: string | undefined,
): gateway.HealthResult => ({
  kind: 'answered',
  status,
  upstreamId,
  coldForMs: undefined,
});

interface CheckCase {
  readonly name: string;
  /** Results of the connections, in order; the last one is repeated. */
  readonly results: readonly gateway.HealthResult[];
  readonly isReplaced?: boolean;
  readonly isDoubted?: boolean;
  readonly sign: decisions.LivenessSign;
  readonly end: decisions.AnswerEnd;
  readonly connections: number;
}

const CASES: readonly CheckCase[] = [
  {
    name: 'answers with its id',
    results: [answer(200, 'u-1')],
    sign: 'answered',
    end: 'whole',
    connections: 1,
  },
  {
    name: 'refuses the health check for want of room',
    results: [answer(503, undefined)],
    sign: 'answered',
    end: 'whole',
    connections: 1,
  },
  {
    name: 'accepts a connection and is slow to answer',
    results: [{kind: 'silent'}],
    sign: 'accepted',
    end: 'whole',
    connections: 1,
  },
  {
    name: 'accepts a connection after it was found away',
    results: [{kind: 'silent'}],
    isDoubted: true,
    sign: 'doubted',
    end: 'early',
    connections: 1,
  },
  {
    name: 'answers after it was found away',
    results: [answer(200, 'u-1')],
    isDoubted: true,
    sign: 'answered',
    end: 'whole',
    connections: 1,
  },
  {
    name: 'resets all connections beyond its limit',
    results: [{kind: 'reset'}],
    sign: 'reset',
    end: 'whole',
    connections: 2,
  },
  {
    name: 'closes its listener last when it ends',
    results: [{kind: 'reset'}, {kind: 'refused'}],
    sign: 'refused',
    end: 'early',
    connections: 2,
  },
  {
    name: 'refuses connections',
    results: [{kind: 'refused'}],
    sign: 'refused',
    end: 'early',
    connections: 1,
  },
  {
    name: 'is reached after a lost packet',
    results: [{kind: 'unreachable'}, answer(200, 'u-1')],
    sign: 'answered',
    end: 'whole',
    connections: 2,
  },
  {
    name: 'is out of reach',
    results: [{kind: 'unreachable'}],
    sign: 'unreachable',
    end: 'early',
    connections: 2,
  },
  {
    name: 'has left its address to one with another id',
    results: [answer(200, 'u-2')],
    sign: 'replaced',
    end: 'early',
    connections: 1,
  },
  {
    name: 'has left its address to one that refuses what is meant for another',
    results: [answer(421, undefined)],
    sign: 'replaced',
    end: 'early',
    connections: 1,
  },
  {
    name: 'has started again under its id, by its entry',
    results: [answer(200, 'u-1')],
    isReplaced: true,
    sign: 'replaced',
    end: 'early',
    connections: 1,
  },
];

describe('the check of an upstream that has ended an answer', () => {
  CASES.forEach(testCase => {
    const {name, results, sign, end, connections} = testCase;
    it(`takes the answer for ${end} if the upstream ${name}`, async () => {
      const asked: gateway.HealthRequest[] = [];
      const checked: gateway.Liveness[] = [];
      const check = gateway.createCheckLiveness({
        clock: {
          now: () => 0,
          steadyNow: () => 0,
          sleep: () => Promise.resolve(),
          wallTime: () => 0,
        },
        requestHealth: request => {
          asked.push(request);
          const next = results[asked.length - 1] ?? results.at(-1);
          return Promise.resolve(next ?? {kind: 'silent'});
        },
        findHealthPath: () => '/health',
        isReplaced: () => testCase.isReplaced === true,
        isDoubted: () => testCase.isDoubted === true,
        onChecked: liveness => {
          checked.push(liveness);
        },
      });
      const found = await check(UPSTREAM);
      chai.expect(found).eql({sign, connections, tookMs: 0});
      chai.expect(decisions.judgeAnswerEnd(found.sign)).equal(end);
      chai.expect(checked).eql([found]);
      chai
        .expect(asked.map(({expectedId}) => expectedId))
        .eql(Array.from({length: connections}, () => 'u-1'));
    });
  });
});
