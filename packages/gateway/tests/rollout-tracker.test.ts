import * as chai from 'chai';
import * as fakes from '@amaranthknot/fakes';
import * as telemetry from '@amaranthknot/telemetry';
import * as rolloutTracker from '../src/rollout-tracker.js';

const SESSION_MS = 5_000;
const DURATION_MS = 24_000;

const WORK = {
  service: 'engines',
  route: 'drafts',
  model: 'small',
  isStream: true,
};

interface Setup {
  readonly tracker: rolloutTracker.RolloutTracker;
  /** Notes a good answer of a version after so many milliseconds. */
  readonly answer: (version: string, firstByteMs: number) => void;
  /** Notes the pace of a stream of a version, in ms between its events. */
  readonly stream: (version: string, paceMs: number) => void;
  /** Whether any session still gets the new version. */
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
        ...WORK,
        version,
        isError: false,
        firstByteMs,
      });
    },
    stream: (version, paceMs) => {
      tracker.recordPace({...WORK, version, paceMs});
    },
    isExposed: () =>
      Array.from({length: 500}, (_, i) => `session-${i}`).some(session => {
        const wish = tracker.chooseVersion('engines', session);
        return wish.kind === 'only' && wish.accepts('v2');
      }),
  };
};

describe('roll-out tracker', () => {
  it('stops a version that is slow for half of its requests after an outage', async () => {
    // A zone loses power while an order runs; a few answers of the old version
    // take ten seconds. Then a version whose every other answer takes ten
    // times as long is exposed, is taken for good, and gets all traffic.
    // A mean of the old version's first bytes had made slow answers usual.
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

  it('keeps a version that reads its prompts for the first time', async () => {
    // All prompts are new to the upstreams of a new version, and come at once:
    // its first answers take four times as long, which is no fault of it. It
    // was rolled back after five of them, and operators missed their date.
    const {answer, isExposed} = await createTracker();
    for (let i = 0; i < 40; i++) {
      answer('v1', 200);
    }
    for (let i = 0; i < 5; i++) {
      answer('v2', 850);
    }
    chai.expect(isExposed()).equal(true);
  });

  it('stops a version whose streams drag on after a first token in time', async () => {
    // Streams of the new version begin as soon as the old one's, and their
    // events then take five times as long. Judged by first tokens alone it is
    // completed; the old version's upstreams stop, and callers are left with
    // late streams for good.
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
