/** Measures how fast, and at what cost, a configuration change spreads. */
import type * as configuration from '@amaranthknot/configuration';
import * as membership from '@amaranthknot/membership';
import * as ports from '@amaranthknot/ports';
import type * as figures from '../figure.js';
import * as relayFleet from '../models/relay-fleet.js';
import * as sampleDocument from '../models/sample-document.js';
import * as statistics from '../models/statistics.js';
import * as seededRandom from '@amaranthknot/fakes';

/** Fleet sizes that are run, and the one that results are extrapolated to. */
const SIZES = [
  {instances: 7, zones: 4},
  {instances: 50, zones: 9},
  {instances: 200, zones: 9},
] as const;
const DESIGN_SIZE = {instances: 1_000, zones: 9} as const;

/** Changes per second that the design is for: 91,000 a day. */
const CHANGES_PER_S = 1.05;
const SINGLE_CHANGES = 2;
const SINGLE_CHANGE_GAP_MS = 2_000;
const STREAM_MS = 5_000;
const SAMPLE_MS = 100;

/** Targets for the time to all instances, traffic and CPU use of an instance. */
const MAX_SPREAD_TODAY_S = 3;
const MAX_SPREAD_DESIGN_S = 17;
const MAX_BYTES_PER_S = 4_096;
const MAX_CORE_SHARE = 0.032;

interface Outcome {
  readonly instances: number;
  readonly watchers: number;
  /** Times until all instances have a change, in seconds. */
  readonly singleS: readonly number[];
  readonly streamS: readonly number[];
  /** Bytes per second that an instance sends to and receives from peers. */
  readonly peerBytes: number;
  /** Bytes per second between the platform and its heaviest user. */
  readonly platformBytes: number;
  readonly callsPerChange: number;
  readonly idleCalls: number;
  readonly coreShare: number;
  /** Highest age of a confirmation, as a fraction of the bound. */
  readonly ageShare: number;
}

const {systemClock} = ports;

const countWatchers = (instances: number, zones: number): number =>
  Math.min(instances, zones * membership.WATCHERS_PER_ZONE);

const totalCalls = (fleet: relayFleet.RelayFleet): number =>
  Object.values(fleet.store.calls).reduce((sum, calls) => sum + calls, 0);

/** Publishes changes and records when each was accepted. */
class Operator {
  readonly acceptedAt = new Map<number, number>();

  constructor(
    private readonly fleet: relayFleet.RelayFleet,
    private readonly random: () => number,
    private document: configuration.Document,
  ) {}

  async change(): Promise<void> {
    this.document = sampleDocument.changeDocument(this.document, this.random);
    const result = await membership.publishDocument(
      this.fleet.store,
      relayFleet.ENVIRONMENT,
      this.document,
    );
    const {generation} = result.unsafeCoerce();
    this.acceptedAt.set(generation, systemClock.now());
  }

  /** Times until all instances had each change, in seconds; Infinity if not. */
  timesToAll(generations: readonly number[]): readonly number[] {
    return generations.map(generation => {
      const last = this.fleet.appliedByAllAt(generation) ?? Infinity;
      return (last - (this.acceptedAt.get(generation) ?? 0)) / 1_000;
    });
  }
}

const publishSingleChanges = async (operator: Operator): Promise<void> => {
  for (let i = 0; i < SINGLE_CHANGES; i++) {
    await operator.change();
    await systemClock.sleep(SINGLE_CHANGE_GAP_MS);
  }
};

const publishChangeStream = async (operator: Operator): Promise<number> => {
  const end = systemClock.now() + STREAM_MS;
  let changes = 0;
  while (systemClock.now() < end) {
    const next = systemClock.now() + 1_000 / CHANGES_PER_S;
    await operator.change();
    changes++;
    await systemClock.sleep(next - systemClock.now());
  }
  return changes;
};

/** Highest age of a confirmation, over its bound, until `signal` aborts. */
const sampleAges = async (
  fleet: relayFleet.RelayFleet,
  boundMs: number,
  signal: AbortSignal,
): Promise<number> => {
  let highest = 0;
  while (!signal.aborted) {
    for (const {follower} of fleet.members) {
      const age = follower.confirmedAgeMs() ?? Infinity;
      highest = Math.max(highest, age / boundMs);
    }
    await systemClock.sleep(SAMPLE_MS, signal);
  }
  return highest;
};

const awaitAppliedByAll = async (
  fleet: relayFleet.RelayFleet,
  generation: number,
): Promise<void> => {
  const end = systemClock.now() + MAX_SPREAD_DESIGN_S * 1_000;
  while (
    fleet.appliedByAllAt(generation) === undefined &&
    systemClock.now() < end
  ) {
    await systemClock.sleep(SAMPLE_MS);
  }
};

const runSize = async (
  seed: number,
  {instances, zones}: (typeof SIZES)[number],
): Promise<Outcome> => {
  const random = seededRandom.createRandom(seed);
  const fleet = new relayFleet.RelayFleet(random, zones);
  const first = sampleDocument.createSampleDocument();
  const operator = new Operator(fleet, random, first);
  await operator.change();
  await fleet.start(instances);
  await awaitAppliedByAll(fleet, 1);
  await publishSingleChanges(operator);
  const idleFrom = totalCalls(fleet);
  await systemClock.sleep(SINGLE_CHANGE_GAP_MS);
  const idleCalls =
    (totalCalls(fleet) - idleFrom) / (SINGLE_CHANGE_GAP_MS / 1_000);
  const watchers = countWatchers(instances, zones);
  const boundMs = membership.isolationBoundMs(instances, watchers);
  const sampling = new AbortController();
  const ages = sampleAges(fleet, boundMs, sampling.signal);
  const bytesBefore = fleet.members.map(({usage}) => usage.bytes);
  const from = {
    at: systemClock.now(),
    bytes: fleet.traffic.bytes,
    calls: totalCalls(fleet),
    cpu: process.cpuUsage(),
  };
  const changes = await publishChangeStream(operator);
  const seconds = (systemClock.now() - from.at) / 1_000;
  const cpu = process.cpuUsage(from.cpu);
  const bytes = fleet.traffic.bytes - from.bytes;
  const calls = totalCalls(fleet) - from.calls;
  const platformBytes = fleet.members.map(
    ({usage}, index) => usage.bytes - (bytesBefore[index] ?? 0),
  );
  sampling.abort();
  const newest = Math.max(...operator.acceptedAt.keys());
  await awaitAppliedByAll(fleet, newest);
  const generations = [...operator.acceptedAt.keys()].slice(1);
  const outcome: Outcome = {
    instances,
    watchers,
    singleS: operator.timesToAll(generations.slice(0, SINGLE_CHANGES)),
    streamS: operator.timesToAll(generations.slice(SINGLE_CHANGES)),
    // One instance sends each byte and another receives it.
    peerBytes: (2 * bytes) / instances / seconds,
    platformBytes: Math.max(...platformBytes) / seconds,
    callsPerChange: (calls - idleCalls * seconds) / changes,
    idleCalls,
    coreShare: (cpu.user + cpu.system) / 1e6 / seconds / instances,
    ageShare: await ages,
  };
  await fleet.close();
  return outcome;
};

type Scale = (size: {
  readonly instances: number;
  readonly watchers: number;
}) => number;

/** Rounds of exchanges grow with the doublings from watchers to instances. */
const scaleByDoublings: Scale = ({instances, watchers}) =>
  Math.log2(instances / watchers);

/** Only instances that don't watch the store get changes from peers. */
const scaleByFollowers: Scale = ({instances, watchers}) =>
  1 - watchers / instances;

/** Extrapolates linearly in `scale` from the two largest fleets. */
const extrapolate = (
  outcomes: readonly Outcome[],
  scale: Scale,
  value: (outcome: Outcome) => number,
): number => {
  const [small, large] = outcomes.slice(-2);
  if (!small || !large) {
    throw new Error(
      `can't extrapolate from ${outcomes.length} fleets: two are needed`,
    );
  }
  const watchers = countWatchers(DESIGN_SIZE.instances, DESIGN_SIZE.zones);
  const design = {instances: DESIGN_SIZE.instances, watchers};
  const slope = (value(large) - value(small)) / (scale(large) - scale(small));
  const further = scale(design) - scale(large);
  return value(large) + Math.max(0, slope) * further;
};

const findSlowestChange = (outcome: Outcome): number =>
  Math.max(...outcome.singleS, ...outcome.streamS);

const describeSize = (outcome: Outcome): readonly figures.Figure[] => {
  const {instances} = outcome;
  const atMost = (target: number) => ({target, direction: 'at_most'}) as const;
  const lastTarget = instances <= 7 ? MAX_SPREAD_TODAY_S : MAX_SPREAD_DESIGN_S;
  return [
    {
      figure: `last_instance_max_${instances}`,
      value: findSlowestChange(outcome),
      unit: 's',
      ...atMost(lastTarget),
    },
    {
      figure: `last_instance_mean_${instances}`,
      value: statistics.mean(outcome.streamS),
      unit: 's',
    },
    {
      figure: `peer_bytes_per_node_${instances}`,
      value: outcome.peerBytes,
      unit: 'B/s',
      ...atMost(MAX_BYTES_PER_S),
    },
    {
      // A watcher's share of peer traffic and its own calls to the platform.
      figure: `watcher_bytes_${instances}`,
      value: outcome.peerBytes + outcome.platformBytes,
      unit: 'B/s',
      ...atMost(MAX_BYTES_PER_S),
    },
    {
      figure: `store_calls_per_change_${instances}`,
      value: outcome.callsPerChange,
      unit: 'calls',
      // The baseline: every instance watches and reads the changed section.
      baseline: instances * 2,
    },
    {
      figure: `store_calls_idle_${instances}`,
      value: outcome.idleCalls,
      unit: 'calls/s',
    },
    {
      figure: `core_share_per_node_${instances}`,
      value: outcome.coreShare,
      unit: 'cores',
      ...atMost(MAX_CORE_SHARE),
    },
    {
      figure: `confirmation_age_of_bound_${instances}`,
      value: outcome.ageShare,
      unit: 'share',
      ...atMost(1),
    },
  ];
};

/** Runs each fleet size and extrapolates to the design size. */
export const bench: figures.Bench = {
  summary: 'configuration change to all instances: time, bytes, calls',
  run: async seed => {
    const outcomes: Outcome[] = [];
    for (const size of SIZES) {
      outcomes.push(await runSize(seed, size));
    }
    const [, middle, largest] = outcomes;
    return [
      ...outcomes.flatMap(describeSize),
      {
        figure: `last_instance_max_${DESIGN_SIZE.instances}_extrapolated`,
        value: extrapolate(outcomes, scaleByDoublings, findSlowestChange),
        unit: 's',
        target: MAX_SPREAD_DESIGN_S,
        direction: 'at_most',
      },
      {
        figure: `peer_bytes_per_node_${DESIGN_SIZE.instances}_extrapolated`,
        value: extrapolate(
          outcomes,
          scaleByFollowers,
          ({peerBytes}) => peerBytes,
        ),
        unit: 'B/s',
        target: MAX_BYTES_PER_S,
        direction: 'at_most',
      },
      {
        // Both fleets have 27 watchers; 1 means that calls don't grow.
        figure: 'store_calls_per_change_200_to_50',
        value: (largest?.callsPerChange ?? 0) / (middle?.callsPerChange ?? 1),
        unit: 'ratio',
        target: 1.1,
        direction: 'at_most',
      },
    ];
  },
};
