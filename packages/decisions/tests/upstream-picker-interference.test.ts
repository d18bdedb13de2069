import * as chai from 'chai';
import * as generator from 'pure-rand/generator/xoroshiro128plus';
import * as distribution from 'pure-rand/distribution/uniformFloat64';
import * as decisions from '@amaranthknot/decisions';

/** What the engines of this test take, in ms a token. */
const PREFILL_MS = 1 / 18;
const DECODE_MS = 10;

const ENGINES = 4;
const STEP_MS = 10;

/** A long prompt with a short answer, and a short one with a long answer. */
const LONG_PROMPT = {
  promptTokens: 12_000,
  answerTokens: 20,
  prefixTokens: 0,
  prefixKey: undefined,
};
const LONG_ANSWER = {
  promptTokens: 800,
  answerTokens: 300,
  prefixTokens: 0,
  prefixKey: undefined,
};

interface Running {
  readonly request: decisions.PickRequest;
  readonly attempt: decisions.UpstreamAttempt;
  readonly atMs: number;
  leftMs: number;
}

interface Engine {
  readonly id: string;
  /** Prompts that wait, of which the first is read. */
  prefilling: Running[];
  decoding: Running[];
}

/** An engine reads one prompt after the other, and makes no token meanwhile. */
const step = (engine: Engine, onEnd: (run: Running) => void): void => {
  const [first] = engine.prefilling;
  if (first) {
    first.leftMs -= STEP_MS;
    if (first.leftMs <= 0) {
      engine.prefilling.shift();
      first.attempt.recordFirstByte();
      first.leftMs = first.request.answerTokens * DECODE_MS;
      engine.decoding.push(first);
    }
    return;
  }
  engine.decoding.forEach(run => {
    run.leftMs -= STEP_MS;
  });
  engine.decoding
    .filter(({leftMs}) => leftMs <= 0)
    .forEach(run => {
      run.attempt.end('answered');
      onEnd(run);
    });
  engine.decoding = engine.decoding.filter(({leftMs}) => leftMs > 0);
};

/** Times of long answers in ms, with or without their length counted. */
const simulateLongAnswers = (
  seed: number,
  isCounted: boolean,
): readonly number[] => {
  let now = 0;
  const source = generator.xoroshiro128plus(seed);
  const random = () => distribution.uniformFloat64(source);
  const picker = new decisions.UpstreamPicker({
    zone: 'a',
    now: () => now,
    random,
    onEject: () => undefined,
  });
  const engines = Array.from({length: ENGINES}, (_, i): Engine => ({
    id: `e-${i}`,
    prefilling: [],
    decoding: [],
  }));
  const candidates = engines.map(({id}) => ({id, zone: 'a', slots: 64}));
  const latencies: number[] = [];
  const start = (request: decisions.PickRequest) => {
    // Without it, an answer is taken for one of no length.
    const seen = isCounted ? request : {...request, answerTokens: 0};
    const id = picker.pick(candidates, seen)?.id;
    const engine = engines.find(other => other.id === id);
    engine?.prefilling.push({
      request,
      attempt: picker.start(engine.id, seen),
      atMs: now,
      leftMs: request.promptTokens * PREFILL_MS,
    });
  };
  for (; now < 40_000; now += STEP_MS) {
    if (random() < (2.8 * STEP_MS) / 1_000) {
      start(LONG_PROMPT);
    }
    if (random() < (4.6 * STEP_MS) / 1_000) {
      start(LONG_ANSWER);
    }
    engines.forEach(engine => {
      step(engine, ({request, atMs}) => {
        if (request === LONG_ANSWER) {
          latencies.push(now - atMs);
        }
      });
    });
  }
  return latencies;
};

const SEEDS = [5, 6, 7, 8];

const meanMs = (isCounted: boolean): number => {
  const latencies = SEEDS.flatMap(seed => simulateLongAnswers(seed, isCounted));
  return latencies.reduce((sum, ms) => sum + ms, 0) / latencies.length;
};

describe('pace of long answers beside long prompts', () => {
  it('is kept by placing them on other engines', () => {
    // A caller's long answer stands still whenever its engine reads another's
    // long prompt, and is cut if its instance ends meanwhile. Four engines
    // read for half of their time. Placed as if answers had no length, long
    // ones take 5.9 s in the mean; with their length, 5.6 s.
    const beforeMs = meanMs(false);
    const afterMs = meanMs(true);
    chai.expect(afterMs).lessThan(beforeMs);
  });
});
