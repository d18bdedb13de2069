/** Waits until a generation is active on all entry instances. */
import * as membership from '@amaranthknot/membership';
import type * as ports from '@amaranthknot/ports';
import * as purify from 'purify-ts';
import type * as operatorConnection from './operator-connection.js';
import * as outcome from './outcome.js';

/** Default of `--wait-ms`: a change is active everywhere within 17 s. */
export const DEFAULT_WAIT_MS = 17_000;

/** Flags of commands that can wait. */
export const WAIT_FLAGS = {
  wait: {type: 'boolean'},
  waitMs: {type: 'number'},
} as const;

/** Values of `WAIT_FLAGS`. */
export interface WaitFlagValues {
  readonly wait: boolean;
  readonly waitMs: number | undefined;
}

/** What to wait for, and how to show progress. */
export interface WaitOptions {
  readonly environment: string;
  readonly generation: number;
  readonly flags: WaitFlagValues;
  readonly showProgress: (text: string) => void;
}

/** Lists the entry instances that the platform knows. */
export const listEntryInstances = async (
  instances: ports.InstanceList,
): Promise<purify.Either<outcome.Failure, readonly ports.ListedInstance[]>> =>
  (await instances.list())
    .mapLeft(error =>
      outcome.createFailure(
        'unavailable',
        `the instance list: ${error.message}`,
      ),
    )
    .map(listed => listed.filter(({role}) => role === 'entry'));

/** Formats the report of one instance as one line. */
export const formatReport = (report: membership.GenerationReport): string => {
  const state =
    report.error === undefined
      ? `generation ${report.generation ?? 0}, ${report.standing ?? 'unknown'}`
      : `no answer (${report.error.code}: ${report.error.message})`;
  return `  ${report.id} in ${report.zone}: ${state}`;
};

const describeMissing = (
  generation: number,
  {inForce, missing}: membership.WaitOutcome,
): outcome.Failure => ({
  code: 'not_in_force',
  lines: [
    `generation ${generation} is accepted, but not in force on ` +
      `${missing.length} of ${missing.length + inForce.length} instances`,
    ...missing.map(formatReport),
  ],
  details: {generation, missing},
});

/**
 * Waits, with `--wait`, until all entry instances have the generation. The
 * publication stands even if the wait fails; the failure says so and lists the
 * instances without it.
 *
 * @return number of instances that have it; undefined without `--wait`.
 */
export const waitForInstances = async (
  connection: operatorConnection.OperatorConnection,
  wait: WaitOptions,
): Promise<purify.Either<outcome.Failure, number | undefined>> => {
  const {environment, generation, flags, showProgress} = wait;
  if (!flags.wait) {
    return purify.Right(undefined);
  }
  const listed = await listEntryInstances(connection.instances);
  const instances = listed.orDefault([]);
  showProgress(
    `generation ${generation}: waiting for ${instances.length} instances`,
  );
  const waited = await membership.waitUntilActive(instances, {
    transport: connection.transport,
    clock: connection.clock,
    environment,
    generation,
    timeoutMs: flags.waitMs ?? DEFAULT_WAIT_MS,
  });
  const accepted = `generation ${generation} is accepted; who has it is unknown`;
  return listed
    .mapLeft(failure => ({...failure, lines: [accepted, ...failure.lines]}))
    .chain(() =>
      waited.missing.length === 0
        ? purify.Right(waited.inForce.length)
        : purify.Left(describeMissing(generation, waited)),
    );
};

/** Formats the result of a wait; no line without `--wait`. */
export const formatWaitResult = (
  instances: number | undefined,
): readonly string[] =>
  instances === undefined ? [] : [`in force on all ${instances} instances`];
