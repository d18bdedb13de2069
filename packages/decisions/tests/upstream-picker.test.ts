import * as chai from 'chai';
import * as prand from 'pure-rand/generator/xoroshiro128plus';
import * as distribution from 'pure-rand/distribution/uniformFloat64';
import * as decisions from '@amaranthknot/decisions';

const PLAIN = {
  promptTokens: 0,
  answerTokens: 0,
  prefixTokens: 0,
  prefixKey: undefined,
};

const createRandom = (seed: number): (() => number) => {
  const generator = prand.xoroshiro128plus(seed);
  return () => distribution.uniformFloat64(generator);
};

interface Setup {
  readonly picker: decisions.UpstreamPicker;
  readonly candidates: readonly decisions.PickCandidate[];
  readonly advance: (ms: number) => void;
  readonly ejected: string[];
}

const setUp = (count = 4): Setup => {
  let now = 0;
  const ejected: string[] = [];
  const picker = new decisions.UpstreamPicker({
    zone: 'zone-a',
    now: () => now,
    random: createRandom(7),
    onEject: id => ejected.push(id),
  });
  const candidates = Array.from({length: count}, (_, i) => ({
    id: `u-${i}`,
    zone: 'zone-a',
    slots: 8,
  }));
  return {
    picker,
    candidates,
    ejected,
    advance: ms => {
      now += ms;
    },
  };
};

const pickId = (
  {picker, candidates}: Setup,
  request: decisions.PickRequest = PLAIN,
): string => picker.pick(candidates, request)?.id ?? '';

describe('upstream picker', () => {
  it('spreads requests over idle upstreams', () => {
    const setup = setUp();
    for (let i = 0; i < 16; i++) {
      setup.picker.start(pickId(setup), PLAIN);
    }
    const loads = setup.candidates.map(
      ({id}) => setup.picker.describe(id).inFlight,
    );
    chai.expect(Math.max(...loads)).at.most(5);
  });

  it('counts what other instances have in progress', () => {
    const setup = setUp(2);
    setup.picker.start('u-0', PLAIN);
    setup.picker.start('u-1', PLAIN);
    setup.picker.merge('peer', [
      {
        id: 'u-0',
        inFlight: 6,
        waitingTokens: 0,
        tokensPerS: 0,
        answered: 0,
        failed: 0,
      },
    ]);
    const picked = Array.from({length: 10}, () => pickId(setup));
    chai.expect(new Set(picked)).eql(new Set(['u-1']));
  });

  it('sends short prompts past an upstream that reads a long one', () => {
    // A short question waits for seconds behind a prompt of 50,000 tokens.
    const setup = setUp(2);
    const long = {
      promptTokens: 50_000,
      answerTokens: 0,
      prefixTokens: 0,
      prefixKey: undefined,
    };
    const short = {
      promptTokens: 500,
      answerTokens: 0,
      prefixTokens: 0,
      prefixKey: undefined,
    };
    setup.picker.start('u-0', long);
    const picked = Array.from({length: 10}, () => pickId(setup, short));
    chai.expect(new Set(picked)).eql(new Set(['u-1']));
  });

  it('sends prompts that begin alike to one upstream', () => {
    const setup = setUp();
    const work = {
      promptTokens: 6_000,
      answerTokens: 0,
      prefixTokens: 5_000,
      prefixKey: 'model/part-1',
    };
    const picked = Array.from({length: 10}, () => {
      const id = pickId(setup, work);
      setup.picker.start(id, work).end('answered');
      return id;
    });
    chai.expect(new Set(picked).size).equal(1);
  });

  it('fills no batch while another engine has room', () => {
    // Engines set apart for cheap models took 16 answers of 16 while the
    // others were half empty; short prompts pushed long answers out, which
    // were read again.
    const setup = setUp(10);
    const work = {...PLAIN, promptTokens: 1_500, answerTokens: 250};
    for (let i = 0; i < 60; i++) {
      const tier = i % 3 === 0 ? 'capable' : 'cheap';
      const ticket = setup.picker.start(pickId(setup, {...work, tier}), work);
      ticket.recordFirstByte();
    }
    const loads = setup.candidates.map(
      ({id}) => setup.picker.describe(id).inFlight,
    );
    chai.expect(Math.max(...loads)).at.most(7);
  });

  it('tells peers of no less than nothing', () => {
    // Weights are fractions: what was left of their sums was -1e-13 tokens,
    // peers refused the whole report, and the instance was taken for dead.
    const setup = setUp(1);
    const tickets = Array.from({length: 200}, (_, i) =>
      setup.picker.start('u-0', {...PLAIN, promptTokens: 0.1 + i * 0.37}),
    );
    tickets.reverse().forEach(ticket => {
      ticket.recordFirstByte();
      const [row] = setup.picker.report();
      chai.expect(row?.waitingTokens).at.least(0);
    });
  });

  it('leaves an upstream alone after failures in a row', () => {
    // Its health is good, yet every request sent to it hangs or breaks.
    const setup = setUp(3);
    for (let i = 0; i < 3; i++) {
      setup.picker.start('u-0', PLAIN).end('failed');
    }
    chai.expect(setup.ejected).eql(['u-0']);
    const picked = Array.from({length: 20}, () => pickId(setup));
    chai.expect(picked).not.include('u-0');
  });

  it('tries it again after a while', () => {
    const setup = setUp(2);
    for (let i = 0; i < 3; i++) {
      setup.picker.start('u-0', PLAIN).end('failed');
    }
    setup.advance(10_000);
    const picked = Array.from({length: 20}, () => pickId(setup));
    chai.expect(picked).include('u-0');
  });

  it('hears from others that an upstream fails', () => {
    const setup = setUp(3);
    setup.picker.start('u-0', PLAIN).end('answered');
    setup.picker.merge('peer', [
      {
        id: 'u-0',
        inFlight: 0,
        waitingTokens: 0,
        tokensPerS: 0,
        answered: 2,
        failed: 8,
      },
    ]);
    const picked = Array.from({length: 20}, () => pickId(setup));
    chai.expect(picked).not.include('u-0');
  });

  it('uses what is left when all are to be left alone', () => {
    const setup = setUp(1);
    for (let i = 0; i < 5; i++) {
      setup.picker.start('u-0', PLAIN).end('failed');
    }
    chai.expect(pickId(setup)).equal('u-0');
  });
});
