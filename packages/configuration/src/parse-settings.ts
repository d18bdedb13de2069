/** Parses and checks the TOML settings of an entry instance. */
import * as purify from 'purify-ts';
import * as zod from 'zod';
import type * as problems from './problem.js';
import * as addresses from './address.js';
import * as settings from './settings.js';
import * as tables from './document-tables.js';
import * as shapes from './util/check-shape.js';
import * as readToml from './util/read-toml.js';

/** Largest settings file, in bytes. */
export const MAX_SETTINGS_BYTES = 100_000;
/** Upper bound of limits in bytes: the memory of a small instance. */
export const MAX_BYTES = 1_073_741_824;
/** Upper bound of times: one day. */
export const MAX_TIME_MS = 86_400_000;
/** Upper bound of counts. */
export const MAX_COUNT = 10_000_000;
/**
 * Longest time for which callers may cache addresses. A stopping instance waits
 * this long for callers.
 */
export const MAX_ADDRESS_AGE_MS = 600_000;

const endpoint = zod.url({
  protocol: /^https?$/,
  error: issue =>
    issue.code === 'invalid_format'
      ? 'must be an http or https URL'
      : undefined,
});

const secret = zod.union(
  [
    zod.string().min(settings.MIN_SECRET_LENGTH),
    zod.strictObject({file: zod.string().min(1)}),
  ],
  `must be a string of ${settings.MIN_SECRET_LENGTH} characters or more, or {file = "PATH"}`,
);

const bytes = zod.int().min(1_024).max(MAX_BYTES);
const time = zod.int().min(1).max(MAX_TIME_MS);
const count = zod.int().min(1).max(MAX_COUNT);

const limits = zod.strictObject({
  max_body_bytes: bytes.default(settings.DEFAULT_MAX_BODY_BYTES),
  max_header_bytes: bytes.default(settings.DEFAULT_MAX_HEADER_BYTES),
  header_timeout_ms: time.default(settings.DEFAULT_HEADER_TIMEOUT_MS),
  request_timeout_ms: time.default(settings.DEFAULT_REQUEST_TIMEOUT_MS),
  stop_grace_ms: time.optional(),
  address_max_age_ms: zod
    .int()
    .min(0)
    .max(MAX_ADDRESS_AGE_MS)
    .default(settings.DEFAULT_ADDRESS_MAX_AGE_MS),
  max_in_flight: count.default(settings.DEFAULT_MAX_IN_FLIGHT),
  max_pending_bills: count.default(settings.DEFAULT_MAX_PENDING_BILLS),
  max_pending_claims: count.default(settings.DEFAULT_MAX_PENDING_CLAIMS),
  max_timeline_events: count.default(settings.DEFAULT_MAX_TIMELINE_EVENTS),
});

const log = zod.strictObject({
  level: zod
    .enum(['error', 'warn', 'info', 'debug'])
    .default(settings.DEFAULT_LOG_LEVEL),
});

/** Schema of the whole file. */
export const settingsSchema = zod.strictObject({
  instance: zod.strictObject({
    id: tables.nameSchema,
    zone: tables.nameSchema,
    region: tables.nameSchema,
    environment: tables.nameSchema,
    listen: addresses.addressSchema,
    advertise: addresses.addressSchema.optional(),
  }),
  platform: zod.strictObject({
    object_api: endpoint,
    instance_list: endpoint,
    rating: endpoint.optional(),
    key: secret.optional(),
  }),
  keys: zod.strictObject({
    operator_digest: tables.keyDigestSchema,
    inner_key: secret,
    session_key: secret,
  }),
  limits: limits.default(() => limits.parse({})),
  log: log.default(() => log.parse({})),
});

type Tables = zod.infer<typeof settingsSchema>;

const readAddress = (text: string): settings.Address | undefined =>
  addresses.parseAddress(text).extract();

const checkAddresses = (
  instance: Tables['instance'],
): readonly problems.Finding[] => {
  const listen = readAddress(instance.listen);
  const advertise = readAddress(instance.advertise ?? instance.listen);
  const path = ['instance', 'advertise'];
  if (!listen || !advertise) {
    return [];
  }
  if (addresses.isUnspecified(advertise)) {
    const message = `must be an address that others can connect to, got ${addresses.formatAddress(advertise)}`;
    return [{path, code: 'invalid_value', message}];
  }
  const message = 'port must not be 0, which is valid for "listen" only';
  return instance.advertise !== undefined && advertise.port === 0
    ? [{path, code: 'invalid_value', message}]
    : [];
};

const getMinStopGraceMs = (written: Tables['limits']): number =>
  written.address_max_age_ms + written.request_timeout_ms;

/**
 * Checks that the grace period covers the time for which callers cache an
 * address and the longest request after that. A shorter one would cut off
 * requests in every planned stop.
 */
const checkStopGrace = (
  written: Tables['limits'],
): readonly problems.Finding[] => {
  const minMs = getMinStopGraceMs(written);
  const graceMs = written.stop_grace_ms ?? minMs;
  if (graceMs >= minMs) {
    return [];
  }
  const message = `must be at least address_max_age_ms + request_timeout_ms, ${minMs}, got ${graceMs}`;
  const path = ['limits', 'stop_grace_ms'];
  return [{path, code: 'out_of_range', message}];
};

const createSecret = (written: zod.infer<typeof secret>): settings.Secret =>
  typeof written === 'string'
    ? {kind: 'text', text: written}
    : {kind: 'file', path: written.file};

const createInstance = (
  written: Tables['instance'],
): settings.InstanceSettings => {
  const listen = addresses.parseAddress(written.listen).unsafeCoerce();
  const {id, zone, region, environment} = written;
  const own = {id, zone, region, environment, listen};
  return written.advertise === undefined
    ? own
    : {
        ...own,
        advertise: addresses.parseAddress(written.advertise).unsafeCoerce(),
      };
};

const createPlatform = (
  written: Tables['platform'],
): settings.PlatformSettings => ({
  objectApi: written.object_api,
  instanceList: written.instance_list,
  ...(written.rating === undefined ? {} : {rating: written.rating}),
  ...(written.key === undefined ? {} : {key: createSecret(written.key)}),
});

const createLimits = (written: Tables['limits']): settings.InstanceLimits => ({
  maxBodyBytes: written.max_body_bytes,
  maxHeaderBytes: written.max_header_bytes,
  headerTimeoutMs: written.header_timeout_ms,
  requestTimeoutMs: written.request_timeout_ms,
  stopGraceMs: written.stop_grace_ms ?? getMinStopGraceMs(written),
  addressMaxAgeMs: written.address_max_age_ms,
  maxInFlight: written.max_in_flight,
  maxPendingBills: written.max_pending_bills,
  maxPendingClaims: written.max_pending_claims,
  maxTimelineEvents: written.max_timeline_events,
});

const createSettings = (written: Tables): settings.Settings => ({
  instance: createInstance(written.instance),
  platform: createPlatform(written.platform),
  keys: {
    operatorDigest: tables.readKeyDigest(written.keys.operator_digest),
    innerKey: createSecret(written.keys.inner_key),
    sessionKey: createSecret(written.keys.session_key),
  },
  limits: createLimits(written.limits),
  log: written.log,
});

/** Checks relations between the keys of each table that fits its schema. */
const checkRelations = (
  data: Readonly<Record<string, unknown>>,
): readonly problems.Finding[] => {
  const instance = settingsSchema.shape.instance.safeParse(data['instance']);
  const written = settingsSchema.shape.limits.safeParse(data['limits']);
  return [
    ...(instance.success ? checkAddresses(instance.data) : []),
    ...(written.success ? checkStopGrace(written.data) : []),
  ];
};

/**
 * Parses and checks settings. Secret files are read by `readSecret`.
 *
 * @param file file name, which the problems name.
 * @return the settings, or all problems sorted by line.
 */
export const parseSettings = (
  text: string,
  file: string,
): purify.Either<readonly problems.Problem[], settings.Settings> =>
  readToml.readToml(text, file, MAX_SETTINGS_BYTES).chain(source => {
    const findings = [
      ...shapes.checkShape(source.data, settingsSchema),
      ...checkRelations(source.data),
    ];
    return findings.length === 0
      ? purify.Right(createSettings(settingsSchema.parse(source.data)))
      : purify.Left(readToml.locateFindings(source, findings));
  });
