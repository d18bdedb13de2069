/** Parses and checks the TOML settings of a gateway instance. */
import * as purify from 'purify-ts';
import * as zod from 'zod';
import type * as problems from './problem.js';
import * as addresses from './address.js';
import type * as gatewaySettings from './gateway-settings.js';
import * as settings from './settings.js';
import * as shapes from './util/check-shape.js';
import * as readToml from './util/read-toml.js';

/** Largest settings file, in bytes. */
const MAX_BYTES = 65_536;
/** Upper bound of times: one hour. */
const MAX_TIME_MS = 3_600_000;
const MS_PER_S = 1_000;
/** Upper bound of the store's call rates, per second. */
const MAX_RATE = 1_000_000;

const name = zod.string().min(1).max(256);
const time = zod.number().positive().max(MAX_TIME_MS);
/** As `time`, but in seconds. */
const seconds = zod
  .number()
  .positive()
  .max(MAX_TIME_MS / MS_PER_S);
const ratio = zod.number().min(0).max(100);
const rate = zod.number().positive().max(MAX_RATE);

const schema = zod.strictObject({
  instance: zod.strictObject({id: name, zone: name, region: name}),
  zones: zod.record(name, name).default({}),
  listen: zod.strictObject({
    callers: addresses.addressSchema,
    readiness: addresses.addressSchema,
    directory: addresses.addressSchema,
    peers: addresses.addressSchema,
    metrics: addresses.addressSchema.optional(),
  }),
  source_address: zod.ipv4().optional(),
  seeds: zod.array(addresses.addressSchema).default([]),
  bootstrap: zod.boolean().default(false),
  store: zod.strictObject({
    address: addresses.addressSchema,
    writes_per_second: rate,
    reads_per_second: rate,
  }),
  change: zod.strictObject({
    configuration_ms: time,
    leaving_ms: time,
    evacuation_ms: time,
    revocation_ms: time,
    stop_grace_s: seconds,
    stability_ms: time,
  }),
  retry: zod.strictObject({
    ratio,
    slack: zod.number().min(0),
    window_s: seconds,
  }),
  exposure: zod.strictObject({
    share: zod.number().min(0).max(1),
    slack: zod.number().min(0),
    rollback_ms: time,
  }),
  cold: zod.strictObject({
    overrun: zod.number().min(0).max(100),
    slack: zod.number().min(0),
  }),
  session_s: seconds,
  address_max_age_s: seconds,
  limits: zod.strictObject({
    memory_mb: zod.number().positive(),
    file_descriptors: zod.int().positive(),
    cores: zod.number().positive().default(1),
    core_share: zod.number().positive().max(1).default(1),
  }),
  log: zod
    .strictObject({
      level: zod
        .enum(['error', 'warn', 'info', 'debug'])
        .default(settings.DEFAULT_LOG_LEVEL),
    })
    .default({level: settings.DEFAULT_LOG_LEVEL}),
});

type Tables = zod.infer<typeof schema>;

const readAddress = (text: string): settings.Address =>
  addresses.parseAddress(text).unsafeCoerce();

const createListen = (
  written: Tables['listen'],
): gatewaySettings.GatewayListen => ({
  callers: readAddress(written.callers),
  readiness: readAddress(written.readiness),
  directory: readAddress(written.directory),
  peers: readAddress(written.peers),
  ...(written.metrics === undefined
    ? {}
    : {metrics: readAddress(written.metrics)}),
});

const createBounds = (written: Tables): gatewaySettings.GatewayBounds => ({
  change: {
    configurationMs: written.change.configuration_ms,
    leavingMs: written.change.leaving_ms,
    evacuationMs: written.change.evacuation_ms,
    revocationMs: written.change.revocation_ms,
    stopGraceMs: written.change.stop_grace_s * MS_PER_S,
    stabilityMs: written.change.stability_ms,
  },
  retry: {
    ratio: written.retry.ratio,
    slack: written.retry.slack,
    windowMs: written.retry.window_s * MS_PER_S,
  },
  exposure: {
    share: written.exposure.share,
    slack: written.exposure.slack,
    rollbackMs: written.exposure.rollback_ms,
  },
  cold: written.cold,
  sessionMs: written.session_s * MS_PER_S,
  addressMaxAgeMs: written.address_max_age_s * MS_PER_S,
});

const createSettings = (written: Tables): gatewaySettings.GatewaySettings => ({
  instance: written.instance,
  zones: new Map(Object.entries(written.zones)),
  listen: createListen(written.listen),
  ...(written.source_address === undefined
    ? {}
    : {sourceAddress: written.source_address}),
  seeds: written.seeds.map(readAddress),
  isBootstrap: written.bootstrap,
  store: {
    address: readAddress(written.store.address),
    writesPerSecond: written.store.writes_per_second,
    readsPerSecond: written.store.reads_per_second,
  },
  bounds: createBounds(written),
  limits: {
    memoryMb: written.limits.memory_mb,
    fileDescriptors: written.limits.file_descriptors,
    cores: written.limits.cores * written.limits.core_share,
  },
  log: written.log,
});

/**
 * Parses and checks the settings of a gateway instance.
 *
 * @param file file name, which the problems name.
 * @return the settings, or all problems sorted by line.
 */
export const parseGatewaySettings = (
  text: string,
  file: string,
): purify.Either<
  readonly problems.Problem[],
  gatewaySettings.GatewaySettings
> =>
  readToml.readToml(text, file, MAX_BYTES).chain(source => {
    const findings = shapes.checkShape(source.data, schema);
    return findings.length === 0
      ? purify.Right(createSettings(schema.parse(source.data)))
      : purify.Left(readToml.locateFindings(source, findings));
  });
