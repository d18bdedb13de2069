import * as chai from 'chai';
import * as repeatLoad from './repeat-load.js';
import * as virtualFleet from './virtual-fleet.js';

const INSTANCES = 6;

const UPSTREAM = 'u-1';

/** Requests a second that the upstream announces, and the window of its limit. */
const LIMIT_PER_S = 20;
const LIMIT_WINDOW_MS = 4_000;

/** Time in which a fleet whose instances start together converges, in ms. */
const SETTLE_MS = 6_000;

const STEP_MS = 20;

const LENGTH_MS = 16_000;

const restartInTurn = (
  fromMs: number,
  gapMs: number,
): readonly repeatLoad.FleetEvent[] =>
  Array.from({length: 2 * INSTANCES}, (_, place) =>
    repeatLoad.restartAt(place % INSTANCES, fromMs + place * gapMs, 300),
  ).flat();

interface LimitCase {
  readonly name: string;
  readonly events: readonly repeatLoad.FleetEvent[];
}

const CASES: readonly LimitCase[] = [
  {name: 'nothing happens', events: []},
  {
    name: 'all instances are restarted in turn, twice',
    events: restartInTurn(3_000, 500),
  },
  {
    name: 'all instances are killed at once',
    events: Array.from({length: INSTANCES}, (_, index) =>
      repeatLoad.restartAt(index, 5_000, 300),
    ).flat(),
  },
];

/** Every instance sends as much to one limited upstream as it may. */
const playLimit = async (
  events: readonly repeatLoad.FleetEvent[],
): Promise<readonly number[]> => {
  const fleet = await virtualFleet.startVirtualFleet({
    instances: INSTANCES,
    zones: 3,
  });
  await fleet.clock.advance(SETTLE_MS);
  const left = [...events].sort((a, b) => a.atMs - b.atMs);
  const sentAtMs: number[] = [];
  for (let atMs = 0; atMs < LENGTH_MS; atMs += STEP_MS) {
    while (left[0] && left[0].atMs <= atMs) {
      left.shift()?.apply(fleet);
    }
    for (const {get} of fleet.live()) {
      const limits = get('limits');
      limits.record(UPSTREAM, LIMIT_PER_S);
      while (limits.maySend(UPSTREAM)) {
        limits.recordSend(UPSTREAM);
        sentAtMs.push(atMs);
      }
    }
    await fleet.clock.advance(STEP_MS);
  }
  return sentAtMs;
};

describe('requests of all instances to an upstream that announced a limit', () => {
  CASES.forEach(({name, events}) => {
    it(`stay within it in each window: ${name}`, async () => {
      // Guards against a restart that forgets what was sent within the window.
      const sentAtMs = await playLimit(events);
      const most = Math.max(
        ...sentAtMs.map(
          endMs =>
            sentAtMs.filter(
              atMs => atMs > endMs - LIMIT_WINDOW_MS && atMs <= endMs,
            ).length,
        ),
      );
      const allowed = (LIMIT_PER_S * LIMIT_WINDOW_MS) / 1_000;
      chai.expect(most).within(allowed / 2, allowed);
    });
  });
});
