/**
 * Metrics of one instance. Labels are bounded: workspaces, models and codes
 * come from the configuration in force, never from callers.
 */
import * as client from 'prom-client';

/** Bounds of the latency histogram's buckets, in seconds. */
const LATENCY_BUCKETS = [0.005, 0.02, 0.076, 0.25, 0.5, 1, 1.7, 3, 10, 30];

/** The metrics an instance keeps. */
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

  readonly inFlight = new client.Gauge({
    name: 'amaranthknot_in_flight',
    help: 'Requests in progress.',
    registers: [this.registry],
  });
}
