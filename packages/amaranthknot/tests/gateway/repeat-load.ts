/**
 * Requests whose answers break off, from callers that move between the
 * instances of a virtual fleet, and the limit of repeats as operators count it.
 */
import * as fakes from '@amaranthknot/fakes';
import type * as gateway from '@amaranthknot/gateway';
import * as platform from '@amaranthknot/platform';
import * as fixture from './gateway-fixture.js';
import * as placementFixture from './placement-fixture.js';
import * as virtualFleet from './virtual-fleet.js';

/** Time in which a fleet whose instances start together converges, in ms. */
const SETTLE_MS = 6_000;

/** Step of the load, in milliseconds. */
const STEP_MS = 10;

const UPSTREAMS = 8;

/** Sends that the route of these requests allows. */
const MAX_ATTEMPTS = 3;

/** Shortest and longest time until an attempt is answered or broken off. */
const MIN_ANSWER_MS = 50;
const MAX_ANSWER_MS = 600;

/** Times after which a caller whose connection fails tries another one. */
const RECONNECT_MS = 100;

/** Part of the answers of the cheap model after which the capable one runs. */
const ESCALATED_FRACTION = 0.45;

/** An instance's part of the callers; those of others get none. */
export type ChooseInstance = (
  live: readonly virtualFleet.VirtualInstance[],
  atMs: number,
  random: () => number,
) => virtualFleet.VirtualInstance | undefined;

/** Something that happens to the fleet. */
export interface FleetEvent {
  /** Time after the start of the load, in milliseconds. */
  readonly atMs: number;
  readonly apply: (fleet: virtualFleet.VirtualFleet) => void;
}

/** The load, and what happens meanwhile. */
export interface RepeatLoadOptions {
  readonly instances: number;
  readonly perSecond: number;
  readonly forMs: number;
  /** Fraction of the attempts that are broken off, by time. */
  readonly brokenFraction: (atMs: number) => number;
  readonly events?: readonly FleetEvent[];
  readonly choose?: ChooseInstance;
  readonly seed?: number;
}

/** The most repeats that one window has in relation to what it allows. */
export interface WorstWindow {
  /** End of the window, in milliseconds after the start of the load. */
  readonly endMs: number;
  readonly repeats: number;
  readonly allowed: number;
}

/** What came of a load. */
export interface RepeatLoadResult {
  readonly requests: number;
  /** Repeats that were sent, by purpose. */
  readonly granted: Readonly<Record<string, number>>;
  /** Repeats that the budget refused, by purpose. */
  readonly refused: Readonly<Record<string, number>>;
  readonly worst: WorstWindow;
}

/** Chooses any instance. */
const chooseAny: ChooseInstance = (live, _, random) =>
  live[Math.floor(random() * live.length)];

/** The limit of repeats over all instances. */
export interface RepeatLimit {
  readonly ratio: number;
  readonly slack: number;
  readonly windowMs: number;
}

/**
 * The window that is fullest in relation to what it allows. The requests are
 * those of the window, of the one before it, or of the one half a window before,
 * whichever has most.
 */
export const findWorstWindow = (
  requests: readonly number[],
  repeats: readonly number[],
  {ratio, slack, windowMs}: RepeatLimit,
): WorstWindow => {
  const countIn = (times: readonly number[], endMs: number): number =>
    countUpTo(times, endMs) - countUpTo(times, endMs - windowMs);
  const windows = repeats.map(endMs => ({
    endMs,
    repeats: countIn(repeats, endMs),
    allowed:
      slack +
      ratio *
        Math.max(
          countIn(requests, endMs),
          countIn(requests, endMs - windowMs / 2),
          countIn(requests, endMs - windowMs),
        ),
  }));
  return windows.reduce(
    (worst, found) =>
      found.repeats - found.allowed > worst.repeats - worst.allowed
        ? found
        : worst,
    {endMs: 0, repeats: 0, allowed: slack},
  );
};

/** Number of sorted times that are not after `atMs`. */
const countUpTo = (times: readonly number[], atMs: number): number => {
  let low = 0;
  let high = times.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((times[middle] ?? Infinity) <= atMs) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
};

/** One request at the instance that its caller is connected to. */
interface RunningRequest {
  readonly instance: virtualFleet.VirtualInstance;
  readonly first: gateway.PlacementRequest;
  readonly isReconnected: boolean;
  sends: number;
  isEscalated: boolean;
}

const increment = (counts: Record<string, number>, key: string): void => {
  counts[key] = (counts[key] ?? 0) + 1;
};

/** Plays a load; counts what upstreams get and what callers were refused. */
export const playRepeatLoad = async (
  options: RepeatLoadOptions,
): Promise<RepeatLoadResult> => {
  const {instances, perSecond, forMs, brokenFraction, seed = 1} = options;
  const {choose = chooseAny} = options;
  const events = [...(options.events ?? [])].sort((a, b) => a.atMs - b.atMs);
  const fleet = await virtualFleet.startVirtualFleet({instances, zones: 3});
  await registerUpstreams(fleet);
  const random = fakes.createRandom(seed);
  const due = new Map<number, (() => void)[]>();
  const requests: number[] = [];
  const repeats: number[] = [];
  const granted: Record<string, number> = {};
  const refused: Record<string, number> = {};
  let atMs = 0;
  let lastId = 0;

  const schedule = (afterMs: number, run: () => void): void => {
    const step = Math.ceil((atMs + afterMs) / STEP_MS);
    due.set(step, [...(due.get(step) ?? []), run]);
  };
  const send = (
    running: RunningRequest,
    purpose: gateway.SendPurpose,
  ): boolean => {
    const {instance, first, sends} = running;
    const isRepeat = sends > 0;
    const placed = instance.get('placement').place({
      ...first,
      purpose,
      history: {...first.history, sends, isRepeat, runs: sends},
    });
    if (isRepeat) {
      increment(placed.isRight() ? granted : refused, purpose);
    }
    placed.ifRight(({settle}) => {
      running.sends++;
      if (isRepeat) {
        repeats.push(atMs);
      }
      const afterMs =
        MIN_ANSWER_MS + random() * (MAX_ANSWER_MS - MIN_ANSWER_MS);
      schedule(afterMs, () => {
        settle('answered');
        finishAttempt(running);
      });
    });
    return placed.isRight();
  };
  const finishAttempt = (running: RunningRequest): void => {
    if (!fleet.live().includes(running.instance)) {
      reconnect(running);
      return;
    }
    if (running.sends >= MAX_ATTEMPTS) {
      return;
    }
    if (random() < brokenFraction(atMs)) {
      send(running, 'retry');
      return;
    }
    if (running.isEscalated || random() >= ESCALATED_FRACTION) {
      return;
    }
    running.isEscalated = true;
    const {get} = running.instance;
    // Escalations leave a part of the budget to broken answers.
    if (get('repeatBudget').hasRepeat(fixture.SERVICE, 0.25)) {
      send(running, 'escalation');
    } else {
      increment(refused, 'escalation');
    }
  };
  const reconnect = ({isReconnected}: RunningRequest): void => {
    if (!isReconnected) {
      schedule(RECONNECT_MS, () => {
        sendFirst(true);
      });
    }
  };
  const sendFirst = (isReconnected: boolean): void => {
    requests.push(atMs);
    const instance = choose(fleet.live(), atMs, random);
    if (!instance?.get('state').activeTable()) {
      return;
    }
    const id = `request-${++lastId}`;
    const first = placementFixture.createPlacementRequest(instance, id, {
      maxAttempts: MAX_ATTEMPTS,
    });
    send(
      {instance, first, isReconnected, sends: 0, isEscalated: false},
      'first',
    );
  };

  for (; atMs < forMs; atMs += STEP_MS) {
    while (events[0] && events[0].atMs <= atMs) {
      events.shift()?.apply(fleet);
    }
    due.get(atMs / STEP_MS)?.forEach(run => {
      run();
    });
    due.delete(atMs / STEP_MS);
    const count = (perSecond * STEP_MS) / 1_000;
    const whole = Math.floor(count) + (random() < count % 1 ? 1 : 0);
    Array.from({length: whole}, () => {
      sendFirst(false);
    });
    await fleet.clock.advance(STEP_MS);
  }
  const worst = findWorstWindow(requests, repeats, fixture.BOUNDS.retry);
  return {requests: requests.length, granted, refused, worst};
};

const registerUpstreams = async ({
  store,
  clock,
}: virtualFleet.VirtualFleet): Promise<void> => {
  const registered = Array.from({length: UPSTREAMS}, (_, index) =>
    store.create(
      platform.STORE_KINDS.upstreams,
      `i-${index}`,
      fixture.createEntry(`192.0.2.${index}:80`, {slots: 10_000}),
    ),
  );
  await clock.advance(SETTLE_MS);
  await Promise.all(registered);
};

/** Kills an instance, which is started again after a while. */
export const restartAt = (
  index: number,
  atMs: number,
  downMs: number,
): readonly FleetEvent[] => [
  {
    atMs,
    apply: ({kill}) => {
      kill(`instance-${index}`);
    },
  },
  {
    atMs: atMs + downMs,
    apply: ({restart}) => {
      restart(`instance-${index}`);
    },
  },
];

/** Chooses among the instances with these numbers, or any if none of them runs. */
export const chooseAmong =
  (findIndexes: (atMs: number) => readonly number[]): ChooseInstance =>
  (live, atMs, random) => {
    const ids = findIndexes(atMs).map(index => `instance-${index}`);
    const among = live.filter(({id}) => ids.includes(id));
    return chooseAny(among.length > 0 ? among : live, atMs, random);
  };
