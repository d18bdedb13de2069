import * as chai from 'chai';
import * as fakes from '@amaranthknot/fakes';
import * as telemetry from '@amaranthknot/telemetry';
import * as rolloutTracker from '../src/rollout-tracker.js';

const SESSION_MS = 5_000;
const DURATION_MS = 24_000;

const REQUEST_CLASS = {
  service: 'engines',
  route: 'drafts',
  model: 'small',
  isStream: true,
};

interface Setup {
  readonly tracker: rolloutTracker.RolloutTracker;
  /** Records a successful answer of a version with this first-byte time. */
  readonly answer: (version: string, firstByteMs: number) => void;
  /** Records the pace of a stream of a version, in ms between its events. */
  readonly stream: (version: string, paceMs: number) => void;
  /** Whether any of 500 sessions still gets the new version. */
  readonly isExposed: () => boolean;
}

const createTracker = async (): Promise<Setup> => {
  const clock = new fakes.VirtualClock();
  const log = new telemetry.DecisionLog({
    instance: 'a',
    level: 'error',
    now: () => clock.now(),
  });
  const tracker = new rolloutTracker.RolloutTracker({
    clock,
    incarnation: 'a.1',
    sessionMs: SESSION_MS,
    limit: {share: 0.15, slack: 30},
    report: () => Promise.resolve(false),
    reportRank: () => 0,
    log,
  });
  tracker.applyRollouts([
    {
      service: 'engines',
      version: 'v2',
      state: 'running',
      durationMs: DURATION_MS,
      revision: 1,
    },
  ]);
  await clock.advance(SESSION_MS + 2_000);
  return {
    tracker,
    answer: (version, firstByteMs) => {
      tracker.recordAttempt({
        ...REQUEST_CLASS,
        version,
        isError: false,
        firstByteMs,
      });
    },
    stream: (version, paceMs) => {
      tracker.recordPace({...REQUEST_CLASS, version, paceMs});
    },
    isExposed: () =>
      Array.from({length: 500}, (_, i) => `session-${i}`).some(session => {
        const choice = tracker.chooseVersion('engines', session);
        return choice.kind === 'only' && choice.accepts('v2');
      }),
  };
};

describe('RolloutTracker', () => {
  it('stops a version that is slow for half of its requests after an outage', async () => {
    // When a zone loses power, a few answers of the old version take ten
    // seconds. With a mean instead of a median, slow answers would then look
    // typical, and a version that takes ten times as long for every other
    // request would get all traffic.
    const {answer, isExposed} = await createTracker();
    for (let i = 0; i < 20; i++) {
      answer('v1', 180);
    }
    for (let i = 0; i < 5; i++) {
      answer('v1', 10_000);
    }
    for (let i = 0; i < 20; i++) {
      answer('v1', 200);
      answer('v2', i % 2 === 0 ? 200 : 2_000);
    }
    chai.expect(isExposed()).equal(false);
  });

  it('keeps a version whose first prompts find empty caches', async () => {
    // The first prompts of a new version arrive at once and find empty caches:
    // its first answers take four times as long. If five such answers rolled
    // it back, operators would miss their date although the version is good.
    const {answer, isExposed} = await createTracker();
    for (let i = 0; i < 40; i++) {
      answer('v1', 200);
    }
    for (let i = 0; i < 5; i++) {
      answer('v2', 850);
    }
    chai.expect(isExposed()).equal(true);
  });

  it('stops a version with slow streams after first tokens on time', async () => {
    // First tokens come on time, but later events take five times as long.
    // Judged by first tokens alone the rollout completes, the old version's
    // upstreams stop, and all streams stay late.
    const {answer, stream, isExposed} = await createTracker();
    for (let i = 0; i < 30; i++) {
      answer('v1', 100);
      stream('v1', 40);
    }
    for (let i = 0; i < 8; i++) {
      answer('v2', 100);
      stream('v2', i % 2 === 0 ? 45 : 220);
    }
    chai.expect(isExposed()).equal(false);
  });
});
