/**
 * Counters and latency histograms of one gateway instance. Labels are bounded:
 * they come from unions in the code and from kinds of routes, never from
 * callers.
 */
import * as client from 'prom-client';
import type * as decisionLog from './decision-log.js';

/** Bounds of the latency histograms' buckets, in seconds. */
const LATENCY_BUCKETS = [0.02, 0.05, 0.1, 0.2, 0.5, 1, 1.7, 3, 5, 10, 25];

const MS_PER_S = 1_000;

/** One request that was accepted, at its end. */
export interface RequestSample {
  /** Kind of its route. */
  readonly kind: string;
  /** Time to the answer's first byte, in ms; undefined where none was sent. */
  readonly firstByteMs: number | undefined;
  readonly tookMs: number;
}

/** What is read when metrics are collected. */
export interface GaugeReadings {
  readonly inProgress: number;
  /** Time since the configuration was confirmed, in milliseconds. */
  readonly configurationAgeMs: number | undefined;
  readonly upstreams: number;
  /** Time since the list of upstreams was confirmed, in milliseconds. */
  readonly upstreamsAgeMs: number | undefined;
  /** Instances that take callers, this one included. */
  readonly servingInstances: number;
}

const toSeconds = (ageMs: number | undefined): number =>
  ageMs === undefined ? -1 : ageMs / MS_PER_S;

/** The metrics of one instance. */
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
      'serving_instances',
      'Instances that take callers, as this one knows them.',
      () => readGauges().servingInstances,
    );
  }

  /** Counts a decision about a request, or a change of belief. */
  recordEvent(event: decisionLog.LogEvent, reason = ''): void {
    this.events.inc({event, reason});
  }

  /** Counts a call to the store. */
  recordStoreCall(kind: string, outcome: string): void {
    this.storeCalls.inc({kind, outcome});
  }

  /** Notes a request at its end. */
  recordRequest({kind, firstByteMs, tookMs}: RequestSample): void {
    this.requestDuration.observe({kind}, tookMs / MS_PER_S);
    if (firstByteMs !== undefined) {
      this.firstByteLatency.observe({kind}, firstByteMs / MS_PER_S);
    }
  }

  /** All metrics as text. */
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
