/**
 * Metrics of one entry instance. Label values are workspaces, models and codes
 * of the active configuration, never texts of callers, so their number is
 * bounded.
 */
import * as client from 'prom-client';

/** Upper bounds of the buckets of the latency histogram, in seconds. */
const LATENCY_BUCKETS = [0.005, 0.02, 0.076, 0.25, 0.5, 1, 1.7, 3, 10, 30];

/** Metrics and their registry; callers update the fields directly. */
export class Metrics {
  readonly registry = new client.Registry();

  readonly requests = new client.Counter({
    name: 'amaranthknot_requests_total',
    help: 'Requests by workspace and outcome.',
    labelNames: ['workspace', 'outcome'],
    registers: [this.registry],
  });

  readonly stages = new client.Counter({
    name: 'amaranthknot_stages_total',
    help: 'Cascade stages run, by model, version and outcome.',
    labelNames: ['model', 'version', 'outcome'],
    registers: [this.registry],
  });

  readonly latency = new client.Histogram({
    name: 'amaranthknot_request_seconds',
    help: 'Time from receipt to the end of the answer.',
    labelNames: ['workspace'],
    buckets: LATENCY_BUCKETS,
    registers: [this.registry],
  });

  readonly cost = new client.Counter({
    name: 'amaranthknot_cost_total',
    help: 'Cost billed, in the accounting unit.',
    labelNames: ['workspace'],
    registers: [this.registry],
  });

  readonly failures = new client.Counter({
    name: 'amaranthknot_process_failures_total',
    help: 'Errors of the process that nothing handled, by kind.',
    labelNames: ['kind'],
    registers: [this.registry],
  });

  readonly inFlight = new client.Gauge({
    name: 'amaranthknot_in_flight',
    help: 'Requests in progress.',
    registers: [this.registry],
  });
}
