import * as chai from 'chai';
import type * as ports from '@amaranthknot/ports';
import * as membership from '@amaranthknot/membership';
import * as fc from 'fast-check';
import * as fleets from './fleet.js';
import * as historyRuns from './history-runs.js';

const STEP_MS = 1_000;
const STEPS = 45;
const RECOVERY_MS = 15_000;

/**
 * Time after which no new work may start on a configuration that was replaced:
 * the bound for the fleet below, with replaced instances still counted.
 */
const EXPOSURE_MS = membership.isolationBoundMs(16, 9);

/** The active generation of one process at one moment. */
interface Sample {
  readonly at: number;
  readonly process: string;
  readonly generation: number;
  readonly mayTakeWork: boolean;
}

interface History {
  readonly samples: readonly Sample[];
  /** Time at which each generation was accepted, by generation. */
  readonly acceptedAt: ReadonlyMap<number, number>;
}

/** Finds the first violation in a history; undefined if there is none. */
const checkHistory = (history: History): string | undefined => {
  const {samples, acceptedAt} = history;
  const last = new Map<string, number>();
  for (const {at, process, generation, mayTakeWork} of samples) {
    if (generation < (last.get(process) ?? 0)) {
      return `${process} reverts to ${generation} at ${at}`;
    }
    last.set(process, generation);
    const next = acceptedAt.get(generation + 1) ?? Infinity;
    if (mayTakeWork && next < at - EXPOSURE_MS) {
      return `${process} takes work on ${generation} at ${at}`;
    }
  }
  const newest = Math.max(...acceptedAt.keys());
  const end = samples.at(-1)?.at ?? 0;
  const late = samples.find(
    ({at, generation, mayTakeWork}) =>
      at === end && (generation < newest || !mayTakeWork),
  );
  return late && `${late.process} ends at ${late.generation} of ${newest}`;
};

/** So many that one instance of each zone is not a watcher. */
const MEMBERS = 12;

/** At most two at a time, so that most zones still reach the platform. */
const MAX_CUT = 2;

type Action =
  | {readonly kind: 'publish' | 'wait' | 'stale' | 'fresh'}
  | {
      readonly kind: 'cut_platform' | 'cut_peers' | 'heal' | 'replace';
      readonly member: number;
    };

const member = fc.nat({max: MEMBERS - 1});
const action: fc.Arbitrary<Action> = fc.oneof(
  fc.record({kind: fc.constantFrom('publish' as const, 'wait' as const)}),
  fc.record({kind: fc.constantFrom('stale' as const, 'fresh' as const)}),
  fc.record({
    kind: fc.constantFrom('cut_platform' as const, 'cut_peers' as const),
    member,
  }),
  fc.record({
    kind: fc.constantFrom('heal' as const, 'replace' as const),
    member,
  }),
);

/** Faults injected into one instance, which the checks must find. */
interface InjectedFault {
  readonly clock?: (clock: ports.Clock) => ports.Clock;
  readonly staysCut?: boolean;
  readonly isOneProcess?: boolean;
}

const runHistory = async (
  seed: number,
  actions: readonly Action[],
  injected: InjectedFault = {},
): Promise<History> => {
  const fleet = new fleets.Fleet(seed, ['a', 'b', 'c']);
  await fleet.publish('v1');
  const names = new Map<fleets.Member, string>();
  const start = (name: string): fleets.Member => {
    const clock = injected.clock?.(fleet.clock) ?? fleet.clock;
    const added = fleet.add(names.size === 0 ? clock : fleet.clock);
    names.set(added, name);
    void added.follower.start();
    return added;
  };
  const slots = Array.from({length: MEMBERS}, (_, i) => start(`entry-${i}`));
  await fleet.clock.advance(5_000);
  const acceptedAt = new Map<number, number>([[1, 0]]);
  const samples: Sample[] = [];
  const countCut = () =>
    slots.filter(each => each.isCutFromPeers || each.isCutFromPlatform).length;
  const heal = (each: fleets.Member) => {
    each.isCutFromPeers = false;
    each.isCutFromPlatform = false;
  };
  const act = async (step: Action): Promise<void> => {
    switch (step.kind) {
      case 'wait':
        return;
      case 'publish':
        // A publication built on a stale read is refused, so its generation is
        // not accepted.
        (await fleet.publish(`v${acceptedAt.size + 1}`)).ifRight(done => {
          acceptedAt.set(done.generation, fleet.clock.now());
        });
        return;
      case 'stale':
      case 'fresh':
        fleet.store.fault = operation =>
          step.kind === 'stale' && operation === 'get' ? 'stale' : 'none';
        return;
      case 'heal':
        heal(slots[step.member]!);
        return;
      case 'replace': {
        const old = slots[step.member]!;
        fleet.kill(old);
        const name = names.get(old) ?? '';
        const next = injected.isOneProcess ? name : `${name}'`;
        slots[step.member] = start(next);
        return;
      }
      case 'cut_peers':
      case 'cut_platform': {
        const each = slots[step.member]!;
        const isCut = each.isCutFromPeers || each.isCutFromPlatform;
        if (isCut || countCut() < MAX_CUT) {
          each.isCutFromPeers ||= step.kind === 'cut_peers';
          each.isCutFromPlatform ||= step.kind === 'cut_platform';
        }
        return;
      }
    }
  };
  const sample = () => {
    for (const each of slots) {
      samples.push({
        at: fleet.clock.now(),
        process: names.get(each) ?? '',
        generation: each.follower.activeGeneration(),
        mayTakeWork: each.follower.mayTakeWork(),
      });
    }
  };
  for (const step of actions) {
    await act(step);
    await fleet.clock.advance(STEP_MS);
    sample();
  }
  fleet.store.fault = () => 'none';
  slots.forEach(heal);
  slots[1]!.isCutFromPeers = injected.staysCut ?? false;
  slots[1]!.isCutFromPlatform = injected.staysCut ?? false;
  await fleet.clock.advance(RECOVERY_MS);
  sample();
  slots.forEach(each => fleet.kill(each));
  return {samples, acceptedAt};
};

const check = (seed: number, numRuns: number, injected: InjectedFault = {}) =>
  fc.check(
    fc.asyncProperty(
      fc.nat(),
      fc.array(action, {minLength: STEPS, maxLength: STEPS}),
      async (run, actions) => {
        const fault = checkHistory(await runHistory(run, actions, injected));
        if (fault !== undefined) {
          throw new Error(fault);
        }
      },
    ),
    {seed, numRuns, endOnFailure: true},
  );

const messageOf = (details: {readonly errorInstance: unknown}): string =>
  details.errorInstance instanceof Error ? details.errorInstance.message : '';

describe('history of the active configuration', () => {
  it('never reverts, is not used long after it is replaced, and reaches all', async () => {
    const details = await check(
      historyRuns.historySeed(21),
      historyRuns.historyRuns(15),
    );
    chai.expect(messageOf(details)).equal('');
  });

  const injectedFaults: readonly {
    readonly name: string;
    readonly injected: InjectedFault;
    readonly found: RegExp;
  }[] = [
    {
      name: 'a process that forgets its active configuration',
      injected: {isOneProcess: true},
      found: /reverts/,
    },
    {
      name: 'an instance with a slow clock, which takes work for too long',
      injected: {
        clock: clock => ({
          ...clock,
          now: () => clock.now() / 8,
          wallTime: () => clock.wallTime(),
          sleep: (ms, signal) => clock.sleep(ms, signal),
        }),
      },
      found: /takes work/,
    },
    {
      name: 'an instance that a change never reaches',
      injected: {staysCut: true},
      found: /ends at/,
    },
  ];
  for (const {name, injected, found} of injectedFaults) {
    it(`finds ${name}`, async () => {
      const details = await check(22, 200, injected);
      chai.expect(messageOf(details)).match(found);
    });
  }
});
