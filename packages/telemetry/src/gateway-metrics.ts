/**
 * Metrics of one gateway instance. Label values come from unions in the code
 * and from kinds of routes, never from callers, so their number is bounded.
 */
import * as client from 'prom-client';
import type * as decisionLog from './decision-log.js';

/** Upper bounds of the buckets of the latency histograms, in seconds. */
const LATENCY_BUCKETS = [0.02, 0.05, 0.1, 0.2, 0.5, 1, 1.7, 3, 5, 10, 25];

/** The same for checks of upstreams, which take a few round trips. */
const CHECK_BUCKETS = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25];

/** The same for turns of the event loop. */
const LOOP_BUCKETS = [0.06, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 5];

const MS_PER_S = 1_000;

/** Measurements of one accepted request, taken when it ends. */
export interface RequestSample {
  /** Kind of the request's route. */
  readonly kind: string;
  /** Time to the first byte of the answer; undefined if none was sent. */
  readonly firstByteMs: number | undefined;
  readonly tookMs: number;
}

/** Values of the gauges, read at each collection. */
export interface GaugeReadings {
  readonly inProgress: number;
  /** Time since the configuration was confirmed; undefined before the first. */
  readonly configurationAgeMs: number | undefined;
  readonly upstreams: number;
  /** Time since the upstreams were confirmed; undefined before the first. */
  readonly upstreamsAgeMs: number | undefined;
  /** Upstreams that asked this instance to send them nothing for a time. */
  readonly upstreamsInBackoff: number;
  /** Upstreams that count as cold. */
  readonly upstreamsCold: number;
  /** Parts of prompts that are kept away from upstreams. */
  readonly promptPartsHeld: number;
  /** Services of which this instance reaches no upstream. */
  readonly servicesUnreachable: number;
  /** Requests that other instances serve for callers of this one. */
  readonly requestsForwarded: number;
  /** Part of the time in which this instance was busy lately, 0 to 1. */
  readonly utilization: number;
  /** Bytes of callers' bodies and upstreams' answers. */
  readonly heldBytes: number;
  /** Instances that accept callers, including this one. */
  readonly servingInstances: number;
}

const toSeconds = (ageMs: number | undefined): number =>
  ageMs === undefined ? -1 : ageMs / MS_PER_S;

/** Registers and updates the metrics of one gateway instance. */
export class GatewayMetrics {
  private readonly registry = new client.Registry();

  private readonly events = new client.Counter({
    name: 'amaranthknot_events_total',
    help: 'Decisions and changes of belief, by event and reason.',
    labelNames: ['event', 'reason'],
    registers: [this.registry],
  });

  private readonly storeCalls = new client.Counter({
    name: 'amaranthknot_store_calls_total',
    help: 'Calls that follow a kind of objects in the store, by outcome.',
    labelNames: ['kind', 'outcome'],
    registers: [this.registry],
  });

  private readonly repeats = new client.Counter({
    name: 'amaranthknot_repeats_total',
    help: 'Decisions on further sends of requests, by purpose and budget.',
    labelNames: ['purpose', 'outcome', 'budget'],
    registers: [this.registry],
  });

  private readonly firstByteLatency = new client.Histogram({
    name: 'amaranthknot_first_byte_seconds',
    help: 'Seconds from a request to the first byte of its answer.',
    labelNames: ['kind'],
    buckets: LATENCY_BUCKETS,
    registers: [this.registry],
  });

  private readonly requestDuration = new client.Histogram({
    name: 'amaranthknot_request_seconds',
    help: 'Seconds from a request to the end of its answer.',
    labelNames: ['kind'],
    buckets: LATENCY_BUCKETS,
    registers: [this.registry],
  });

  private readonly endCheckDuration = new client.Histogram({
    name: 'amaranthknot_answer_end_check_seconds',
    help: 'Seconds of a check of an upstream that ended an answer.',
    labelNames: ['sign'],
    buckets: CHECK_BUCKETS,
    registers: [this.registry],
  });

  private readonly loopTurn = new client.Histogram({
    name: 'amaranthknot_loop_turn_seconds',
    help: 'Seconds between two beats of the event loop, which are 0.05 apart.',
    buckets: LOOP_BUCKETS,
    registers: [this.registry],
  });

  private readonly endCheckConnections = new client.Counter({
    name: 'amaranthknot_answer_end_check_connections_total',
    help: 'Connections opened to check upstreams that ended an answer.',
    registers: [this.registry],
  });

  /** @param readGauges called at each collection. */
  constructor(readGauges: () => GaugeReadings) {
    this.addGauge('requests_in_progress', 'Requests in progress.', () => {
      return readGauges().inProgress;
    });
    this.addGauge(
      'configuration_age_seconds',
      'Seconds since the configuration was confirmed; -1 before any.',
      () => toSeconds(readGauges().configurationAgeMs),
    );
    this.addGauge(
      'upstreams',
      'Upstreams known.',
      () => readGauges().upstreams,
    );
    this.addGauge(
      'upstreams_age_seconds',
      'Seconds since the list of upstreams was confirmed; -1 before any.',
      () => toSeconds(readGauges().upstreamsAgeMs),
    );
    this.addGauge(
      'upstreams_in_backoff',
      'Upstreams that want no requests from this instance for now.',
      () => readGauges().upstreamsInBackoff,
    );
    this.addGauge(
      'upstreams_cold',
      'Upstreams that count as cold, and get few requests.',
      () => readGauges().upstreamsCold,
    );
    this.addGauge(
      'prompt_parts_held',
      'Parts of prompts that are kept away from upstreams.',
      () => readGauges().promptPartsHeld,
    );
    this.addGauge(
      'services_unreachable',
      'Services of which this instance reaches no upstream.',
      () => readGauges().servicesUnreachable,
    );
    this.addGauge(
      'requests_forwarded',
      'Requests that other instances serve for this one now.',
      () => readGauges().requestsForwarded,
    );
    this.addGauge(
      'utilization',
      'Part of the time in which this instance was busy lately, 0 to 1.',
      () => readGauges().utilization,
    );
    this.addGauge(
      'held_bytes',
      "Bytes of callers' bodies and upstreams' answers that are held.",
      () => readGauges().heldBytes,
    );
    this.addGauge(
      'serving_instances',
      'Instances that take callers, as this one knows them.',
      () => readGauges().servingInstances,
    );
  }

  /** Counts an event, whether or not it was logged. */
  recordEvent(event: decisionLog.LogEvent, reason = ''): void {
    this.events.inc({event, reason});
  }

  /** Counts a call to the store that lists or watches a kind of objects. */
  recordStoreCall(kind: string, outcome: string): void {
    this.storeCalls.inc({kind, outcome});
  }

  /** Counts a decision on a further send of a request. */
  recordRepeat(
    purpose: string,
    {isGranted, budget}: {readonly isGranted: boolean; readonly budget: string},
  ): void {
    const outcome = isGranted ? 'granted' : 'refused';
    this.repeats.inc({purpose, outcome, budget});
  }

  /** Records the latencies of a request that ended. */
  recordRequest({kind, firstByteMs, tookMs}: RequestSample): void {
    this.requestDuration.observe({kind}, tookMs / MS_PER_S);
    if (firstByteMs !== undefined) {
      this.firstByteLatency.observe({kind}, firstByteMs / MS_PER_S);
    }
  }

  /** Records a check of an upstream that ended an answer without a length. */
  recordEndCheck(sign: string, connections: number, tookMs: number): void {
    this.endCheckDuration.observe({sign}, tookMs / MS_PER_S);
    this.endCheckConnections.inc(connections);
  }

  /** Records the time between two beats of the event loop. */
  recordLoopTurn(tookMs: number): void {
    this.loopTurn.observe(tookMs / MS_PER_S);
  }

  /** Formats all metrics in the Prometheus text format. */
  format(): Promise<string> {
    return this.registry.metrics();
  }

  private addGauge(name: string, help: string, read: () => number): void {
    const gauge = new client.Gauge({
      name: `amaranthknot_${name}`,
      help,
      registers: [this.registry],
      collect: () => {
        gauge.set(read());
      },
    });
  }
}
