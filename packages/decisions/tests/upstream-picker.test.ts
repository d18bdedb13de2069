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

describe('UpstreamPicker', () => {
  it('uses an upstream again as soon as it is known to be back', () => {
    // Guards against an upstream that is avoided for what failed while it was away.
    const setup = setUp();
    const {picker, candidates} = setup;
    candidates.forEach(({id}) => {
      picker.start(id, PLAIN).end('answered');
    });
    for (let i = 0; i < 6; i++) {
      picker.start('u-0', PLAIN).end('failed');
    }
    const failed = {inFlight: 0, waitingTokens: 0, tokensPerS: 0};
    picker.merge('other', [{id: 'u-0', ...failed, answered: 0, failed: 9}]);
    const isPicked = () =>
      Array.from({length: 50}, () => pickId(setup)).includes('u-0');
    chai.expect(isPicked()).equal(false);
    setup.picker.readmit('u-0');
    chai.expect(isPicked()).equal(true);
    chai.expect(picker.describe('u-0').failed).equal(0);
  });

  it('does not report an upstream that it cannot reach as failing', () => {
    // Guards against peers that eject a sound upstream for another's lost link.
    const cut = setUp();
    const sound = setUp();
    for (let i = 0; i < 5; i++) {
      cut.picker.start('u-0', PLAIN).end('unreachable');
    }
    chai.expect(cut.ejected).contain('u-0');
    sound.candidates.forEach(({id}) => {
      sound.picker.start(id, PLAIN).end('answered');
    });
    sound.picker.merge('cut', cut.picker.report());
    sound.picker.start('u-0', PLAIN).end('failed');
    chai.expect(sound.ejected).eql([]);
  });

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

  it('counts requests that other instances have in progress', () => {
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

  it('sends short prompts to another upstream than a long one', () => {
    // Otherwise they wait for seconds behind a prompt of 50,000 tokens.
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

  it('sends prompts with the same prefix to one upstream', () => {
    const setup = setUp();
    const request = {
      promptTokens: 6_000,
      answerTokens: 0,
      prefixTokens: 5_000,
      prefixKey: 'model/part-1',
    };
    const picked = Array.from({length: 10}, () => {
      const id = pickId(setup, request);
      setup.picker.start(id, request).end('answered');
      return id;
    });
    chai.expect(new Set(picked).size).equal(1);
  });

  it('does not fill a batch while another engine has room', () => {
    // Engines reserved for cheap models filled all 16 slots while the others
    // were half empty. Short prompts then preempted long answers, whose prompts
    // had to be processed again.
    const setup = setUp(10);
    const request = {...PLAIN, promptTokens: 1_500, answerTokens: 250};
    for (let i = 0; i < 60; i++) {
      const tier = i % 3 === 0 ? 'capable' : 'cheap';
      const attempt = setup.picker.start(
        pickId(setup, {...request, tier}),
        request,
      );
      attempt.recordFirstByte();
    }
    const loads = setup.candidates.map(
      ({id}) => setup.picker.describe(id).inFlight,
    );
    chai.expect(Math.max(...loads)).at.most(7);
  });

  it('never reports negative waiting tokens to peers', () => {
    // Weighted tokens are fractions. Their sum ended at -1e-13, peers refused
    // the whole report, and the instance was considered dead.
    const setup = setUp(1);
    const attempts = Array.from({length: 200}, (_, i) =>
      setup.picker.start('u-0', {...PLAIN, promptTokens: 0.1 + i * 0.37}),
    );
    attempts.reverse().forEach(attempt => {
      attempt.recordFirstByte();
      const [report] = setup.picker.report();
      chai.expect(report?.waitingTokens).at.least(0);
    });
  });

  it('ejects an upstream after consecutive failures', () => {
    // Its health checks pass, but every request sent to it hangs or fails.
    const setup = setUp(3);
    for (let i = 0; i < 3; i++) {
      setup.picker.start('u-0', PLAIN).end('failed');
    }
    chai.expect(setup.ejected).eql(['u-0']);
    const picked = Array.from({length: 20}, () => pickId(setup));
    chai.expect(picked).not.include('u-0');
  });

  it('uses an ejected upstream again after the ejection', () => {
    const setup = setUp(2);
    for (let i = 0; i < 3; i++) {
      setup.picker.start('u-0', PLAIN).end('failed');
    }
    setup.advance(10_000);
    const picked = Array.from({length: 20}, () => pickId(setup));
    chai.expect(picked).include('u-0');
  });

  it('avoids an upstream that a peer reports as failing', () => {
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

  it('uses an ejected upstream when all are ejected', () => {
    const setup = setUp(1);
    for (let i = 0; i < 5; i++) {
      setup.picker.start('u-0', PLAIN).end('failed');
    }
    chai.expect(pickId(setup)).equal('u-0');
  });
});
