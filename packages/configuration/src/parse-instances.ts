/**
 * Parses and checks a TOML list of instances for the fake platform. A real
 * platform has its own list.
 */
import * as purify from 'purify-ts';
import * as zod from 'zod';
import type * as problems from './problem.js';
import * as addresses from './address.js';
import * as tables from './document-tables.js';
import * as shapes from './util/check-shape.js';
import * as readToml from './util/read-toml.js';

/** Largest file, in bytes. */
export const MAX_INSTANCES_BYTES = 1_000_000;

/** Maximum models or services that one instance serves. */
export const MAX_SERVED = 200;

/** One instance, in the form of the platform's instance list. */
export interface InstanceEntry {
  readonly id: string;
  readonly role: 'entry' | 'engine' | 'service';
  readonly state: 'live' | 'leaving';
  /** `IP:port`. */
  readonly address: string;
  readonly zone: string;
  /** Models that an engine runs, as `model@version`, or a service's name. */
  readonly serves: readonly string[];
}

const schema = zod.strictObject({
  instances: zod
    .array(
      zod.strictObject({
        id: tables.nameSchema,
        role: zod.enum(['entry', 'engine', 'service']),
        state: zod.enum(['live', 'leaving']).default('live'),
        address: addresses.addressSchema,
        zone: tables.nameSchema,
        serves: zod.array(zod.string().min(1)).max(MAX_SERVED).default([]),
      }),
    )
    .min(1),
});

const checkIds = (
  instances: readonly {readonly id: string}[],
): readonly problems.Finding[] => {
  const ids = instances.map(({id}) => id);
  return ids.flatMap((id, index) => {
    const path = ['instances', index, 'id'];
    const message = `an instance before it has the id "${id}" already`;
    return ids.indexOf(id) === index
      ? []
      : [{path, code: 'duplicate' as const, message}];
  });
};

/** Parses and checks a list of instances; returns it or all its problems. */
export const parseInstances = (
  text: string,
  file: string,
): purify.Either<readonly problems.Problem[], readonly InstanceEntry[]> =>
  readToml.readToml(text, file, MAX_INSTANCES_BYTES).chain(source => {
    const parsed = schema.safeParse(source.data);
    const findings = parsed.success
      ? checkIds(parsed.data.instances)
      : shapes.checkShape(source.data, schema);
    return parsed.success && findings.length === 0
      ? purify.Right(parsed.data.instances)
      : purify.Left(readToml.locateFindings(source, findings));
  });
