/** Waits until a generation is in force on all entry instances. */
import * as membership from '@amaranthknot/membership';
import type * as ports from '@amaranthknot/ports';
import * as purify from 'purify-ts';
import type * as operatorConnection from './operator-connection.js';
import * as outcome from './outcome.js';

/** Longest wait; a change is in force everywhere within 17 s. */
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

/** What to wait for, and whom to tell. */
export interface WaitOptions {
  readonly environment: string;
  readonly generation: number;
  readonly flags: WaitFlagValues;
  readonly showProgress: (text: string) => void;
}

/** Entry instances on the platform's list. */
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

/** Writes a report of one instance in one line. */
export const formatReport = (report: membership.GenerationReport): string => {
  const said =
    report.error === undefined
      ? `generation ${report.generation ?? 0}, ${report.standing ?? 'unknown'}`
      : `no answer (${report.error.code}: ${report.error.message})`;
  return `  ${report.id} in ${report.zone}: ${said}`;
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
 * Waits if asked to. The publication stands whatever comes of the wait; the
 * failure says so, and names the instances that lack it.
 *
 * @return how many instances have it; undefined when not asked to wait.
 */
export const waitForInstances = async (
  reached: operatorConnection.OperatorConnection,
  wait: WaitOptions,
): Promise<purify.Either<outcome.Failure, number | undefined>> => {
  const {environment, generation, flags: choice, showProgress} = wait;
  if (!choice.wait) {
    return purify.Right(undefined);
  }
  const listed = await listEntryInstances(reached.instances);
  const instances = listed.orDefault([]);
  showProgress(
    `generation ${generation}: waiting for ${instances.length} instances`,
  );
  const waited = await membership.waitUntilActive(instances, {
    transport: reached.transport,
    clock: reached.clock,
    environment,
    generation,
    timeoutMs: choice.waitMs ?? DEFAULT_WAIT_MS,
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

/** The line that a wait adds for people. */
export const formatWaitResult = (
  instances: number | undefined,
): readonly string[] =>
  instances === undefined ? [] : [`in force on all ${instances} instances`];
