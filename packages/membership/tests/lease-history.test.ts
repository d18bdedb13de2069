import * as chai from 'chai';
import * as fakes from '@amaranthknot/fakes';
import * as membership from '@amaranthknot/membership';
import type * as ports from '@amaranthknot/ports';
import * as fc from 'fast-check';
import * as historyRuns from './history-runs.js';

const HOLDERS = 3;
const STEP_MS = 500;
const STEPS = 120;

/**
 * One moment of a history: the holders that may act, and their fencing numbers.
 */
interface Moment {
  readonly at: number;
  readonly acting: readonly {
    readonly holder: string;
    readonly fencing: number;
  }[];
}

/** Finds the first violation in a history; undefined if there is none. */
const checkHistory = (history: readonly Moment[]): string | undefined => {
  const owners = new Map<number, string>();
  let highest = 0;
  for (const {at, acting} of history) {
    if (acting.length > 1) {
      return `${acting.length} act at ${at}`;
    }
    for (const {holder, fencing} of acting) {
      if (fencing < highest) {
        return `fencing ${fencing} after ${highest} at ${at}`;
      }
      if ((owners.get(fencing) ?? holder) !== holder) {
        return `fencing ${fencing} used twice at ${at}`;
      }
      owners.set(fencing, holder);
      highest = fencing;
    }
  }
  return undefined;
};

/** A clock that, if faulty, stands still during a pause. */
class PausableClock implements ports.Clock {
  private behind = 0;
  private pausedAt: number | undefined;

  constructor(
    private readonly clock: fakes.VirtualClock,
    private readonly stopsInPause: boolean,
  ) {}

  now(): number {
    const isStopped = this.stopsInPause && this.pausedAt !== undefined;
    return (isStopped ? (this.pausedAt ?? 0) : this.clock.now()) - this.behind;
  }

  steadyNow(): number {
    return this.now();
  }

  wallTime(): number {
    return this.clock.wallTime();
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return this.clock.sleep(ms, signal);
  }

  pause(): void {
    this.pausedAt ??= this.clock.now();
  }

  resume(): void {
    if (this.stopsInPause && this.pausedAt !== undefined) {
      this.behind += this.clock.now() - this.pausedAt;
    }
    this.pausedAt = undefined;
  }
}

/** The store with answers that come `delayMs()` after the call took effect. */
const delayAnswers = (
  store: ports.ObjectStore,
  clock: ports.Clock,
  delayMs: () => number,
): ports.ObjectStore => {
  const delay =
    <A extends unknown[], T>(call: (...args: A) => Promise<T>) =>
    async (...args: A): Promise<T> => {
      const result = await call(...args);
      await clock.sleep(delayMs());
      return result;
    };
  return {
    get: delay(store.get.bind(store)),
    list: delay(store.list.bind(store)),
    create: delay(store.create.bind(store)),
    update: delay(store.update.bind(store)),
    delete: delay(store.delete.bind(store)),
    watch: delay(store.watch.bind(store)),
  };
};

/** An action on one holder, or a fault of the platform, at one step. */
type Action =
  | {readonly kind: 'slow'; readonly holder: number; readonly answerMs: number}
  | {
      readonly kind: 'tick' | 'pause' | 'resume' | 'release';
      readonly holder: number;
    }
  | {readonly kind: 'fault'; readonly fault: fakes.StoreFault};

const holder = fc.nat({max: HOLDERS - 1});
const action: fc.Arbitrary<Action> = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({kind: fc.constant('tick' as const), holder}),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constantFrom(
        'pause' as const,
        'resume' as const,
        'release' as const,
      ),
      holder,
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('slow' as const),
      holder,
      answerMs: fc.constantFrom(0, 0, 100, 2_000, 12_000),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('fault' as const),
      fault: fc.constantFrom<fakes.StoreFault[]>(
        'none',
        'none',
        'down',
        'lost_before',
        'lost_after',
        'stale',
      ),
    }),
  },
);

const RUN_ACTIONS = {minLength: STEPS, maxLength: STEPS};

const runHistory = async (
  actions: readonly Action[],
  stopsInPause: boolean,
): Promise<readonly Moment[]> => {
  const clock = new fakes.VirtualClock();
  const store = new fakes.MemoryObjectStore({clock, delayMs: () => 20});
  const answerMs: number[] = [];
  const members = Array.from({length: HOLDERS}, (_, index) => {
    const own = new PausableClock(clock, stopsInPause);
    const keeper = new membership.LeaseKeeper({
      store: delayAnswers(store, clock, () => answerMs[index] ?? 0),
      clock: own,
      name: 'duty',
      holder: `entry-${index}`,
      token: `token-${index}`,
    });
    return {own, keeper, isPaused: false, isBusy: false};
  });
  type Member = (typeof members)[number];
  const use = (member: Member, call: () => Promise<unknown>): void => {
    if (!member.isPaused && !member.isBusy) {
      member.isBusy = true;
      void call().finally(() => (member.isBusy = false));
    }
  };
  const act = (step: Action): void => {
    if (step.kind === 'fault') {
      store.fault = () => step.fault;
      return;
    }
    if (step.kind === 'slow') {
      answerMs[step.holder] = step.answerMs;
      return;
    }
    const member = members[step.holder]!;
    switch (step.kind) {
      case 'tick':
        use(member, () =>
          member.keeper.mayAct()
            ? member.keeper.renew()
            : member.keeper.acquire(),
        );
        return;
      case 'release':
        use(member, () => member.keeper.release());
        return;
      case 'pause':
        member.isPaused = true;
        member.own.pause();
        return;
      case 'resume':
        member.isPaused = false;
        member.own.resume();
        return;
    }
  };
  const history: Moment[] = [];
  for (const step of actions) {
    act(step);
    await clock.advance(STEP_MS);
    const acting = members.flatMap(({keeper}, index) => {
      const term = keeper.currentTerm();
      return term ? [{holder: `entry-${index}`, fencing: term.fencing}] : [];
    });
    history.push({at: clock.now(), acting});
  }
  return history;
};

const checkSeeds = (seed: number, numRuns: number, stopsInPause: boolean) =>
  fc.check(
    fc.asyncProperty(
      fc.array(action, RUN_ACTIONS),
      async actions =>
        checkHistory(await runHistory(actions, stopsInPause)) === undefined,
    ),
    {seed, numRuns, endOnFailure: true},
  );

describe('history of a lease', () => {
  it('has at most one holder that may act, and rising fencing numbers', async () => {
    const details = await checkSeeds(
      historyRuns.historySeed(11),
      historyRuns.historyRuns(600),
      false,
    );
    chai.expect(details.counterexample).equal(null);
  });

  it('has a holder that acts in most histories', async () => {
    const actions = fc.sample(fc.array(action, RUN_ACTIONS), {
      seed: 12,
      numRuns: 10,
    });
    const histories = await Promise.all(
      actions.map(each => runHistory(each, false)),
    );
    const busy = histories.filter(history =>
      history.some(({acting}) => acting.length > 0),
    );
    chai.expect(busy.length).greaterThan(7);
  });

  // Injected fault: the clock of a holder stands still while it is paused, so
  // that it still takes its lease as valid when it resumes.
  it('finds a holder whose clock stood still', async () => {
    const details = await checkSeeds(13, 200, true);
    chai.expect(details.failed).equal(true);
  });

  const cases: readonly {
    readonly name: string;
    readonly acting: readonly Moment['acting'][];
    readonly found: RegExp;
  }[] = [
    {
      name: 'a fencing number that falls',
      acting: [[{holder: 'a', fencing: 2}], [{holder: 'b', fencing: 1}]],
      found: /after 2/,
    },
    {
      name: 'a fencing number that is used twice',
      acting: [[{holder: 'a', fencing: 2}], [{holder: 'b', fencing: 2}]],
      found: /twice/,
    },
  ];
  for (const {name, acting, found} of cases) {
    it(`finds ${name}`, () => {
      const history = acting.map((each, at) => ({at, acting: each}));
      chai.expect(checkHistory(history)).match(found);
    });
  }
});
