import * as chai from 'chai';
import * as decisions from '@amaranthknot/decisions';

/** Wait after which an answer is late, in milliseconds. */
const USUAL_MS = 250;

interface Attempt {
  readonly atMs: number;
  readonly outcome: decisions.UnansweredOutcome | 'answered';
  readonly waitedMs: number;
}

const isAwayAfter = (attempts: readonly Attempt[]): boolean => {
  let now = 0;
  const signs = new decisions.AbsenceSigns({now: () => now});
  let isAway = false;
  for (const {atMs, outcome, waitedMs} of attempts) {
    now = atMs;
    if (outcome === 'answered') {
      signs.recordAnswer('u-1');
    } else {
      isAway = signs.recordUnanswered('u-1', outcome, waitedMs, USUAL_MS);
    }
  }
  return isAway;
};

const failed = (atMs: number): Attempt => ({
  atMs,
  outcome: 'failed',
  waitedMs: 5,
});

const cancelled = (atMs: number, waitedMs: number): Attempt => ({
  atMs,
  outcome: 'cancelled',
  waitedMs,
});

const ANSWERED: Attempt = {atMs: 500, outcome: 'answered', waitedMs: 20};

describe('AbsenceSigns', () => {
  const unreachable: Attempt = {atMs: 0, outcome: 'unreachable', waitedMs: 1};
  [
    {name: 'no connection', attempts: [unreachable], isAway: true},
    {name: 'one broken connection', attempts: [failed(0)], isAway: false},
    {name: 'two in a row', attempts: [failed(0), failed(900)], isAway: true},
    {
      name: 'two far apart',
      attempts: [failed(0), failed(2_500)],
      isAway: false,
    },
    {
      name: 'an answer between two',
      attempts: [failed(0), ANSWERED, failed(900)],
      isAway: false,
    },
    {
      name: 'two long waits that were given up',
      attempts: [ANSWERED, cancelled(900, 300), cancelled(1_000, 400)],
      isAway: true,
    },
    {
      name: 'two long waits in which another attempt was answered',
      attempts: [ANSWERED, cancelled(600, 300), cancelled(700, 900)],
      isAway: false,
    },
    {
      name: 'callers that left early',
      attempts: [cancelled(0, 20), cancelled(100, 30), cancelled(200, 10)],
      isAway: false,
    },
  ].forEach(({name, attempts, isAway}) => {
    it(`${isAway ? 'takes' : 'does not take'} for an absence: ${name}`, () => {
      chai.expect(isAwayAfter(attempts)).equal(isAway);
    });
  });

  it('takes an upstream for silent that answered nothing meanwhile', () => {
    let now = 0;
    const signs = new decisions.AbsenceSigns({now: () => now});
    signs.recordAnswer('u-1');
    now = 800;
    chai.expect(signs.isSilent('u-1', 1_000)).equal(false);
    now = 1_200;
    chai.expect(signs.isSilent('u-1', 1_000)).equal(true);
  });

  it('knows that an upstream was there all the while', () => {
    let now = 0;
    const signs = new decisions.AbsenceSigns({now: () => now});
    [0, 300, 600, 1_500, 1_600].forEach(atMs => {
      now = atMs;
      signs.recordAnswer('u-1');
    });
    chai.expect(signs.findSignOfLife('u-1', 1_550)).equal('answers');
    chai.expect(signs.findSignOfLife('u-1', 1_000)).equal(undefined);
    chai.expect(signs.findSignOfLife('u-1', 1_700)).equal(undefined);
    chai.expect(signs.findSignOfLife('u-2', 1_550)).equal(undefined);
  });

  interface KeptCase {
    readonly name: string;
    /** When each answer comes, when its request was sent, and over what. */
    readonly answers: readonly (readonly [number, number, 'a' | 'b'])[];
    readonly awayAtMs: number;
    readonly isAlive: boolean;
  }

  const EARLIER = [
    [1_000, 900, 'a'],
    [1_900, 1_800, 'a'],
  ] as const;

  const KEPT: readonly KeptCase[] = [
    {
      name: 'a connection from before serves a later request',
      answers: [...EARLIER, [2_800, 2_700, 'a']],
      awayAtMs: 2_400,
      isAlive: true,
    },
    {
      name: 'a new connection serves a later request',
      answers: [...EARLIER, [2_800, 2_700, 'b']],
      awayAtMs: 2_400,
      isAlive: false,
    },
    {
      name: 'the answer to an earlier request comes late',
      answers: [...EARLIER, [2_800, 2_300, 'a']],
      awayAtMs: 2_400,
      isAlive: false,
    },
    {
      name: 'the connection may be younger than the absence',
      answers: [...EARLIER, [2_800, 2_700, 'a']],
      awayAtMs: 1_950,
      isAlive: false,
    },
    {
      name: 'a connection outlasts a long silence',
      answers: [...EARLIER, [3_500, 3_400, 'a'], [4_000, 3_900, 'a']],
      awayAtMs: 2_500,
      isAlive: false,
    },
  ];

  KEPT.forEach(({name, answers, awayAtMs, isAlive}) => {
    it(`${isAlive ? 'refutes' : 'does not refute'} an absence: ${name}`, () => {
      // Guards against all instances that hold back as one lost its link.
      let now = 0;
      const signs = new decisions.AbsenceSigns({now: () => now});
      const connections = {a: {}, b: {}};
      answers.forEach(([atMs, sentAtMs, over]) => {
        now = atMs;
        const connection = connections[over];
        signs.recordAnswer('u-1', {waitedMs: atMs - sentAtMs, connection});
      });
      const sign = isAlive ? 'kept_connection' : undefined;
      chai.expect(signs.findSignOfLife('u-1', awayAtMs)).equal(sign);
    });
  });
});
