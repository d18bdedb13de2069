/** Stored objects and settings files of a soak. */

/** Time bounds in a soak's settings, in the units that their names end with. */
export const SOAK_BOUNDS = {
  configurationMs: 2_000,
  leavingMs: 2_000,
  evacuationMs: 5_000,
  revocationMs: 3_000,
  stopGraceS: 4,
  stabilityMs: 3_000,
} as const;

/** Duration of a cold start, and requests a second that an upstream takes then. */
export const COLD_START_MS = 2_000;
const COLD_PER_S = 4;

/** Factor on these requests, and number in addition, that are accepted. */
const COLD_LIMIT = {overrun: 1.5, slack: 5} as const;

/** Most requests that a cold upstream may get in a second. */
export const COLD_MOST_PER_S =
  COLD_PER_S * COLD_LIMIT.overrun + COLD_LIMIT.slack;

/** Repeats of all instances that are allowed within a window. */
export interface RetryLimit {
  /** For each request. */
  readonly ratio: number;
  /** In addition. */
  readonly slack: number;
  readonly windowMs: number;
}

export const RETRY_LIMIT: RetryLimit = {
  ratio: 0.9,
  slack: 50,
  windowMs: 10_000,
};

/** Fewer than callers want while most answers break off. */
export const LOW_RETRY_LIMIT: RetryLimit = {
  ratio: 0.25,
  slack: 10,
  windowMs: 10_000,
};

/** Requests that an upstream says it processes at a time. */
export const UPSTREAM_SLOTS = 2;

/** Listen addresses of one instance, as `host:port`. */
export interface InstanceAddresses {
  readonly callers: string;
  readonly readiness: string;
  readonly directory: string;
  readonly peers: string;
  /** IP address from which it calls upstreams. */
  readonly source: string;
}

/** Longest time that a request is kept waiting, in milliseconds. */
const ROUTE_TIMEOUT_MS = 3_000;

const route = (name: string, kind: string, extra = {}): object => ({
  name,
  host: 'svc.example',
  pathPrefix: `/${name}/`,
  kind,
  targetLatencyMs: 1_000,
  priority: 0,
  service: 'svc',
  maxAttempts: 3,
  public: false,
  ...extra,
});

/** The stored configuration; `version` also sets the number of idle routes. */
export const createManifest = (
  version: number,
  keys: readonly string[],
  timeoutMs = ROUTE_TIMEOUT_MS,
): unknown => ({
  version,
  routes: [
    route('read', 'idempotent'),
    route('book', 'non_idempotent', {maxAttempts: 1}),
    route('stream', 'streaming', {resumeStreams: true, gapTargetMs: 400}),
    route('once', 'streaming'),
    ...Array.from({length: version % 5}, (_, i) =>
      route(`idle-${i}`, 'idempotent'),
    ),
  ].map(each => ({...each, timeoutMs})),
  services: [
    {
      name: 'svc',
      healthCheckPath: '/health',
      connectionLimit: 200,
      coldStartS: COLD_START_MS / 1_000,
      coldPerS: COLD_PER_S,
    },
  ],
  limits: {
    headerBytes: 16_384,
    bodyBytes: 1_000_000,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 5_000,
  },
  tenants: [{name: 'north', apiKeys: keys}],
});

/** The stored entry of an upstream. */
export const createEntry = (
  address: string,
  state: string,
  {born, coldForMs} = {born: 1, coldForMs: 0},
): unknown => ({
  service: 'svc',
  address,
  zone: 'zone-a',
  version: 'v1',
  slots: UPSTREAM_SLOTS,
  state,
  coldRemainingMs: Math.round(coldForMs),
  born,
  sequence: 1,
});

/** The settings file of one instance, as TOML. */
export const formatSettings = (
  id: string,
  listen: InstanceAddresses,
  store: string,
  seeds: readonly string[],
  retry: RetryLimit,
): string => `
seeds = ${JSON.stringify(seeds)}
source_address = "${listen.source}"
session_s = 5
address_max_age_s = 5
[instance]
id = "${id}"
zone = "zone-a"
region = "north"
[zones]
"zone-a" = "north"
[listen]
callers = "${listen.callers}"
readiness = "${listen.readiness}"
directory = "${listen.directory}"
peers = "${listen.peers}"
[store]
address = "${store}"
writes_per_second = 400
reads_per_second = 2000
[change]
configuration_ms = ${SOAK_BOUNDS.configurationMs}
leaving_ms = ${SOAK_BOUNDS.leavingMs}
evacuation_ms = ${SOAK_BOUNDS.evacuationMs}
revocation_ms = ${SOAK_BOUNDS.revocationMs}
stop_grace_s = ${SOAK_BOUNDS.stopGraceS}
stability_ms = ${SOAK_BOUNDS.stabilityMs}
[retry]
ratio = ${retry.ratio}
slack = ${retry.slack}
window_s = ${retry.windowMs / 1_000}
[exposure]
share = 0.15
slack = 30
rollback_ms = 5000
[cold]
overrun = ${COLD_LIMIT.overrun}
slack = ${COLD_LIMIT.slack}
[limits]
memory_mb = 300
file_descriptors = 4000
`;
