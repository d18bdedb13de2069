/**
 * Latency and CPU time that one entry instance adds. Caller, instance and engine
 * share a process, because the product starts no other: the CPU time of the
 * instance is that of requests through it less that of direct requests to the
 * same engine.
 */
import type * as figures from '../figure.js';
import * as statistics from '../models/statistics.js';
import type * as caller from '../overhead/caller.js';
import * as load from '../overhead/load.js';
import * as overheadSetup from '../overhead/setup.js';

const RATE = 200;
const ROUNDS = 3;
const LATENCY_REQUESTS = 400;
const WARM_UP = 1_000;

const PLAIN_CALLERS = 32;
const PLAIN_REQUESTS = 3_000;

/** Time between tokens; each is sent on its own, as an engine does. */
const TOKEN_MS = 10;
const STREAMS = 48;
const STREAM_REQUESTS = 800;
/** Events of a stream without a token: the last chunk and the end mark. */
const END_EVENTS = 2;

const TARGET_MEDIAN_MS = 1;
const TARGET_P99_MS = 5;
const TARGET_REQUESTS = 1_500;
const TARGET_TOKENS = 4_000;

const sum = (values: readonly number[]): number =>
  values.reduce((total, value) => total + value, 0);

const latencies = (runs: readonly load.LoadRun[]): readonly number[] =>
  runs.flatMap(run => run.replies.map(reply => reply.latencyMs));

const warmUp = async (
  setup: overheadSetup.OverheadSetup,
  callers: number,
): Promise<void> => {
  await load.driveClosedLoop(setup.direct, callers, WARM_UP);
  await load.driveClosedLoop(setup.entry, callers, WARM_UP);
};

/** Alternates direct and entry, so that other load on the machine hits both. */
const alternate = async (
  setup: overheadSetup.OverheadSetup,
  drive: (target: caller.Caller) => Promise<load.LoadRun>,
) => {
  const direct: load.LoadRun[] = [];
  const entry: load.LoadRun[] = [];
  for (let round = 0; round < ROUNDS; round++) {
    direct.push(await drive(setup.direct));
    entry.push(await drive(setup.entry));
  }
  return {direct, entry};
};

const measureLatency = async (
  setup: overheadSetup.OverheadSetup,
): Promise<readonly figures.Figure[]> => {
  const {direct, entry} = await alternate(setup, target =>
    load.driveAtRate(target, RATE, LATENCY_REQUESTS),
  );
  const pick = (runs: readonly load.LoadRun[], at: number): number =>
    statistics.percentile(latencies(runs), at);
  const added = (at: number): number => pick(entry, at) - pick(direct, at);
  return [
    {
      figure: 'median_added',
      value: added(50),
      unit: 'ms',
      baseline: pick(direct, 50),
      target: TARGET_MEDIAN_MS,
      direction: 'at_most',
    },
    {
      figure: 'p99_added',
      value: added(99),
      unit: 'ms',
      baseline: pick(direct, 99),
      target: TARGET_P99_MS,
      direction: 'at_most',
    },
  ];
};

/** CPU time per unit of work over all runs, in milliseconds. */
const cpuPer = (
  runs: readonly load.LoadRun[],
  unitsOf: (reply: caller.Reply) => number,
): number =>
  sum(runs.map(run => run.cpuMs)) /
  sum(runs.flatMap(run => run.replies.map(unitsOf)));

const ratePer = (
  runs: readonly load.LoadRun[],
  unitsOf: (reply: caller.Reply) => number,
): number =>
  sum(runs.flatMap(run => run.replies.map(unitsOf))) /
  sum(runs.map(run => run.seconds));

const measurePlain = async (
  setup: overheadSetup.OverheadSetup,
): Promise<readonly figures.Figure[]> => {
  const {direct, entry} = await alternate(setup, target =>
    load.driveClosedLoop(target, PLAIN_CALLERS, PLAIN_REQUESTS / ROUNDS),
  );
  const one = () => 1;
  const cpuMs = cpuPer(entry, one) - cpuPer(direct, one);
  return [
    {
      figure: 'plain_requests_per_core',
      value: 1000 / cpuMs,
      unit: '1/s',
      target: TARGET_REQUESTS,
      direction: 'at_least',
    },
    {figure: 'plain_cpu', value: cpuMs, unit: 'ms'},
    {
      figure: 'plain_requests_shared_core',
      value: ratePer(entry, one),
      unit: '1/s',
      baseline: ratePer(direct, one),
    },
  ];
};

const measureStreams = async (
  setup: overheadSetup.OverheadSetup,
): Promise<readonly figures.Figure[]> => {
  const {direct, entry} = await alternate(setup, target =>
    load.driveClosedLoop(target, STREAMS, STREAM_REQUESTS / ROUNDS),
  );
  const tokens = (reply: caller.Reply) => reply.events - END_EVENTS;
  const cpuMs = cpuPer(entry, tokens) - cpuPer(direct, tokens);
  return [
    {
      figure: 'streamed_tokens_per_core',
      value: 1000 / cpuMs,
      unit: '1/s',
      target: TARGET_TOKENS,
      direction: 'at_least',
    },
    {figure: 'token_cpu', value: cpuMs, unit: 'ms'},
    {
      figure: 'streamed_tokens_shared_core',
      value: ratePer(entry, tokens),
      unit: '1/s',
      baseline: ratePer(direct, tokens),
    },
  ];
};

const runWith = async (
  options: Parameters<typeof overheadSetup.startSetup>[0],
  callers: number,
  measures: readonly ((
    setup: overheadSetup.OverheadSetup,
  ) => Promise<readonly figures.Figure[]>)[],
): Promise<readonly figures.Figure[]> => {
  const setup = await overheadSetup.startSetup(options);
  const found: figures.Figure[] = [];
  await warmUp(setup, callers);
  for (const measure of measures) {
    found.push(...(await measure(setup)));
  }
  await setup.stop();
  return found;
};

/** Measures added latency, and requests and tokens per core. */
export const bench: figures.Bench = {
  summary: 'one entry instance against direct to the same stand-in engine',
  run: async () => [
    ...(await runWith({stream: false, tokenMs: 0}, PLAIN_CALLERS, [
      measureLatency,
      measurePlain,
    ])),
    ...(await runWith({stream: true, tokenMs: TOKEN_MS}, STREAMS, [
      measureStreams,
    ])),
  ],
};
