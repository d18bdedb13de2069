import * as chai from 'chai';
import * as gateway from '../src/index.js';
import * as upstreamFixture from './upstream-fixture.js';

const UPSTREAM = upstreamFixture.createUpstream();

interface Fixture {
  nowMs: number;
  /** Whether the upstream refuses new connections. */
  isRefusing: boolean;
  readonly ends: gateway.UpstreamEnds;
  readonly found: gateway.UpstreamEnd[];
  readonly answered: (readonly string[])[];
  readonly send: (request: string) => gateway.AttemptWatch;
  /** Lets all checks end. */
  readonly settle: () => Promise<void>;
}

const createFixture = (): Fixture => {
  const found: gateway.UpstreamEnd[] = [];
  const answered: (readonly string[])[] = [];
  const fixture: Fixture = {
    nowMs: 1_000,
    isRefusing: true,
    found,
    answered,
    ends: new gateway.UpstreamEnds({
      now: () => fixture.nowMs,
      sleep: () => Promise.resolve(),
      checkRefusal: () => Promise.resolve(fixture.isRefusing),
      onEnd: end => {
        found.push(end);
      },
      onAnswer: parts => {
        answered.push(parts);
      },
    }),
    send: request =>
      fixture.ends.watch(UPSTREAM, {
        request,
        parts: [`part of ${request}`],
        workspace: 'w',
      }),
    settle: () => new Promise(resolve => setImmediate(resolve)),
  };
  return fixture;
};

describe('UpstreamEnds', () => {
  it('finds the end of an upstream, and what it had not answered', async () => {
    const fixture = createFixture();
    const [waiting, running] = ['r-1', 'r-2'].map(fixture.send);
    running?.recordAnswer();
    void waiting?.recordBreak();
    void running?.recordBreak();
    await fixture.settle();
    chai.expect(fixture.found).length(1);
    const [end] = fixture.found;
    chai.expect(end?.begun).equal(1);
    chai.expect(end?.unanswered.map(({request}) => request)).eql(['r-1']);
    chai.expect(fixture.answered).eql([['part of r-2']]);
  });

  it('takes a connection that breaks alone for no end', async () => {
    const fixture = createFixture();
    const [broken] = ['r-1', 'r-2'].map(fixture.send);
    void broken?.recordBreak();
    await fixture.settle();
    chai.expect(fixture.found).eql([]);
  });

  it('takes an upstream that accepts connections for alive', async () => {
    const fixture = createFixture();
    fixture.isRefusing = false;
    void fixture.send('r-1').recordBreak();
    await fixture.settle();
    chai.expect(fixture.found).eql([]);
  });

  it('adds attempts whose connections break late', async () => {
    const fixture = createFixture();
    const late = fixture.ends.watch(
      {...UPSTREAM, id: 'u-2'},
      {request: 'r-0', parts: [], workspace: ''},
    );
    late.settle();
    void fixture.send('r-1').recordBreak();
    await fixture.settle();
    fixture.nowMs -= 1;
    const later = fixture.send('r-2');
    fixture.nowMs += 10;
    void later.recordBreak();
    chai
      .expect(fixture.found.map(({unanswered}) => unanswered[0]?.request))
      .eql(['r-1', 'r-2']);
  });

  it('blames no attempt that was sent after the end', async () => {
    // Guards against blame for a send over a connection that was broken already.
    const fixture = createFixture();
    void fixture.send('r-1').recordBreak();
    await fixture.settle();
    fixture.nowMs += 50;
    void fixture.send('r-2').recordBreak();
    chai.expect(fixture.found).length(1);
  });

  it('checks no upstream for requests whose parts are all their own', async () => {
    // Guards against a connection for each broken answer of a plain service.
    const fixture = createFixture();
    const plain = {request: 'r-1', parts: [], workspace: 'w'};
    await fixture.ends.watch(UPSTREAM, plain).recordBreak();
    await fixture.settle();
    chai.expect(fixture.found).eql([]);
  });

  it('names other upstreams that end at the same moment', async () => {
    const fixture = createFixture();
    const other = fixture.ends.watch(
      {...UPSTREAM, id: 'u-2'},
      {request: 'r-2', parts: ['p'], workspace: 'w'},
    );
    void fixture.send('r-1').recordBreak();
    void other.recordBreak();
    await fixture.settle();
    chai
      .expect(fixture.found.map(({coincident}) => coincident))
      .eql([['u-2/7'], ['u-1/7']]);
  });

  it('ignores attempts that were cancelled', async () => {
    const fixture = createFixture();
    const cancelled = fixture.send('r-1');
    cancelled.settle();
    void cancelled.recordBreak();
    await fixture.settle();
    chai.expect(fixture.found).eql([]);
  });
});
