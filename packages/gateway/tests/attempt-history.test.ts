import * as chai from 'chai';
import * as gateway from '@amaranthknot/gateway';
import * as upstreamFixture from './upstream-fixture.js';

/** How an attempt ends. */
type End =
  /** No answer came. */
  | 'unanswered'
  /** An answer began, and broke. */
  | 'answered'
  /** It has certainly not run. */
  | 'not_run';

interface LossCase {
  readonly name: string;
  readonly ends: readonly End[];
  /** Runs that count once the links are lost. */
  readonly runs: number;
}

const CASES: readonly LossCase[] = [
  {
    name: 'what was sent into the cut',
    ends: ['unanswered', 'unanswered'],
    runs: 0,
  },
  {name: 'an answer that began', ends: ['answered'], runs: 1},
  {
    name: 'what was sent before an answer began',
    ends: ['unanswered', 'not_run', 'answered', 'unanswered'],
    runs: 2,
  },
];

const createPlaced = (): gateway.PlacedAttempt => ({
  upstream: upstreamFixture.createUpstream(),
  inputs: {},
  recordHead: () => undefined,
  recordEvent: () => undefined,
  isInService: () => true,
  recordBreak: () => Promise.resolve(),
  settle: () => undefined,
});

const record = (history: gateway.AttemptHistory, end: End): void => {
  const placed = createPlaced();
  history.begin(placed);
  if (end === 'answered') {
    history.recordHead(placed);
  } else {
    history.recordFailure(
      placed,
      end === 'not_run'
        ? {ran: 'not_run', reason: 'refused'}
        : {ran: 'unknown', reason: 'broken'},
    );
  }
};

describe('the attempts of an instance that has lost its links', () => {
  CASES.forEach(({name, ends, runs}) => {
    it(`count ${runs} runs: ${name}`, () => {
      // Guards against runs beyond what the route allows, at the instance to
      // which the request is forwarded.
      let isLost = false;
      const request = {
        route: {maxAttempts: 3},
      } as gateway.AcceptedRequest;
      const history = new gateway.AttemptHistory(request, () => isLost);
      ends.forEach(end => {
        record(history, end);
      });
      isLost = true;
      chai.expect(history.summarize().runs).equal(runs);
    });
  });
});

describe('a request whose attempt is withdrawn before it is sent', () => {
  it('counts as one request, and its next attempt as no repeat', () => {
    // Guards against requests that fill the repeat budget twice.
    const history = new gateway.AttemptHistory(
      {route: {maxAttempts: 3}} as gateway.AcceptedRequest,
      () => false,
    );
    chai.expect(history.summarize().isCounted).equal(false);
    const placed = createPlaced();
    history.begin(placed);
    history.recordFailure(placed, {ran: 'not_run', reason: 'withdrawn'});
    chai
      .expect(history.summarize())
      .include({sends: 0, isCounted: true, isRepeat: false});
  });
});
